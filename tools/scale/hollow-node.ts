/** A node without request path: the whole control plane on real sockets, many to a process. */
import type { DocumentMemo } from '../../src/dissemination/document-memo.js';
import type { Machine } from '../../src/model/machine.js';
import { createClaims, createReader, createReplica } from '../../src/runtime/control-components.js';
import { ControlNode } from '../../src/runtime/control-node.js';
import { Metrics } from '../../src/runtime/metrics.js';
import { parseSettings } from '../../src/settings/load-settings.js';
import type { Settings } from '../../src/settings/settings.js';
import { declareTransportCounters } from '../../src/transport/transport-counters.js';
import { CutPlatformClient, openCutTransport, type NetworkCut } from './network-cut.js';
import type { NodeSettings } from './scale-plan.js';

/** What a hollow node is made from. */
export interface HollowNodeOptions {
  readonly machine: Machine;
  readonly settings: NodeSettings;
  readonly cut: NetworkCut;
  readonly now: () => number;
  /** Shared with other nodes of the process; undefined for one of its own. */
  readonly memo: DocumentMemo | undefined;
  /** Told of each source version that comes into force. */
  readonly onVersion: (version: number) => void;
}

/** One machine with a hollow node; its counters go on over restarts. */
export class HollowNode {
  readonly metrics = new Metrics();
  readonly machine: Machine;
  private readonly settings: Settings;
  private control: ControlNode | undefined;

  constructor(private readonly options: HollowNodeOptions) {
    this.machine = options.machine;
    this.settings = parseSettings(options.machine.id, options.settings);
    declareTransportCounters((name, help) => this.metrics.declareCounter(name, help));
  }

  get isRunning(): boolean {
    return this.control !== undefined;
  }

  /** Overlay links; 0 when it does not run. */
  get links(): number {
    return this.control?.plane.status().neighbours.length ?? 0;
  }

  /** Starts a new process, as far as peers can tell. */
  async start(): Promise<void> {
    const { settings, options, metrics } = this;
    const { cut, machine } = options;
    const { id, address, controlPort, relayPort, zone, region } = machine;
    this.control = await ControlNode.open({
      identity: { id, incarnation: Date.now(), address, controlPort, relayPort, zone, region },
      fleetKey: settings.fleetKey,
      seeds: settings.seeds,
      overlay: { ...settings.overlay, ...(options.memo && { memo: options.memo }) },
      platform: settings.platform && new CutPlatformClient(cut, machine, settings.platform),
      openTransport: (transport) => openCutTransport(cut, transport),
      components: [
        (documents, electorate) => createReader(settings, metrics, documents, electorate),
        (documents, fleet) => createReplica(settings, metrics, documents, fleet),
        (_documents, fleet) => createClaims(settings, metrics, fleet),
      ],
      counters: metrics,
      random: Math.random,
      now: options.now,
      onSnapshot: (snapshot) => options.onVersion(snapshot.version.source.number),
      onStateChange: () => undefined,
    });
  }

  /** A planned stop. */
  async stop(): Promise<void> {
    const { control } = this;
    this.control = undefined;
    await control?.stop();
  }

  /** The process dies. */
  kill(): void {
    this.control?.abort();
    this.control = undefined;
  }
}

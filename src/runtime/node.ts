/**
 * One node: control plane, request path and admin listener, opened from settings and stopped in a
 * defined order. The same program runs on every machine.
 */
import { randomUUID } from 'node:crypto';
import type http from 'node:http';
import type { AddressInfo } from 'node:net';
import { Containment } from '../containment/containment.js';
import { SuspicionFlood } from '../containment/suspicion-flood.js';
import { AdminServer } from '../api/admin-server.js';
import type { SnapshotListener } from '../api/configuration-view.js';
import { ControlPlaneClaims } from '../claims/control-plane-claims.js';
import type { DocumentSink } from '../control/control-options.js';
import type { ElectorateView } from '../control/control-ports.js';
import type { NodePorts, RunningNode } from '../cli/running-node.js';
import type { PeerIdentity } from '../membership/peer-identity.js';
import { NO_SNAPSHOT_VERSION, buildSnapshot, type Snapshot } from '../model/snapshot.js';
import { NATIVE_CALLER_PROTOCOL } from '../proxy/caller-protocol.js';
import type { RequestProxy } from '../proxy/request-path.js';
import { createRequestProxy } from '../proxy/request-proxy.js';
import { ReplicatedWritePort } from '../replication/replicated-write-port.js';
import type { Settings } from '../settings/settings.js';
import { PlatformClient } from '../source/platform-client.js';
import type { SourceReader } from '../source/source-reader.js';
import { declareTransportCounters } from '../transport/transport-counters.js';
import { createClaims, createReader, createReplica } from './control-components.js';
import { ControlNode } from './control-node.js';
import { createElapsedClock } from './elapsed-clock.js';
import { createLogger, type Logger } from './logger.js';
import { LateAnswers } from '../proxy/late-answers.js';
import { declareContainmentMetrics } from './containment-metrics.js';
import { declareLateAnswerMetrics } from './late-answer-metrics.js';
import { Metrics } from './metrics.js';
import { composeNodeStatus } from './node-status.js';

/** Opens a node. If a listener cannot be opened, closes everything again and rejects. */
export async function runNode(settings: Settings): Promise<RunningNode> {
  const node = new Node(settings);
  try {
    await node.open();
  } catch (error) {
    node.abort();
    throw error;
  }
  return node;
}

class Node implements RunningNode {
  readonly stopped: Promise<void>;
  /** Start of this process in milliseconds since 1970; distinguishes restarts on one machine. */
  private readonly incarnation = Date.now();
  private readonly logger: Logger;
  private readonly metrics = new Metrics();
  private readonly now = createElapsedClock();
  private readonly startedAtMs = this.now();
  private readonly containment: Containment;
  private readonly listeners = new Set<SnapshotListener>();
  private snapshot: Snapshot = buildSnapshot(NO_SNAPSHOT_VERSION, []);
  private proxy: RequestProxy | undefined;
  private control: ControlNode | undefined;
  private reader: SourceReader | undefined;
  private admin: AdminServer | undefined;
  private stopping: Promise<void> | undefined;
  private resolveStopped: () => void = () => undefined;

  constructor(private readonly settings: Settings) {
    this.logger = createLogger(settings.log.level, { machine: settings.machine.id });
    this.containment = this.createContainment();
    declareTransportCounters((name, help) => this.metrics.declareCounter(name, help));
    this.stopped = new Promise((resolve) => {
      this.resolveStopped = resolve;
    });
  }

  get ports(): NodePorts {
    return {
      caller: portOf(this.proxy?.callerServer),
      relay: portOf(this.proxy?.relayServer),
      control: this.control?.port ?? 0,
      admin: this.admin?.port ?? 0,
    };
  }

  /** Opens the listeners, the relay port first, because the identity sent to peers contains it. */
  async open(): Promise<void> {
    const { settings } = this;
    const proxy = this.createProxy();
    this.proxy = proxy;
    await listen(proxy.relayServer, settings.machine.address, settings.ports.relay);
    this.control = await this.openControl();
    this.admin = await this.openAdmin(this.control);
    await listen(proxy.callerServer, settings.callerAddress, settings.ports.caller);
  }

  stop(): Promise<void> {
    this.stopping ??= this.stopInOrder();
    return this.stopping;
  }

  abort(): void {
    this.proxy?.abort();
    this.control?.abort();
    this.admin?.abort();
    this.resolveStopped();
  }

  /**
   * Notifies the fleet first, so that no new work arrives while the request path drains. Closes the
   * control port after that, so that in-flight requests are served with a current view of the fleet.
   */
  private async stopInOrder(): Promise<void> {
    await this.control?.announceStop();
    await this.proxy?.stop();
    await this.control?.stop();
    await this.admin?.stop();
    this.resolveStopped();
  }

  /** The identity has no relay port until the relay server listens; it is not sent to peers before that. */
  private identity(): PeerIdentity {
    const { machine, ports } = this.settings;
    return {
      id: machine.id,
      incarnation: this.incarnation,
      address: machine.address,
      controlPort: ports.control,
      relayPort: portOf(this.proxy?.relayServer),
      zone: machine.zone,
      region: machine.region,
    };
  }

  private createContainment(): Containment {
    const { machine } = this.settings;
    const containment = new Containment({
      nodeName: `${machine.id} ${randomUUID()}`,
      callerHeader: NATIVE_CALLER_PROTOCOL.callerHeader,
      nowMs: this.now,
      counters: this.metrics,
      logStateChange: (event, detail) => this.logger.warn(event, { detail }),
    });
    declareContainmentMetrics(this.metrics, containment);
    return containment;
  }

  private createProxy(): RequestProxy {
    const lateAnswers = new LateAnswers();
    declareLateAnswerMetrics(this.metrics, lateAnswers);
    return createRequestProxy({
      onLateAnswer: (service, times) => lateAnswers.record(service, times),
      identity: this.identity(),
      snapshots: { current: () => this.servedSnapshot() },
      members: {
        status: (machineId) => this.control?.plane.memberStatus(machineId) ?? 'unknown',
        relayAddress: (machineId) => this.relayAddress(machineId),
        count: () => this.memberCount(),
        machineIds: () => this.memberIds(),
      },
      counters: this.metrics,
      random: Math.random,
      limits: {
        maxHeaderBytes: this.settings.proxy.maxHeaderBytes,
        maxBodyBytes: this.settings.proxy.maxBodyBytes,
        maxCallsInFlight: this.settings.proxy.maxPendingRequests,
        maxWaitingRequests: this.settings.proxy.maxWaitingRequests,
        stopTimeoutMs: this.settings.proxy.drainTimeoutMs,
      },
      containment: this.containment,
      claims: new ControlPlaneClaims((event) => this.control?.offer(event) ?? false),
      fleetKey: Buffer.from(this.settings.fleetKey, 'utf8'),
      logStateChange: (event, detail) => this.logger.info(event, { detail }),
    });
  }

  private openControl(): Promise<ControlNode> {
    const { settings } = this;
    return ControlNode.open({
      identity: this.identity(),
      fleetKey: settings.fleetKey,
      tls: settings.tls,
      seeds: settings.seeds,
      overlay: settings.overlay,
      platform: settings.platform && new PlatformClient({ ...settings.platform, now: this.now }),
      components: [
        (documents, electorate) => this.createSourceReader(documents, electorate),
        (documents, fleet) => createReplica(settings, this.metrics, documents, fleet),
        (_documents, fleet) => createClaims(settings, this.metrics, fleet),
        () => new SuspicionFlood(this.containment, (event) => this.control?.offer(event)),
      ],
      counters: this.metrics,
      random: Math.random,
      now: this.now,
      onSnapshot: (snapshot) => this.adopt(snapshot),
      onStateChange: (event, detail) => this.logger.info(event, { detail }),
    });
  }

  private createSourceReader(documents: DocumentSink, electorate: ElectorateView): SourceReader {
    this.reader = createReader(this.settings, this.metrics, documents, electorate);
    return this.reader;
  }

  private openAdmin(control: ControlNode): Promise<AdminServer> {
    return AdminServer.open({
      settings: this.settings,
      view: {
        current: () => this.snapshot,
        subscribe: (listener) => this.subscribe(listener),
      },
      status: () =>
        composeNodeStatus({
          plane: control.plane,
          now: this.now,
          startedAtMs: this.startedAtMs,
          isReader: () => (this.reader?.heldSlots(this.now()) ?? []).length > 0,
          endpoints: () => this.proxy?.endpointStates() ?? [],
        }),
      suspicions: this.containment,
      writePort: new ReplicatedWritePort((event) => control.offer(event)),
      metrics: this.metrics,
      logger: this.logger,
    });
  }

  private adopt(snapshot: Snapshot): void {
    this.snapshot = snapshot;
    const { source, operator } = snapshot.version;
    this.logger.info('configuration-in-force', {
      source: source.number,
      operator: operator.number,
    });
    for (const listener of this.listeners) {
      listener(snapshot);
    }
  }

  private subscribe(listener: SnapshotListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Undefined before the first configuration, so that requests are refused rather than misrouted. */
  private servedSnapshot(): Snapshot | undefined {
    const { version, resources } = this.snapshot;
    return version.source.number === 0 && resources.size === 0 ? undefined : this.snapshot;
  }

  private relayAddress(machineId: string): { address: string; port: number } | undefined {
    const found = this.control?.plane.relayAddress(machineId);
    return found && { address: found.address, port: found.relayPort };
  }

  private memberCount(): number {
    return Math.max(1, this.control?.plane.status().machines ?? 1);
  }

  private *memberIds(): IterableIterator<string> {
    for (const { member, status } of this.control?.plane.members() ?? []) {
      if (status !== 'dead') {
        yield member.id;
      }
    }
  }
}

function portOf(server: http.Server | undefined): number {
  return (server?.address() as AddressInfo | null | undefined)?.port ?? 0;
}

function listen(server: http.Server, address: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

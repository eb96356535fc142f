/**
 * The control plane of one node at work: decision logic, peer transport and platform client, joined
 * by a {@link ControlRuntime}. It has no request path, so that many can share a process.
 */
import type { ComponentFactory, ControlPlaneOptions } from '../control/control-options.js';
import { ControlPlane } from '../control/control-plane.js';
import type {
  ControlEffect,
  ControlEvent,
  CounterSink,
  RandomSource,
} from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { Snapshot } from '../model/snapshot.js';
import type { PlatformClient } from '../source/platform-client.js';
import { createPeerTransport } from '../transport/peer-transport.js';
import type { PeerTransport, TransportTls } from '../transport/transport-options.js';
import { ControlRuntime } from './control-runtime.js';

/** What a control node is made from. */
export interface ControlNodeOptions {
  /** Who the node is; a `controlPort` of 0 takes a free port. */
  readonly identity: PeerIdentity;
  readonly fleetKey: string;
  readonly tls?: TransportTls | undefined;
  readonly seeds: readonly PeerAddress[];
  /** Numbers of the overlay; see `CONTROL_DEFAULTS`. */
  readonly overlay?: Partial<
    Pick<
      ControlPlaneOptions,
      | 'neighbours'
      | 'maxInbound'
      | 'heartbeatIntervalMs'
      | 'suspectAfterMs'
      | 'deadAfterMs'
      | 'memo'
    >
  >;
  /** Reads the platform; a node without it never reads. */
  readonly platform?: PlatformClient | undefined;
  /** Opens the links to peers; {@link createPeerTransport} unless a tool puts faults in between. */
  readonly openTransport?: typeof createPeerTransport | undefined;
  readonly components: readonly ComponentFactory[];
  readonly counters: CounterSink;
  readonly random: RandomSource;
  /** Clock of leases and deadlines; see `elapsed-clock.ts`. */
  readonly now: () => number;
  /** Told of each configuration that comes into force. */
  readonly onSnapshot: (snapshot: Snapshot) => void;
  /** Told of each change of state worth a line in the log. */
  readonly onStateChange: (what: string, detail: string) => void;
}

/** One running control plane. */
export class ControlNode {
  readonly plane: ControlPlane;
  private readonly runtime: ControlRuntime;
  private announced: Promise<void> | undefined;

  private constructor(
    private readonly options: ControlNodeOptions,
    private readonly transport: PeerTransport,
  ) {
    this.plane = new ControlPlane({
      ...options.overlay,
      identity: transport.identity,
      seeds: options.seeds.filter((seed) => !isSameAddress(seed, transport.identity)),
      random: options.random,
      counters: options.counters,
      components: options.components,
    });
    this.runtime = new ControlRuntime({
      component: this.plane,
      execute: (effect, decidedAtMs) => this.execute(effect, decidedAtMs),
      now: options.now,
      counters: options.counters,
      onFailure: (event, error) => options.onStateChange('control-fault', describe(event, error)),
    });
  }

  /** Opens the control port and starts; rejects when the port can not be opened. */
  static async open(options: ControlNodeOptions): Promise<ControlNode> {
    let deliver: (event: ControlEvent) => void = () => undefined;
    const openTransport = options.openTransport ?? createPeerTransport;
    const transport = await openTransport({
      identity: options.identity,
      fleetKey: options.fleetKey,
      tls: options.tls,
      listen: { address: options.identity.address, port: options.identity.controlPort },
      onEvent: (event) => deliver(event),
      counters: options.counters,
    });
    const node = new ControlNode(options, transport);
    deliver = (event) => node.deliver(event);
    node.runtime.start();
    return node;
  }

  /** Port of the peer protocol. */
  get port(): number {
    return this.transport.port;
  }

  /** Queues an event for the decision logic; false when it can not be taken. */
  offer(event: ControlEvent): boolean {
    return this.runtime.offer(event);
  }

  /** First half of a planned stop: the fleet is told, leases are given back; links stay open. */
  announceStop(): Promise<void> {
    this.announced ??= this.runtime.stop();
    return this.announced;
  }

  /** Planned stop: announces it if that was not done, sends what was written, closes. */
  async stop(): Promise<void> {
    await this.announceStop();
    this.close();
    await this.transport.stop();
  }

  /** Closes everything at once. */
  abort(): void {
    this.close();
    void this.transport.stop();
  }

  private close(): void {
    this.runtime.close();
    this.options.platform?.close();
  }

  /** A peer whose message finds the queue full is hung up: it dials again and catches up. */
  private deliver(event: ControlEvent): void {
    if (!this.runtime.offer(event) && event.type === 'message') {
      this.transport.hangUp(event.from.id);
      this.runtime.offer({ type: 'peer-down', peer: event.from });
    }
  }

  private execute(effect: ControlEffect, decidedAtMs: number): void {
    switch (effect.type) {
      case 'dial':
        this.transport.dial(effect.target);
        break;
      case 'hang-up':
        this.transport.hangUp(effect.peerId);
        break;
      case 'send':
        this.transport.send(effect.to, effect.message);
        break;
      case 'read-platform':
        void this.readPlatform(effect, decidedAtMs);
        break;
      case 'close-platform':
        this.options.platform?.close();
        break;
      case 'snapshot-changed':
        this.options.onSnapshot(effect.snapshot);
        break;
      case 'state-change':
        this.options.onStateChange(effect.what, effect.detail);
        break;
    }
  }

  private async readPlatform(
    effect: Extract<ControlEffect, { type: 'read-platform' }>,
    decidedAtMs: number,
  ): Promise<void> {
    const { document, readId, knownNumber } = effect;
    const deadlineMs = decidedAtMs + effect.abortAfterMs;
    const answer = await this.options.platform?.read(document, knownNumber, deadlineMs);
    this.runtime.offer({
      type: 'platform-answer',
      document,
      readId,
      answer: answer ?? { outcome: 'unavailable' },
    });
  }
}

function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
  return left.address === right.address && left.controlPort === right.controlPort;
}

function describe(event: ControlEvent, error: unknown): string {
  const reason = error instanceof Error ? error.message : String(error);
  return `${event.type}: ${reason}`;
}

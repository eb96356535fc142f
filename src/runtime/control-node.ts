/**
 * The running control plane of one node: decision logic, peer transport and platform client, connected
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

/** Options of a control node. */
export interface ControlNodeOptions {
  /** Identity of the node; a `controlPort` of 0 selects a free port. */
  readonly identity: PeerIdentity;
  readonly fleetKey: string;
  readonly tls?: TransportTls | undefined;
  readonly seeds: readonly PeerAddress[];
  /** Overlay limits and intervals; see `CONTROL_DEFAULTS`. */
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
  /** Reads the platform; a node without a client never reads it. */
  readonly platform?: PlatformClient | undefined;
  /** Opens the links to peers. Defaults to {@link createPeerTransport}; tools replace it to inject faults. */
  readonly openTransport?: typeof createPeerTransport | undefined;
  readonly components: readonly ComponentFactory[];
  readonly counters: CounterSink;
  readonly random: RandomSource;
  /** Clock for leases and deadlines; see `elapsed-clock.ts`. */
  readonly now: () => number;
  /** Called with each snapshot that becomes current. */
  readonly onSnapshot: (snapshot: Snapshot) => void;
  /** Called on each state change that is to be logged. */
  readonly onStateChange: (event: string, detail: string) => void;
}

export class ControlNode {
  readonly plane: ControlPlane;
  private readonly runtime: ControlRuntime;
  private announcement: Promise<void> | undefined;

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

  /** Opens the control port and starts the control plane; rejects if the port cannot be opened. */
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

  /** Queues an event for the decision logic; returns false if the queue is full or closed. */
  offer(event: ControlEvent): boolean {
    return this.runtime.offer(event);
  }

  /** First half of a planned stop: notifies the fleet and releases leases; links stay open. */
  announceStop(): Promise<void> {
    this.announcement ??= this.runtime.stop();
    return this.announcement;
  }

  /** Planned stop: announces it if not done yet, flushes queued messages and closes. */
  async stop(): Promise<void> {
    await this.announceStop();
    this.close();
    await this.transport.stop();
  }

  /** Closes everything immediately. */
  abort(): void {
    this.close();
    void this.transport.stop();
  }

  private close(): void {
    this.runtime.close();
    this.options.platform?.close();
  }

  /** Closes the link to a peer whose message does not fit the queue; the peer dials again and catches up. */
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

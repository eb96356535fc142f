/** Executes the effects of {@link PeerMonitor}: sends datagrams over UDP and fetches changes over HTTP. */
import dgram from 'node:dgram';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { RandomSource } from '../control/control-event.js';
import type { Containment } from '../containment/containment.js';
import type { Suspicion } from '../containment/suspicion.js';
import type { StoreReplica } from '../store/store-replica.js';
import { fetchDelta } from './delta-fetch.js';
import { resolveFeedDelta } from './feed-delta.js';
import { decodeDatagram, encodeDatagram, MAX_AGE_MS, type PeerDatagram } from './peer-datagram.js';
import { SuspicionGossip, type OutgoingSuspicions } from './suspicion-gossip.js';
import {
  PeerMonitor,
  type AwaitedPeer,
  type PeerEffect,
  type ReplicaState,
} from './peer-monitor.js';

/** Options of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
  /** IP address of this machine. Each peer sends its datagrams from its own address. */
  readonly address: string;
  /** UDP port for datagrams, the same on every machine. */
  readonly datagramPort: number;
  /** Port that serves the changes since a revision, the same on every machine. */
  readonly changesPort: number;
  readonly replica: StoreReplica;
  /** Suspicions, which are exchanged with the peers. */
  readonly containment: Containment;
  readonly random: RandomSource;
  /** Time since a reader of the store confirmed the replica, in milliseconds. */
  readonly ageMs: () => number;
  readonly awaited: () => Iterable<AwaitedPeer>;
  /** Called with the age of a peer's replica when a datagram reports it. */
  readonly onAge: (peer: string, ageMs: number) => void;
  /** Called when a delta fetched from a peer has changed the replica. */
  readonly onDeltaApplied: (from: string) => void;
  /** Called when a peer becomes unresponsive or responsive again. */
  readonly onUnresponsive: (peer: string, isUnresponsive: boolean) => void;
}

/** Exchanges datagrams and changes with the peers of one node. */
export class PeerExchange {
  private readonly monitor: PeerMonitor;
  private readonly gossip: SuspicionGossip;
  private peers: ReadonlySet<string> = new Set();
  private readonly socket = dgram.createSocket('udp4');
  private isFetching = false;
  /** Whether the next fetch has to request the full state because a patch did not apply. */
  private needsFullState = false;
  private isClosed = false;

  constructor(private readonly options: PeerExchangeOptions) {
    const { containment, random } = options;
    this.monitor = new PeerMonitor(random);
    this.gossip = new SuspicionGossip({
      random,
      digest: () => containment.digest,
      list: () => containment.list(),
    });
    containment.subscribe(this.gossipSuspicions);
    this.socket.on('error', () => undefined);
    this.socket.on('message', (bytes, { address }) => this.receive(address, bytes));
  }

  /** Binds the datagram socket. */
  open(): Promise<void> {
    const { address, datagramPort } = this.options;
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(datagramPort, address, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
  }

  close(): void {
    this.isClosed = true;
    this.socket.close();
  }

  /** Sets the addresses of all machines; this machine's own address is ignored. */
  setMachines(machines: Iterable<string>): void {
    const peers = [...machines].filter((machine) => machine !== this.options.address);
    this.peers = new Set(peers);
    this.monitor.setPeers(peers);
    this.gossip.setPeers(peers);
  }

  /**
   * How long a peer has been known to be ahead, in milliseconds; 0 if none is. This node may have received
   * the missing changes since the last tick.
   */
  get behindMs(): number {
    const { behindSinceMs } = this.monitor;
    return behindSinceMs === undefined ? 0 : MACHINE_CLOCK.now() - behindSinceMs;
  }

  isUnresponsive(peer: string): boolean {
    return this.monitor.isUnresponsive(peer);
  }

  /** Records that the peer has answered a request. */
  recordReceived(peer: string): void {
    this.execute(this.monitor.recordReceived(peer, MACHINE_CLOCK.now()));
  }

  /** Must be called several times per second. */
  tick(): void {
    const { awaited } = this.options;
    this.execute(this.monitor.tick(MACHINE_CLOCK.now(), this.ownState(), awaited()));
  }

  /** Pings `peers` and some others. */
  pingPeers(peers: readonly string[]): void {
    this.execute(this.monitor.pingPeers(peers, this.ownState()));
  }

  private receive(from: string, bytes: Uint8Array): void {
    const datagram = decodeDatagram(bytes);
    if (datagram?.kind === 'suspicions') {
      this.receiveSuspicions(from, datagram.suspicions);
    } else if (datagram !== undefined) {
      const nowMs = MACHINE_CLOCK.now();
      this.options.onAge(from, datagram.ageMs);
      this.execute(this.monitor.receive(from, datagram, this.ownState(), nowMs));
      this.sendSuspicions(this.gossip.handleDigest(from, datagram.suspicionDigest, nowMs));
    }
  }

  /** Accepts suspicions from machines of the fleet only; others could use them to block any request. */
  private receiveSuspicions(from: string, suspicions: readonly Suspicion[]): void {
    if (this.peers.has(from)) {
      const learned = this.options.containment.learn(suspicions, this.gossipSuspicions);
      this.sendSuspicions(this.gossip.propagate(learned, from));
    }
  }

  private readonly gossipSuspicions = (changed: readonly Suspicion[]): void => {
    this.sendSuspicions(this.gossip.propagate(changed));
  };

  private sendSuspicions(outgoing: readonly OutgoingSuspicions[]): void {
    outgoing.forEach(({ to, suspicions }) => this.send(to, { kind: 'suspicions', suspicions }));
  }

  private ownState(): ReplicaState {
    const { replica, ageMs, containment } = this.options;
    return {
      revision: replica.revision,
      ageMs: Math.round(Math.min(ageMs(), MAX_AGE_MS)),
      suspicionDigest: containment.digest,
    };
  }

  private execute(effects: readonly PeerEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'send':
          this.send(effect.to, effect.datagram);
          break;
        case 'fetch':
          void this.fetch(effect.from);
          break;
        case 'silent':
          this.options.onUnresponsive(effect.peer, true);
          break;
        case 'heard-again':
          this.options.onUnresponsive(effect.peer, false);
          break;
      }
    }
  }

  /** An endpoint's end may be evaluated after the socket was closed; sending then would crash the process. */
  private send(to: string, datagram: PeerDatagram): void {
    if (this.isClosed) {
      return;
    }
    this.socket.send(encodeDatagram(datagram), this.options.datagramPort, to, () => undefined);
  }

  private async fetch(from: string): Promise<void> {
    if (this.isFetching) {
      return;
    }
    this.isFetching = true;
    const { replica, changesPort, onDeltaApplied } = this.options;
    const feedDelta = await fetchDelta(
      from,
      changesPort,
      this.needsFullState ? 0 : replica.revision,
    );
    this.isFetching = false;
    if (feedDelta === undefined) {
      this.monitor.fetchFailed(from);
      return;
    }
    const delta = resolveFeedDelta(replica, feedDelta);
    this.needsFullState = delta === undefined;
    if (delta !== undefined && replica.applyDelta(delta)) {
      onDeltaApplied(from);
    }
  }
}

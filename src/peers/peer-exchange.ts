/** Executes what {@link PeerMonitor} decides: datagrams over UDP, changes over HTTP. */
import dgram from 'node:dgram';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { RandomSource } from '../control/control-event.js';
import type { Containment } from '../containment/containment.js';
import type { Suspicion } from '../containment/suspicion.js';
import type { StoreReplica } from '../store/store-replica.js';
import { fetchDelta } from './delta-fetch.js';
import { resolveFeedDelta } from './feed-delta.js';
import { decodeDatagram, encodeDatagram, MAX_AGE_MS, type PeerDatagram } from './peer-datagram.js';
import { SuspicionGossip, type SentNews } from './suspicion-gossip.js';
import {
  PeerMonitor,
  type AwaitedPeer,
  type PeerEffect,
  type ReplicaState,
} from './peer-monitor.js';

/** What the exchange needs of its node. */
export interface PeerExchangeOptions {
  /** IP number of this machine; the peers' datagrams come from theirs. */
  readonly address: string;
  /** Port of the datagrams, the same on every machine. */
  readonly datagramPort: number;
  /** Port that serves the changes since a revision, the same on every machine. */
  readonly changesPort: number;
  readonly replica: StoreReplica;
  /** What is known of requests under which endpoints ended; told to peers, and learnt from them. */
  readonly containment: Containment;
  readonly random: RandomSource;
  /** Time since a reader of the store confirmed the replica, in milliseconds. */
  readonly ageMs: () => number;
  readonly awaited: () => Iterable<AwaitedPeer>;
  /** A datagram told how old the replica of a peer is. */
  readonly onAge: (peer: string, ageMs: number) => void;
  /** Changes were taken from a peer. */
  readonly onLearned: (from: string) => void;
  /** Nothing is heard of a peer, or it was heard again. */
  readonly onSilence: (peer: string, isSilent: boolean) => void;
}

/** The exchange of one node. */
export class PeerExchange {
  private readonly monitor: PeerMonitor;
  private readonly gossip: SuspicionGossip;
  private peers: ReadonlySet<string> = new Set();
  private readonly socket = dgram.createSocket('udp4');
  private isFetching = false;
  /** The next fetch is to bring the whole state: a patch did not fit. */
  private needsWhole = false;
  private isClosed = false;

  constructor(private readonly options: PeerExchangeOptions) {
    const { containment, random } = options;
    this.monitor = new PeerMonitor(random);
    this.gossip = new SuspicionGossip({
      random,
      digest: () => containment.digest,
      list: () => containment.list(),
    });
    containment.subscribe(this.tellSuspicions);
    this.socket.on('error', () => undefined);
    this.socket.on('message', (bytes, { address }) => this.receive(address, bytes));
  }

  /** Begins to speak and listen. */
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

  /** Takes the addresses of all machines; this one's is left out. */
  setMachines(machines: Iterable<string>): void {
    const peers = [...machines].filter((machine) => machine !== this.options.address);
    this.peers = new Set(peers);
    this.monitor.setPeers(peers);
    this.gossip.setPeers(peers);
  }

  /**
   * For how long a peer has been known to be ahead, in milliseconds; 0 where none is. What it is ahead by may
   * have come since the last tick.
   */
  get behindMs(): number {
    const { behindSinceMs } = this.monitor;
    return behindSinceMs === undefined ? 0 : MACHINE_CLOCK.now() - behindSinceMs;
  }

  isSilent(peer: string): boolean {
    return this.monitor.isSilent(peer);
  }

  /** The peer answered a request. */
  heard(peer: string): void {
    this.execute(this.monitor.heard(peer, MACHINE_CLOCK.now()));
  }

  /** To be called several times a second. */
  tick(): void {
    const { awaited } = this.options;
    this.execute(this.monitor.tick(MACHINE_CLOCK.now(), this.ownState(), awaited()));
  }

  private receive(from: string, bytes: Uint8Array): void {
    const datagram = decodeDatagram(bytes);
    if (datagram?.kind === 'suspicions') {
      this.takeSuspicions(from, datagram.suspicions);
    } else if (datagram !== undefined) {
      const nowMs = MACHINE_CLOCK.now();
      this.options.onAge(from, datagram.ageMs);
      this.execute(this.monitor.receive(from, datagram, this.ownState(), nowMs));
      this.sendNews(this.gossip.heardDigest(from, datagram.suspicionDigest, nowMs));
    }
  }

  /** Only machines of the fleet are believed: news from elsewhere could keep any request from being served. */
  private takeSuspicions(from: string, suspicions: readonly Suspicion[]): void {
    if (this.peers.has(from)) {
      const isNew = this.options.containment.learn(suspicions, this.tellSuspicions);
      this.sendNews(this.gossip.learned(isNew, from));
    }
  }

  private readonly tellSuspicions = (changed: readonly Suspicion[]): void => {
    this.sendNews(this.gossip.learned(changed));
  };

  private sendNews(news: readonly SentNews[]): void {
    news.forEach(({ to, suspicions }) => this.send(to, { kind: 'suspicions', suspicions }));
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
          this.options.onSilence(effect.peer, true);
          break;
        case 'heard-again':
          this.options.onSilence(effect.peer, false);
          break;
      }
    }
  }

  /** The end of an endpoint may be judged after the close: a send then would end the process. */
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
    const { replica, changesPort, onLearned } = this.options;
    const told = await fetchDelta(from, changesPort, this.needsWhole ? 0 : replica.revision);
    this.isFetching = false;
    if (told === undefined) {
      this.monitor.fetchFailed(from);
      return;
    }
    const delta = resolveFeedDelta(replica, told);
    this.needsWhole = delta === undefined;
    if (delta !== undefined && replica.applyDelta(delta)) {
      onLearned(from);
    }
  }
}

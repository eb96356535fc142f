/**
 * Watches over a node's peers. Peers are told of each other's replicas, so that a node that the store
 * fails learns from them; and a peer from which answers are awaited, but nothing is heard, is asked
 * for a sign of life, so that a silent one is known long before its connections time out. Pure.
 */
import type { RandomSource } from '../control/control-event.js';
import type { SignOfLife } from './peer-datagram.js';

/** Time between two pings to peers chosen at random, in milliseconds. */
const GOSSIP_INTERVAL_MS = 700;
/** Silence of a peer that owes an answer after which it is pinged, in milliseconds. */
const AWAITED_SILENCE_MS = 400;
/** Time between two pings to such a peer, in milliseconds. */
const PING_INTERVAL_MS = 150;
/** Pings in a row without a sign of life after which a peer is taken for silent. */
const PINGS_TO_SILENCE = 3;
/** Time between two pings to a silent peer, in milliseconds. */
const SILENT_PING_INTERVAL_MS = 400;
/** Time for which a peer must be ahead before its changes are fetched, in milliseconds. */
const AHEAD_PERIOD_MS = 500;
/** Time between two fetches, in milliseconds. */
const FETCH_INTERVAL_MS = 500;

/** Something to be done. */
export type PeerEffect =
  | { readonly type: 'send'; readonly to: string; readonly datagram: SignOfLife }
  /** Fetch what the peer's replica has and this node's lacks. */
  | { readonly type: 'fetch'; readonly from: string }
  /** Nothing is heard of the peer. */
  | { readonly type: 'silent'; readonly peer: string }
  /** A silent peer was heard again. */
  | { readonly type: 'heard-again'; readonly peer: string };

/** What a node tells of its replica. */
export type ReplicaState = Pick<SignOfLife, 'revision' | 'ageMs' | 'suspicionDigest'>;

/** A peer that owes this node an answer. */
export interface AwaitedPeer {
  readonly peer: string;
  /** Since when the oldest answer is owed, in milliseconds. */
  readonly sinceMs: number;
}

interface PeerState {
  heardAtMs: number;
  pingedAtMs: number;
  /** Pings since the last sign of life. */
  unansweredPings: number;
  isSilent: boolean;
}

/** A peer whose replica is ahead. */
interface PeerAhead {
  readonly peer: string;
  readonly revision: number;
  readonly sinceMs: number;
  /** Its changes could not be had: the next peer that is as far takes its place. */
  readonly hasFailed: boolean;
}

/** The peers of one node. */
export class PeerMonitor {
  private readonly states = new Map<string, PeerState>();
  /** Those of the silent peers, so that a tick does not look at all peers. */
  private readonly silent = new Map<string, PeerState>();
  private peers: readonly string[] = [];
  private ahead: PeerAhead | undefined;
  private nextGossipAtMs = 0;
  private nextFetchAtMs = 0;

  constructor(private readonly random: RandomSource) {}

  /** Takes the addresses of all other machines. */
  setPeers(peers: readonly string[]): void {
    this.peers = peers;
    const known = new Set(peers);
    for (const peer of [...this.states.keys()]) {
      if (!known.has(peer)) {
        this.states.delete(peer);
        this.silent.delete(peer);
      }
    }
  }

  /** Since when a peer is known to be ahead, in milliseconds; undefined while none is. */
  get behindSinceMs(): number | undefined {
    return this.ahead?.sinceMs;
  }

  /** Whether nothing is heard of the peer. */
  isSilent(peer: string): boolean {
    return this.states.get(peer)?.isSilent === true;
  }

  /** The peer gave a sign of life. */
  heard(peer: string, nowMs: number): PeerEffect[] {
    const state = this.stateOf(peer);
    const wasSilent = state.isSilent;
    state.heardAtMs = nowMs;
    state.unansweredPings = 0;
    state.isSilent = false;
    this.silent.delete(peer);
    return wasSilent ? [{ type: 'heard-again', peer }] : [];
  }

  /** The changes of a peer that is ahead could not be had. */
  fetchFailed(peer: string): void {
    if (this.ahead?.peer === peer) {
      this.ahead = { ...this.ahead, hasFailed: true };
    }
  }

  /** A datagram arrived. */
  receive(peer: string, datagram: SignOfLife, own: ReplicaState, nowMs: number): PeerEffect[] {
    const effects = this.heard(peer, nowMs);
    this.compare(peer, datagram.revision, own.revision, nowMs);
    if (datagram.kind === 'ping') {
      const answer: SignOfLife = { kind: 'acknowledgement', ...own };
      effects.push({ type: 'send', to: peer, datagram: answer });
    }
    return effects;
  }

  /** To be called often; `awaited` are the peers that owe this node an answer. */
  tick(nowMs: number, own: ReplicaState, awaited: Iterable<AwaitedPeer>): PeerEffect[] {
    const ping: SignOfLife = { kind: 'ping', ...own };
    const effects: PeerEffect[] = [];
    for (const { peer, sinceMs } of awaited) {
      effects.push(...this.probe(peer, sinceMs, ping, nowMs));
    }
    for (const [peer, state] of this.silent) {
      if (nowMs - state.pingedAtMs >= SILENT_PING_INTERVAL_MS) {
        state.pingedAtMs = nowMs;
        effects.push({ type: 'send', to: peer, datagram: ping });
      }
    }
    return [...effects, ...this.gossip(ping, nowMs), ...this.fetch(own.revision, nowMs)];
  }

  private probe(peer: string, sinceMs: number, ping: SignOfLife, nowMs: number): PeerEffect[] {
    const state = this.stateOf(peer);
    const quietSinceMs = Math.max(sinceMs, state.heardAtMs);
    const isQuiet = nowMs - quietSinceMs >= AWAITED_SILENCE_MS;
    if (!isQuiet || state.isSilent || nowMs - state.pingedAtMs < PING_INTERVAL_MS) {
      return [];
    }
    if (state.unansweredPings >= PINGS_TO_SILENCE) {
      state.isSilent = true;
      this.silent.set(peer, state);
      return [{ type: 'silent', peer }];
    }
    state.unansweredPings += 1;
    state.pingedAtMs = nowMs;
    return [{ type: 'send', to: peer, datagram: ping }];
  }

  private gossip(ping: SignOfLife, nowMs: number): PeerEffect[] {
    const to = this.peers[Math.floor(this.random() * this.peers.length)];
    if (nowMs < this.nextGossipAtMs || to === undefined) {
      return [];
    }
    this.nextGossipAtMs = nowMs + GOSSIP_INTERVAL_MS;
    return [{ type: 'send', to, datagram: ping }];
  }

  private compare(peer: string, revision: number, ownRevision: number, nowMs: number): void {
    const { ahead } = this;
    const takesPlace = ahead?.hasFailed === true && revision === ahead.revision;
    if (revision > ownRevision && (revision > (ahead?.revision ?? 0) || takesPlace)) {
      this.ahead = { peer, revision, sinceMs: ahead?.sinceMs ?? nowMs, hasFailed: false };
    }
  }

  /** A node that holds nothing fetches at once; others first leave it to their watch of the store. */
  private fetch(ownRevision: number, nowMs: number): PeerEffect[] {
    if (this.ahead !== undefined && this.ahead.revision <= ownRevision) {
      this.ahead = undefined;
    }
    if (this.ahead === undefined || nowMs < this.nextFetchAtMs) {
      return [];
    }
    const { peer, sinceMs } = this.ahead;
    if (ownRevision > 0 && nowMs - sinceMs < AHEAD_PERIOD_MS) {
      return [];
    }
    this.nextFetchAtMs = nowMs + FETCH_INTERVAL_MS;
    return [{ type: 'fetch', from: peer }];
  }

  private stateOf(peer: string): PeerState {
    let state = this.states.get(peer);
    if (state === undefined) {
      state = { heardAtMs: -Infinity, pingedAtMs: -Infinity, unansweredPings: 0, isSilent: false };
      this.states.set(peer, state);
    }
    return state;
  }
}

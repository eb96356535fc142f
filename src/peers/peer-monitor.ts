/**
 * Monitors a node's peers. Nodes exchange the revisions of their replicas, so that a node that can't read
 * the store fetches changes from its peers. A peer that owes an answer but sends nothing is pinged, so that
 * an unresponsive peer is detected long before its connections time out. Pure.
 */
import type { RandomSource } from '../control/control-event.js';
import type { LivenessDatagram } from './peer-datagram.js';

/** Interval between pings to random peers, in milliseconds. */
const GOSSIP_INTERVAL_MS = 700;
/** Idle time after which a peer that owes an answer is pinged, in milliseconds. */
const PING_AFTER_IDLE_MS = 400;
/** Interval between pings to an idle peer that owes an answer, in milliseconds. */
const PING_INTERVAL_MS = 150;
/** Consecutive unanswered pings after which a peer is considered unresponsive. */
const MAX_UNANSWERED_PINGS = 3;
/** Interval between pings to an unresponsive peer, in milliseconds. */
const UNRESPONSIVE_PING_INTERVAL_MS = 400;
/** Further peers that are pinged when this node loses its source or has one again. */
const PINGED_PEERS = 8;
/** Time for which a peer must be ahead before its changes are fetched, in milliseconds. */
const FETCH_DELAY_MS = 500;
/** Minimum time between two fetches, in milliseconds. */
const FETCH_INTERVAL_MS = 500;

/** An action for the caller to execute. */
export type PeerEffect =
  | { readonly type: 'send'; readonly to: string; readonly datagram: LivenessDatagram }
  /** Fetch the changes that this node's replica is missing. */
  | { readonly type: 'fetch'; readonly from: string }
  /** The peer has become unresponsive. */
  | { readonly type: 'silent'; readonly peer: string }
  /** An unresponsive peer has become responsive again. */
  | { readonly type: 'heard-again'; readonly peer: string };

/** State that a node sends in its pings and acknowledgements. */
export type ReplicaState = Pick<LivenessDatagram, 'revision' | 'ageMs' | 'suspicionDigest'>;

/** A peer that owes this node an answer. */
export interface AwaitedPeer {
  readonly peer: string;
  /** When the wait for the oldest pending answer began, in milliseconds. */
  readonly sinceMs: number;
}

interface PeerState {
  lastReceivedAtMs: number;
  lastPingAtMs: number;
  /** Pings sent since the last message from the peer. */
  unansweredPings: number;
  isUnresponsive: boolean;
}

/** A peer whose replica is ahead. */
interface PeerAhead {
  readonly peer: string;
  readonly revision: number;
  readonly sinceMs: number;
  /** Whether a fetch from it has failed; the next peer at the same revision then replaces it. */
  readonly hasFailed: boolean;
}

/** Tracks the peers of one node. */
export class PeerMonitor {
  private readonly states = new Map<string, PeerState>();
  /** States of the unresponsive peers, so that a tick does not iterate over all peers. */
  private readonly unresponsive = new Map<string, PeerState>();
  private peers: readonly string[] = [];
  /** Index in `peers` of the next one to be pinged. */
  private nextPinged = 0;
  private ahead: PeerAhead | undefined;
  private nextGossipAtMs = 0;
  private nextFetchAtMs = 0;

  constructor(private readonly random: RandomSource) {}

  /** Sets the addresses of all other machines. */
  setPeers(peers: readonly string[]): void {
    this.peers = peers;
    this.nextPinged = Math.floor(this.random() * peers.length);
    const known = new Set(peers);
    for (const peer of [...this.states.keys()]) {
      if (!known.has(peer)) {
        this.states.delete(peer);
        this.unresponsive.delete(peer);
      }
    }
  }

  /** When a peer was first known to be ahead, in milliseconds; undefined if none is. */
  get behindSinceMs(): number | undefined {
    return this.ahead?.sinceMs;
  }

  isUnresponsive(peer: string): boolean {
    return this.states.get(peer)?.isUnresponsive === true;
  }

  /** Records that the peer has answered a request or sent a datagram. */
  recordReceived(peer: string, nowMs: number): PeerEffect[] {
    const state = this.stateOf(peer);
    const wasUnresponsive = state.isUnresponsive;
    state.lastReceivedAtMs = nowMs;
    state.unansweredPings = 0;
    state.isUnresponsive = false;
    this.unresponsive.delete(peer);
    return wasUnresponsive ? [{ type: 'heard-again', peer }] : [];
  }

  /** Records that a fetch from the peer has failed. */
  fetchFailed(peer: string): void {
    if (this.ahead?.peer === peer) {
      this.ahead = { ...this.ahead, hasFailed: true };
    }
  }

  /** Handles a ping or an acknowledgement. */
  receive(
    peer: string,
    datagram: LivenessDatagram,
    own: ReplicaState,
    nowMs: number,
  ): PeerEffect[] {
    const effects = this.recordReceived(peer, nowMs);
    this.compare(peer, datagram.revision, own.revision, nowMs);
    if (datagram.kind === 'ping') {
      const answer: LivenessDatagram = { kind: 'acknowledgement', ...own };
      effects.push({ type: 'send', to: peer, datagram: answer });
    }
    return effects;
  }

  /** Must be called several times per second; `awaited` are the peers that owe this node an answer. */
  tick(nowMs: number, own: ReplicaState, awaited: Iterable<AwaitedPeer>): PeerEffect[] {
    const ping: LivenessDatagram = { kind: 'ping', ...own };
    const effects: PeerEffect[] = [];
    for (const { peer, sinceMs } of awaited) {
      effects.push(...this.probe(peer, sinceMs, ping, nowMs));
    }
    for (const [peer, state] of this.unresponsive) {
      if (nowMs - state.lastPingAtMs >= UNRESPONSIVE_PING_INTERVAL_MS) {
        state.lastPingAtMs = nowMs;
        effects.push({ type: 'send', to: peer, datagram: ping });
      }
    }
    return [...effects, ...this.pingRandomPeer(ping, nowMs), ...this.fetch(own.revision, nowMs)];
  }

  /** Pings `peers` and some others, each time the next ones, so that all are asked in turn. */
  pingPeers(peers: readonly string[], own: ReplicaState): PeerEffect[] {
    const datagram: LivenessDatagram = { kind: 'ping', ...own };
    const targets = new Set(peers);
    for (let count = 0; count < Math.min(PINGED_PEERS, this.peers.length); count += 1) {
      const peer = this.peers[this.nextPinged];
      if (peer !== undefined) {
        targets.add(peer);
      }
      this.nextPinged = (this.nextPinged + 1) % this.peers.length;
    }
    return [...targets].map((to): PeerEffect => ({ type: 'send', to, datagram }));
  }

  private probe(
    peer: string,
    sinceMs: number,
    ping: LivenessDatagram,
    nowMs: number,
  ): PeerEffect[] {
    const state = this.stateOf(peer);
    const idleSinceMs = Math.max(sinceMs, state.lastReceivedAtMs);
    const isIdle = nowMs - idleSinceMs >= PING_AFTER_IDLE_MS;
    if (!isIdle || state.isUnresponsive || nowMs - state.lastPingAtMs < PING_INTERVAL_MS) {
      return [];
    }
    if (state.unansweredPings >= MAX_UNANSWERED_PINGS) {
      state.isUnresponsive = true;
      this.unresponsive.set(peer, state);
      return [{ type: 'silent', peer }];
    }
    state.unansweredPings += 1;
    state.lastPingAtMs = nowMs;
    return [{ type: 'send', to: peer, datagram: ping }];
  }

  private pingRandomPeer(ping: LivenessDatagram, nowMs: number): PeerEffect[] {
    const to = this.peers[Math.floor(this.random() * this.peers.length)];
    if (nowMs < this.nextGossipAtMs || to === undefined) {
      return [];
    }
    this.nextGossipAtMs = nowMs + GOSSIP_INTERVAL_MS;
    return [{ type: 'send', to, datagram: ping }];
  }

  private compare(peer: string, revision: number, ownRevision: number, nowMs: number): void {
    const { ahead } = this;
    const replacesFailed = ahead?.hasFailed === true && revision === ahead.revision;
    if (revision > ownRevision && (revision > (ahead?.revision ?? 0) || replacesFailed)) {
      this.ahead = { peer, revision, sinceMs: ahead?.sinceMs ?? nowMs, hasFailed: false };
    }
  }

  /** A node without state fetches at once; others wait for their watch of the store to deliver the change. */
  private fetch(ownRevision: number, nowMs: number): PeerEffect[] {
    if (this.ahead !== undefined && this.ahead.revision <= ownRevision) {
      this.ahead = undefined;
    }
    if (this.ahead === undefined || nowMs < this.nextFetchAtMs) {
      return [];
    }
    const { peer, sinceMs } = this.ahead;
    if (ownRevision > 0 && nowMs - sinceMs < FETCH_DELAY_MS) {
      return [];
    }
    this.nextFetchAtMs = nowMs + FETCH_INTERVAL_MS;
    return [{ type: 'fetch', from: peer }];
  }

  private stateOf(peer: string): PeerState {
    let state = this.states.get(peer);
    if (state === undefined) {
      state = {
        lastReceivedAtMs: -Infinity,
        lastPingAtMs: -Infinity,
        unansweredPings: 0,
        isUnresponsive: false,
      };
      this.states.set(peer, state);
    }
    return state;
  }
}

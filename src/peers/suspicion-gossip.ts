/**
 * Spreads what is known of requests under which endpoints ended: each node passes what is new to it on to a
 * few others at once, and two nodes whose digests differ tell each other what they know. Pure: gives what
 * is to be sent.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Suspicion } from '../containment/suspicion.js';
import { limitToBytes } from '../containment/suspicion-layout.js';

/**
 * Peers to which a node passes on what is new to it. Of so many that each tell four, 98% hear of it without
 * any repetition; the rest ask within a second or two, by their pings.
 */
const FANOUT = 4;
/** Bytes of a datagram that holds suspicions, at most: one packet on every usual link. */
const MAX_NEWS_BYTES = 1_200;
/** Least time between two answers to digests that differ, in milliseconds: 2 KB/s at most. */
const ANSWER_INTERVAL_MS = 600;

/** Something to be sent. */
export interface SentNews {
  readonly to: string;
  readonly suspicions: readonly Suspicion[];
}

/** What gossip needs of its node. */
export interface SuspicionGossipOptions {
  readonly random: RandomSource;
  /** Digest of what this node knows. */
  readonly digest: () => number;
  /** All that it knows, what is most suspected first. */
  readonly list: () => readonly Suspicion[];
}

/** The gossip of one node. */
export class SuspicionGossip {
  private peers: readonly string[] = [];
  private answeredAtMs = -Infinity;

  constructor(private readonly options: SuspicionGossipOptions) {}

  /** Takes the addresses of all other machines. */
  setPeers(peers: readonly string[]): void {
    this.peers = peers;
  }

  /** This node has learnt something, from `from` if not by itself. */
  learned(changed: readonly Suspicion[], from?: string): SentNews[] {
    const targets = this.draw(FANOUT, from);
    return packetsOf(changed).flatMap((suspicions) => targets.map((to) => ({ to, suspicions })));
  }

  /** A peer told the digest of what it knows. */
  heardDigest(from: string, digest: number, nowMs: number): SentNews[] {
    const { options } = this;
    const isLong = nowMs - this.answeredAtMs >= ANSWER_INTERVAL_MS;
    if (digest === options.digest() || options.digest() === 0 || !isLong) {
      return [];
    }
    this.answeredAtMs = nowMs;
    return [{ to: from, suspicions: this.selection() }];
  }

  /** What is most suspected; where that does not fit, any part of it, so that all gets told in time. */
  private selection(): readonly Suspicion[] {
    const all = this.options.list();
    const fit = limitToBytes(all, MAX_NEWS_BYTES);
    if (fit.length === all.length) {
      return all;
    }
    const beginsAt = Math.floor(this.options.random() * all.length);
    const firstHalf = limitToBytes(all, MAX_NEWS_BYTES / 2);
    const others = limitToBytes(
      [...all.slice(beginsAt), ...all.slice(0, beginsAt)],
      MAX_NEWS_BYTES / 2,
    );
    return [...firstHalf, ...others];
  }

  /** Different peers, drawn at random; fewer when there are no more. */
  private draw(count: number, without: string | undefined): string[] {
    const candidates = this.peers.length;
    const drawn = new Set<string>();
    for (let tries = 0; tries < count * 3 && drawn.size < Math.min(count, candidates); tries += 1) {
      const peer = this.peers[Math.floor(this.options.random() * candidates)];
      if (peer !== undefined && peer !== without) {
        drawn.add(peer);
      }
    }
    return [...drawn];
  }
}

function packetsOf(suspicions: readonly Suspicion[]): (readonly Suspicion[])[] {
  const packets: (readonly Suspicion[])[] = [];
  let rest = suspicions;
  while (rest.length > 0) {
    const packet = limitToBytes(rest, MAX_NEWS_BYTES);
    packets.push(packet);
    rest = rest.slice(Math.max(1, packet.length));
  }
  return packets;
}

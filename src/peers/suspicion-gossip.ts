/**
 * Gossips suspicions, which are requests during which endpoints crashed. Each node immediately forwards new
 * suspicions to a few random peers, and two nodes whose digests differ exchange theirs. Pure: returns the
 * datagrams to send.
 */
import type { RandomSource } from '../control/control-event.js';
import type { Suspicion } from '../containment/suspicion.js';
import { limitToBytes } from '../containment/suspicion-layout.js';

/**
 * Number of peers to which a node forwards new suspicions. With a fanout of four, 98% of the nodes receive
 * them without any retransmission; the others request them within one or two seconds through their pings.
 */
const FANOUT = 4;
/** Maximum size of a datagram with suspicions, in bytes; it fits into one packet on every usual link. */
const MAX_DATAGRAM_BYTES = 1_200;
/** Minimum time between two answers to differing digests, in milliseconds. Limits them to 2 KB/s. */
const ANSWER_INTERVAL_MS = 600;

/** Suspicions to send to one peer. */
export interface OutgoingSuspicions {
  readonly to: string;
  readonly suspicions: readonly Suspicion[];
}

/** Options of a {@link SuspicionGossip}. */
export interface SuspicionGossipOptions {
  readonly random: RandomSource;
  /** Digest of this node's suspicions. */
  readonly digest: () => number;
  /** All suspicions of this node, the most suspected requests first. */
  readonly list: () => readonly Suspicion[];
}

/** The gossip of one node. */
export class SuspicionGossip {
  private peers: readonly string[] = [];
  private answeredAtMs = -Infinity;

  constructor(private readonly options: SuspicionGossipOptions) {}

  /** Sets the addresses of all other machines. */
  setPeers(peers: readonly string[]): void {
    this.peers = peers;
  }

  /** Forwards new suspicions; `from` is the peer that sent them, undefined if they are this node's own. */
  propagate(changed: readonly Suspicion[], from?: string): OutgoingSuspicions[] {
    const targets = this.pickPeers(FANOUT, from);
    return packetsOf(changed).flatMap((suspicions) => targets.map((to) => ({ to, suspicions })));
  }

  /** Answers a peer's digest if it differs from this node's. */
  handleDigest(from: string, digest: number, nowMs: number): OutgoingSuspicions[] {
    const { options } = this;
    const isAnswerDue = nowMs - this.answeredAtMs >= ANSWER_INTERVAL_MS;
    if (digest === options.digest() || options.digest() === 0 || !isAnswerDue) {
      return [];
    }
    this.answeredAtMs = nowMs;
    return [{ to: from, suspicions: this.selectForAnswer() }];
  }

  /**
   * The suspicions for an answer. If not all fit, half of the bytes go to the most suspected requests and
   * half to a random range, so that all suspicions are eventually sent.
   */
  private selectForAnswer(): readonly Suspicion[] {
    const all = this.options.list();
    const fit = limitToBytes(all, MAX_DATAGRAM_BYTES);
    if (fit.length === all.length) {
      return all;
    }
    const offset = Math.floor(this.options.random() * all.length);
    const firstHalf = limitToBytes(all, MAX_DATAGRAM_BYTES / 2);
    const others = limitToBytes(
      [...all.slice(offset), ...all.slice(0, offset)],
      MAX_DATAGRAM_BYTES / 2,
    );
    return [...firstHalf, ...others];
  }

  /** Picks up to `count` distinct random peers. */
  private pickPeers(count: number, excluded: string | undefined): string[] {
    const candidates = this.peers.length;
    const drawn = new Set<string>();
    for (let tries = 0; tries < count * 3 && drawn.size < Math.min(count, candidates); tries += 1) {
      const peer = this.peers[Math.floor(this.options.random() * candidates)];
      if (peer !== undefined && peer !== excluded) {
        drawn.add(peer);
      }
    }
    return [...drawn];
  }
}

function packetsOf(suspicions: readonly Suspicion[]): (readonly Suspicion[])[] {
  const packets: (readonly Suspicion[])[] = [];
  let remaining = suspicions;
  while (remaining.length > 0) {
    const packet = limitToBytes(remaining, MAX_DATAGRAM_BYTES);
    packets.push(packet);
    remaining = remaining.slice(Math.max(1, packet.length));
  }
  return packets;
}

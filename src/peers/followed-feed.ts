/** The feed that a node follows, and when it has failed. Pure. */
import { MAX_TRANSFER_MS, type TimeoutReason } from '../clock/progress-timer.js';

/**
 * Idle time after which a feed is closed, in milliseconds; a reader's round is 600 ms. Any received byte
 * resets it: if only complete messages did, a message of 1.5 MB on a link of 7 Mbit/s would be discarded
 * shortly before its end and requested again.
 */
const FEED_IDLE_TIMEOUT_MS = 1_100;
/** Time within which the first message of a feed must arrive, in milliseconds. Latency between nodes is a few. */
const FEED_OPEN_TIMEOUT_MS = 450;
/**
 * Factor by which the opening timeout grows after each feed that timed out, before or after its first
 * message, and the maximum number of steps. A saturated link delays every feed, so that changing to another
 * peer does not help.
 */
const OPEN_TIMEOUT_FACTOR = 2;
const MAX_OPEN_TIMEOUT_STEPS = 2;
/** Time since its opening after which a working feed resets the opening timeout, in milliseconds. */
const OPEN_TIMEOUT_RESET_MS = 10_000;

/** Why a feed is closed. */
export interface FeedFailure {
  readonly reason: TimeoutReason;
  /** How long the condition had lasted, in milliseconds. */
  readonly afterMs: number;
}

/** What a message of a feed tells of its state. */
export interface FeedState {
  /** The reader that confirmed it. */
  readonly reader: string;
  /** The node whose reads the store serves; empty if there is none. */
  readonly servedNode: string;
  /** When it was confirmed, in milliseconds. */
  readonly atMs: number;
}

/** One feed, from its opening on. */
export class FollowedFeed {
  /** When a reader last received an answer from the store, as the feed has told; -Infinity before its first message. */
  confirmedAtMs = -Infinity;
  /** The reader behind the feed. */
  reader: string;
  /** The node whose reads the store serves, as the last message has told; empty if the peer is disconnected. */
  servedNode = '';
  private lastReceivedAtMs: number;
  /** When an incomplete message began to arrive; undefined if there is none. */
  private receivingSinceMs: number | undefined;

  constructor(
    readonly peer: string,
    readonly openedAtMs: number,
    /** Whether the peer was known to have newer state than this node when its feed was opened. */
    readonly hasNewerState: boolean,
  ) {
    this.reader = peer;
    this.lastReceivedAtMs = openedAtMs;
  }

  /** Whether its first message has arrived. */
  get hasMessage(): boolean {
    return this.confirmedAtMs !== -Infinity;
  }

  /** Whether a message is arriving. */
  get isReceiving(): boolean {
    return this.receivingSinceMs !== undefined;
  }

  /** Records that bytes arrived; `isPartial` if the last message is incomplete. */
  bytesReceived(isPartial: boolean, nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    this.receivingSinceMs = isPartial ? (this.receivingSinceMs ?? nowMs) : undefined;
  }

  /** Records a whole message. */
  messageReceived({ reader, servedNode, atMs }: FeedState, nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    this.reader = reader;
    this.servedNode = servedNode;
  }

  /** Restarts the timeouts after a suspension, since data that arrived meanwhile has not been read yet. */
  restartTimeouts(nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    this.receivingSinceMs = this.isReceiving ? nowMs : undefined;
  }

  idleMs(nowMs: number): number {
    return nowMs - this.lastReceivedAtMs;
  }

  /** How long the incomplete message has been arriving; 0 if there is none. */
  receivingMs(nowMs: number): number {
    return nowMs - (this.receivingSinceMs ?? nowMs);
  }
}

/** The timeouts of one node's feeds, one after the other. */
export class FeedTimeouts {
  /** Consecutive feeds that timed out before or after their first message; a full link may cause either. */
  private timedOutFeeds = 0;

  /** Whether and why the feed has failed. */
  failureOf(feed: FollowedFeed, nowMs: number): FeedFailure | undefined {
    const idleMs = feed.idleMs(nowMs);
    if (idleMs >= this.idleTimeoutMs(feed)) {
      return { reason: 'silent', afterMs: idleMs };
    }
    const receivingMs = feed.receivingMs(nowMs);
    return receivingMs >= MAX_TRANSFER_MS ? { reason: 'slow', afterMs: receivingMs } : undefined;
  }

  recordTimeout(): void {
    this.timedOutFeeds = Math.min(MAX_OPEN_TIMEOUT_STEPS, this.timedOutFeeds + 1);
  }

  /** Records that the feed has not failed. */
  recordWorking({ hasMessage, openedAtMs }: FollowedFeed, nowMs: number): void {
    if (hasMessage && nowMs - openedAtMs >= OPEN_TIMEOUT_RESET_MS) {
      this.timedOutFeeds = 0;
    }
  }

  /** How long a feed may be idle, in milliseconds. */
  private idleTimeoutMs({ hasMessage, isReceiving }: FollowedFeed): number {
    return hasMessage || isReceiving
      ? FEED_IDLE_TIMEOUT_MS
      : FEED_OPEN_TIMEOUT_MS * OPEN_TIMEOUT_FACTOR ** this.timedOutFeeds;
  }
}

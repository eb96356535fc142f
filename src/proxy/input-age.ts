/**
 * Bounds the time for which input that the process handles may have been waiting unread in its sockets. A process
 * that was suspended, short of CPU time or busy reads its sockets late, and the end of a connection is read after
 * the requests in front of it. Pure.
 */
import { CHECK_INTERVAL_MS } from '../clock/shared-interval.js';

/** Delay of a periodic check, in milliseconds, up to which the event loop counts as on time. */
const MAX_NORMAL_DELAY_MS = 30;
/** Longest time between two periodic checks of an event loop that is on time, in milliseconds. */
const MAX_CHECK_GAP_MS = CHECK_INTERVAL_MS + MAX_NORMAL_DELAY_MS;

/** Derives the age of unread input from the times of the periodic checks, which run once per event loop iteration. */
export class InputAge {
  /** Unless the process is late, all input that had arrived by then has been read. */
  private readUpToMs: number;
  private isBehind = false;

  constructor(private lastCheckMs: number) {
    this.readUpToMs = lastCheckMs;
  }

  /** Must be called every {@link CHECK_INTERVAL_MS} by a timer, and by nothing else. */
  check(nowMs: number): void {
    this.isBehind ||= this.isCheckOverdue(nowMs);
    if (!this.isBehind) {
      this.readUpToMs = nowMs;
    }
    this.lastCheckMs = nowMs;
  }

  /** Whether the event loop is late, and input from that time may still be unread. */
  isLate(nowMs: number): boolean {
    return this.isBehind || this.isCheckOverdue(nowMs);
  }

  /** Longest time for which input may be unread, in milliseconds; 0 if the event loop is on time. */
  maxUnreadMs(nowMs: number): number {
    return this.isLate(nowMs) ? nowMs - this.readUpToMs : 0;
  }

  /** All input that had arrived by `atMs` has been read. */
  caughtUp(atMs: number): void {
    this.readUpToMs = Math.max(this.readUpToMs, atMs);
    this.isBehind = false;
  }

  private isCheckOverdue(nowMs: number): boolean {
    return nowMs - this.lastCheckMs > MAX_CHECK_GAP_MS;
  }
}

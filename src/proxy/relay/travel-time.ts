/**
 * Estimates the excess transit delay of frames on one connection, including the time they waited at either end to
 * be sent or read. This delay has to be subtracted from the remaining times of a request. Performs no I/O.
 */

/**
 * Minimum time for which a measured clock offset is kept, in milliseconds; the maximum is twice that. A clock that
 * stops while its machine is suspended changes the offset permanently.
 */
const WINDOW_MS = 10_000;

/** Compares the monotonic clocks of sender and receiver, which need not be synchronized. */
export class TravelTime {
  /** Smallest offsets in the current and the previous window, which belong to frames without excess delay. */
  private minOffsetMs = Infinity;
  private previousMinOffsetMs = Infinity;
  private windowEndsAtMs = -Infinity;

  /** Excess transit delay of a frame, in milliseconds; `sentAtMs` is on the sender's clock. */
  lostMs(sentAtMs: number, nowMs: number): number {
    if (nowMs >= this.windowEndsAtMs) {
      this.previousMinOffsetMs = this.minOffsetMs;
      this.minOffsetMs = Infinity;
      this.windowEndsAtMs = nowMs + WINDOW_MS;
    }
    const offsetMs = nowMs - sentAtMs;
    this.minOffsetMs = Math.min(this.minOffsetMs, offsetMs);
    return offsetMs - Math.min(this.minOffsetMs, this.previousMinOffsetMs);
  }
}

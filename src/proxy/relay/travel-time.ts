/**
 * How much longer than usual the frames of one connection were on their way, or waited at either end
 * until they were read: what a request's times have lost before it is looked at. Pure.
 */

/**
 * How long a difference between the clocks counts at least, in milliseconds, and at most twice that: a
 * clock that stands still while its machine is suspended changes the difference for good.
 */
const WINDOW_MS = 10_000;

/** Estimates from the sender's and the receiver's monotonic clocks, which need not agree. */
export class TravelTime {
  /** Least differences seen in this window and the one before: those of frames that waited nowhere. */
  private minOffsetMs = Infinity;
  private previousMinOffsetMs = Infinity;
  private windowEndsAtMs = -Infinity;

  /** Time that a frame has lost, in milliseconds; `sentAtMs` is on the sender's clock. */
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

/**
 * How much longer than usual the frames of one connection were on their way, or waited at either end
 * until they were read: what a request's times have lost before it is looked at. Pure.
 */

/** Estimates from the sender's and the receiver's monotonic clocks, which need not agree. */
export class TravelTime {
  /** Least difference seen between the two clocks: that of a frame that waited nowhere. */
  private leastMs = Infinity;

  /** Time that a frame has lost, in milliseconds; `sentAtMs` is on the sender's clock. */
  lostMs(sentAtMs: number, nowMs: number): number {
    const differenceMs = nowMs - sentAtMs;
    this.leastMs = Math.min(this.leastMs, differenceMs);
    return differenceMs - this.leastMs;
  }
}

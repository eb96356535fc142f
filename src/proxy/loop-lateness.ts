/** How late the process has lately been: the longest delay of its regular looks. Pure. */

/** For at least this long a delay counts, and for twice as long at most, in milliseconds. */
const PERIOD_MS = 3_000;

/** Keeps the longest delay of the running period and of the one before. */
export class LoopLateness {
  private periodBeganAtMs = -Infinity;
  private longestMs = 0;
  private longestBeforeMs = 0;

  /** A look was late by `delayMs`. */
  add(delayMs: number, nowMs: number): void {
    this.beginPeriod(nowMs);
    this.longestMs = Math.max(this.longestMs, delayMs);
  }

  /** Longest delay of the last {@link PERIOD_MS} at least, in milliseconds. */
  recentMs(nowMs: number): number {
    this.beginPeriod(nowMs);
    return Math.max(this.longestMs, this.longestBeforeMs);
  }

  private beginPeriod(nowMs: number): void {
    const periodMs = nowMs - this.periodBeganAtMs;
    if (periodMs < PERIOD_MS) {
      return;
    }
    this.longestBeforeMs = periodMs < 2 * PERIOD_MS ? this.longestMs : 0;
    this.longestMs = 0;
    this.periodBeganAtMs = nowMs;
  }
}

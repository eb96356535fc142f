/** How late the process has lately been: the longest delay of its regular looks. Pure. */

/** For at least this long a delay counts, and for twice as long at most, in milliseconds. */
const WINDOW_MS = 3_000;

/** Keeps the longest delay of the running period and of the one before. */
export class EventLoopLag {
  private windowStartedAtMs = -Infinity;
  private currentMaxMs = 0;
  private previousMaxMs = 0;

  /** A look was late by `delayMs`. */
  record(delayMs: number, nowMs: number): void {
    this.rotateWindow(nowMs);
    this.currentMaxMs = Math.max(this.currentMaxMs, delayMs);
  }

  /** Longest delay of the last {@link WINDOW_MS} at least, in milliseconds. */
  recentMaxMs(nowMs: number): number {
    this.rotateWindow(nowMs);
    return Math.max(this.currentMaxMs, this.previousMaxMs);
  }

  private rotateWindow(nowMs: number): void {
    const elapsedMs = nowMs - this.windowStartedAtMs;
    if (elapsedMs < WINDOW_MS) {
      return;
    }
    this.previousMaxMs = elapsedMs < 2 * WINDOW_MS ? this.currentMaxMs : 0;
    this.currentMaxMs = 0;
    this.windowStartedAtMs = nowMs;
  }
}

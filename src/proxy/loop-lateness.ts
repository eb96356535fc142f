/** Event loop lag: the longest recent delay of the periodic checks of the process. Pure. */

/** Minimum time for which a delay counts, in milliseconds; the maximum is twice as long. */
const WINDOW_MS = 3_000;

/** Keeps the longest delay of the current window and of the previous one. */
export class EventLoopLag {
  private windowStartedAtMs = -Infinity;
  private currentMaxMs = 0;
  private previousMaxMs = 0;

  /** Records a check that was late by `delayMs`. */
  record(delayMs: number, nowMs: number): void {
    this.rotateWindow(nowMs);
    this.currentMaxMs = Math.max(this.currentMaxMs, delayMs);
  }

  /** Longest delay in at least the last {@link WINDOW_MS}, in milliseconds. */
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

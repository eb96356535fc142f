/**
 * Tells whether the process has just woken from a pause. What it then reads from its sockets may be
 * old: its senders may have given up long ago, which shows only when their closing is read too.
 */
import { LOOK_INTERVAL_MS } from '../clock/shared-interval.js';

/** A gap between two looks that counts as a pause, in milliseconds. */
const PAUSE_MS = 400;
/** For this long after a pause, what arrives may be old, in milliseconds. */
const WAKE_PERIOD_MS = 50;

/** Decides from the times at which it was called. */
export class PauseDetector {
  private wokenAtMs = -Infinity;
  private lastTickMs = Infinity;

  /** `onDelayMs` gets how late each look was, in milliseconds: other work kept the process busy. */
  constructor(
    private lastLookMs: number,
    private readonly onDelayMs?: (delayMs: number) => void,
  ) {}

  /** The regular look. */
  tick(nowMs: number): void {
    this.onDelayMs?.(Math.max(0, nowMs - this.lastTickMs - LOOK_INTERVAL_MS));
    this.lastTickMs = nowMs;
    this.look(nowMs);
  }

  /** Looks at the clock; to be called at least every {@link LOOK_INTERVAL_MS}. */
  look(nowMs: number): void {
    if (nowMs - this.lastLookMs > PAUSE_MS) {
      this.wokenAtMs = nowMs;
    }
    this.lastLookMs = nowMs;
  }

  /** Whether the process has just woken. */
  hasJustWoken(nowMs: number): boolean {
    this.look(nowMs);
    return nowMs - this.wokenAtMs < WAKE_PERIOD_MS;
  }
}

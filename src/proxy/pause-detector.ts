/**
 * Tells whether the process has just woken from a pause. What it then reads from its sockets may be
 * old: its senders may have given up long ago, which shows only when their closing is read too. A signal that it
 * hears of then may be as old as the pause.
 */
import { CHECK_INTERVAL_MS } from '../clock/shared-interval.js';

/** A gap between two looks that counts as a pause, in milliseconds. */
const PAUSE_MS = 400;
/** For this long after a pause, what arrives may be old, in milliseconds. */
const WAKE_PERIOD_MS = 50;
/** A look that is late by more shows that the process did not run, in milliseconds. */
const USUAL_LATENESS_MS = 30;
/**
 * For this long after a late look, a signal that is heard of may have come before it, in milliseconds: a process that
 * gets the processor in short turns reads other things first.
 */
const SIGNAL_PERIOD_MS = CHECK_INTERVAL_MS;

/** A time between two looks in which the process did not run for a while. */
interface LateLook {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Decides from the times at which it was called. */
export class PauseDetector {
  private wokenAtMs = -Infinity;
  /** Whether what came during the latest pause has been read. */
  private hasReadAll = true;
  private lastTickMs = Infinity;
  private lateLook: LateLook = { fromMs: -Infinity, untilMs: -Infinity };

  /**
   * `onDelayMs` gets how late each look was, in milliseconds: other work kept the process busy. `readAll` calls its
   * action once the process has read what has arrived.
   */
  constructor(
    private lastLookMs: number,
    private readonly onDelayMs?: (delayMs: number) => void,
    private readonly readAll: (action: () => void) => void = (action) => action(),
  ) {}

  /** The regular look. */
  tick(nowMs: number): void {
    this.onDelayMs?.(Math.max(0, nowMs - this.lastTickMs - CHECK_INTERVAL_MS));
    this.lastTickMs = nowMs;
    this.look(nowMs);
  }

  /** Looks at the clock; to be called at least every {@link CHECK_INTERVAL_MS}. */
  look(nowMs: number): void {
    if (nowMs - this.lastLookMs > PAUSE_MS) {
      this.wokenAtMs = nowMs;
      this.hasReadAll = false;
      this.readAll(() => (this.hasReadAll = true));
    }
    if (this.isLate(nowMs)) {
      this.lateLook = { fromMs: this.lastLookMs, untilMs: nowMs };
    }
    this.lastLookMs = nowMs;
  }

  /** Whether the process has just woken, or has not read yet what came during the pause. */
  hasJustWoken(nowMs: number): boolean {
    this.look(nowMs);
    return !this.hasReadAll || nowMs - this.wokenAtMs < WAKE_PERIOD_MS;
  }

  /** Longest time for which a signal may have waited that is heard of now, in milliseconds. */
  signalAgeMs(nowMs: number): number {
    this.look(nowMs);
    const { fromMs, untilMs } = this.lateLook;
    return nowMs - untilMs <= SIGNAL_PERIOD_MS ? nowMs - fromMs : 0;
  }

  private isLate(nowMs: number): boolean {
    return nowMs - this.lastLookMs > CHECK_INTERVAL_MS + USUAL_LATENESS_MS;
  }
}

/**
 * Tells whether the process has just woken from a pause. What it then reads from its sockets may be
 * old: its senders may have given up long ago, which shows only when their closing is read too. A signal that it
 * hears of then may be as old as the pause.
 */
import { LOOK_INTERVAL_MS } from '../clock/shared-interval.js';

/** A gap between two looks that counts as a pause, in milliseconds. */
const MIN_PAUSE_MS = 400;
/** For this long after a pause, what arrives may be old, in milliseconds. */
const RESUME_PERIOD_MS = 50;
/** A look that is late by more shows that the process did not run, in milliseconds. */
const MAX_NORMAL_DELAY_MS = 30;
/**
 * For this long after a late look, a signal that is heard of may have come before it, in milliseconds: a process that
 * gets the processor in short turns reads other things first.
 */
const SIGNAL_AGE_PERIOD_MS = LOOK_INTERVAL_MS;

/** A time between two looks in which the process did not run for a while. */
interface LateCheck {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Decides from the times at which it was called. */
export class PauseDetector {
  private resumedAtMs = -Infinity;
  /** Whether what came during the latest pause has been read. */
  private hasReadBacklog = true;
  private lastTickMs = Infinity;
  private lateCheck: LateCheck = { fromMs: -Infinity, untilMs: -Infinity };

  /**
   * `onDelayMs` gets how late each look was, in milliseconds: other work kept the process busy. `readAll` calls its
   * action once the process has read what has arrived.
   */
  constructor(
    private lastCheckMs: number,
    private readonly onDelayMs?: (delayMs: number) => void,
    private readonly afterSocketsRead: (action: () => void) => void = (action) => action(),
  ) {}

  /** The regular look. */
  tick(nowMs: number): void {
    this.onDelayMs?.(Math.max(0, nowMs - this.lastTickMs - LOOK_INTERVAL_MS));
    this.lastTickMs = nowMs;
    this.check(nowMs);
  }

  /** Looks at the clock; to be called at least every {@link LOOK_INTERVAL_MS}. */
  check(nowMs: number): void {
    if (nowMs - this.lastCheckMs > MIN_PAUSE_MS) {
      this.resumedAtMs = nowMs;
      this.hasReadBacklog = false;
      this.afterSocketsRead(() => (this.hasReadBacklog = true));
    }
    if (this.isLate(nowMs)) {
      this.lateCheck = { fromMs: this.lastCheckMs, untilMs: nowMs };
    }
    this.lastCheckMs = nowMs;
  }

  /** Whether the process has just woken, or has not read yet what came during the pause. */
  hasJustResumed(nowMs: number): boolean {
    this.check(nowMs);
    return !this.hasReadBacklog || nowMs - this.resumedAtMs < RESUME_PERIOD_MS;
  }

  /** Longest time for which a signal may have waited that is heard of now, in milliseconds. */
  signalAgeMs(nowMs: number): number {
    this.check(nowMs);
    const { fromMs, untilMs } = this.lateCheck;
    return nowMs - untilMs <= SIGNAL_AGE_PERIOD_MS ? nowMs - fromMs : 0;
  }

  private isLate(nowMs: number): boolean {
    return nowMs - this.lastCheckMs > LOOK_INTERVAL_MS + MAX_NORMAL_DELAY_MS;
  }
}

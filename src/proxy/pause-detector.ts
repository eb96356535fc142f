/**
 * Detects that the process has just resumed after a pause. A signal that is handled then may be as
 * old as the pause.
 */
import { CHECK_INTERVAL_MS } from '../clock/shared-interval.js';

/**
 * Delay above which a late check shows that the process did not run for some time, in milliseconds.
 */
const MAX_NORMAL_DELAY_MS = 30;
/**
 * Time after a late check in which a signal that is handled may have been sent before that check,
 * in milliseconds: a process that gets the CPU only in short time slices handles other events
 * first.
 */
const SIGNAL_AGE_PERIOD_MS = CHECK_INTERVAL_MS;

/** A gap between two checks in which the process did not run for some time. */
interface LateCheck {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Derives pauses from the times of its calls. */
export class PauseDetector {
  private lastTickMs = Infinity;
  private lateCheck: LateCheck = { fromMs: -Infinity, untilMs: -Infinity };

  /**
   * `onDelayMs` receives the delay of each tick in milliseconds, caused by other work of the
   * process.
   */
  constructor(
    private lastCheckMs: number,
    private readonly onDelayMs?: (delayMs: number) => void,
  ) {}

  /** Performs the periodic check and reports its delay. */
  tick(nowMs: number): void {
    this.onDelayMs?.(Math.max(0, nowMs - this.lastTickMs - CHECK_INTERVAL_MS));
    this.lastTickMs = nowMs;
    this.check(nowMs);
  }

  /**
   * Compares the clock with the previous check. Must be called at least every
   * {@link CHECK_INTERVAL_MS}.
   */
  check(nowMs: number): void {
    if (this.isLate(nowMs)) {
      this.lateCheck = { fromMs: this.lastCheckMs, untilMs: nowMs };
    }
    this.lastCheckMs = nowMs;
  }

  /** Maximum age of a signal that is handled now, in milliseconds. */
  signalAgeMs(nowMs: number): number {
    this.check(nowMs);
    const { fromMs, untilMs } = this.lateCheck;
    return nowMs - untilMs <= SIGNAL_AGE_PERIOD_MS ? nowMs - fromMs : 0;
  }

  private isLate(nowMs: number): boolean {
    return nowMs - this.lastCheckMs > CHECK_INTERVAL_MS + MAX_NORMAL_DELAY_MS;
  }
}

/**
 * Limits a service's retries to a share of its first attempts, so that retries cannot multiply the load.
 *
 * With a window, all retries that the first attempts of the window have earned may be made at any time within it: many
 * answers may be lost within a few seconds, followed by minutes without a failure. Without one, only as many as may be
 * saved can be made at once.
 */
import { WindowedSum } from './windowed-sum.js';

/** Default number of retries that may be saved up for a burst. */
export const DEFAULT_MAX_SAVED_RETRIES = 20;
/** Retries available to a service before its first attempts. */
const INITIAL_RETRIES = 3;

/** Time by which a retry may be sent later than it is taken, because of its back-off, in milliseconds. */
const MAX_SEND_DELAY_MS = 500;

/** The sliding window over which retries are limited. */
export interface RetryWindow {
  readonly lengthMs: number;
  readonly nowMs: () => number;
  /** Retries that may be made in addition to those that were earned in the window. */
  readonly maxExtra: () => number;
}

/** What counts as available between earning and taking. */
interface RetryAccount {
  available(): number;
  earn(retries: number): void;
  take(): void;
}

/** Retry budget of one node for one service. */
export class RetryBudget {
  private readonly account: RetryAccount;

  /**
   * `maxSaved` is how many retries may be saved up for a burst; it has no effect with a window. `onExhausted` is called
   * for each retry that is not available.
   */
  constructor(
    maxSaved = DEFAULT_MAX_SAVED_RETRIES,
    window?: RetryWindow,
    private readonly onExhausted: () => void = () => undefined,
  ) {
    this.account = window === undefined ? new SavedRetries(maxSaved) : new WindowedRetries(window);
  }

  /** Counts a first attempt, which earns `percent` of a retry. */
  earn(percent: number): void {
    this.account.earn(percent / 100);
  }

  /** Whether a retry is available. */
  get hasRetry(): boolean {
    return this.account.available() >= 1;
  }

  /** Consumes one retry; false when none is available. */
  take(): boolean {
    if (!this.hasRetry) {
      this.onExhausted();
      return false;
    }
    this.account.take();
    return true;
  }
}

/** Retries are saved up to a maximum. */
class SavedRetries implements RetryAccount {
  private saved: number;

  constructor(private readonly maxSaved: number) {
    this.saved = Math.min(INITIAL_RETRIES, maxSaved);
  }

  available(): number {
    return this.saved;
  }

  earn(retries: number): void {
    this.saved = Math.min(this.maxSaved, this.saved + retries);
  }

  take(): void {
    this.saved -= 1;
  }
}

/**
 * Retries are available until the window in which they were earned has passed. While the rate of first attempts falls,
 * the retries of a window are bounded by the first attempts of the window before it.
 */
class WindowedRetries implements RetryAccount {
  private readonly earned: WindowedSum;
  private readonly taken: WindowedSum;

  constructor(private readonly window: RetryWindow) {
    this.earned = new WindowedSum(window.lengthMs);
    this.taken = new WindowedSum(window.lengthMs + MAX_SEND_DELAY_MS);
  }

  available(): number {
    const { nowMs, maxExtra } = this.window;
    return maxExtra() + this.earned.at(nowMs()).min - this.taken.at(nowMs()).max;
  }

  earn(retries: number): void {
    this.earned.add(retries, this.window.nowMs());
  }

  take(): void {
    this.taken.add(1, this.window.nowMs());
  }
}

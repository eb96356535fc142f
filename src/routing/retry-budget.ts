/** Limits a service's retries to a share of its first attempts, so that retries cannot multiply the load. */

/** Default number of retries that may be saved up for a burst. */
export const DEFAULT_MAX_SAVED_RETRIES = 20;
/** Retries available to a service before its first attempts. */
const INITIAL_RETRIES = 3;

/** Retry budget of one node for one service. */
export class RetryBudget {
  private retries: number;

  /** `maxSaved` is how many retries may be saved up for a burst. */
  constructor(private readonly maxSaved = DEFAULT_MAX_SAVED_RETRIES) {
    this.retries = Math.min(INITIAL_RETRIES, maxSaved);
  }

  /** Counts a first attempt, which earns `percent` of a retry. */
  earn(percent: number): void {
    this.retries = Math.min(this.maxSaved, this.retries + percent / 100);
  }

  /** Whether a retry is available. */
  get hasRetry(): boolean {
    return this.retries >= 1;
  }

  /** Consumes one retry; false when none is available. */
  take(): boolean {
    if (!this.hasRetry) {
      return false;
    }
    this.retries -= 1;
    return true;
  }
}

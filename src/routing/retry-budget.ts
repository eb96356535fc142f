/** Bounds a service's retries to a share of its first attempts, so that retries can't multiply load. */

/** Retries that may be saved up for a burst, unless the node's limits say otherwise. */
export const DEFAULT_MAX_SAVED_RETRIES = 20;
/** Retries that a service without traffic may make, at most. */
const INITIAL_RETRIES = 3;

/** The retries that one node may make towards one service. */
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

  /** Whether there is a retry to take. */
  get hasRetry(): boolean {
    return this.retries >= 1;
  }

  /** Takes one retry, if there is one. */
  take(): boolean {
    if (!this.hasRetry) {
      return false;
    }
    this.retries -= 1;
    return true;
  }
}

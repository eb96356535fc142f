/** Counts the requests that an emulated endpoint gets while it has a rate limit. */

const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** Time after the first limit from which requests count, in milliseconds. */
const GRACE_MS = 500;

/** The requests to one endpoint. */
export class LimitMeter {
  private maxRatePerS = Infinity;
  private limitedSinceMs = Infinity;
  private arrivals: number[] = [];
  /** Highest number of requests in a window, as a multiple of what the limit allows. */
  peakUse = 0;

  /** Sets the limit of the endpoint; Infinity for none. */
  setLimit(maxRatePerS: number, nowMs: number): void {
    this.maxRatePerS = maxRatePerS;
    this.limitedSinceMs = nowMs;
    this.arrivals = [];
  }

  record(nowMs: number): void {
    if (this.maxRatePerS === Infinity || nowMs < this.limitedSinceMs + GRACE_MS) {
      return;
    }
    this.arrivals.push(nowMs);
    this.arrivals = this.arrivals.filter((atMs) => atMs > nowMs - WINDOW_MS);
    const allowed = (this.maxRatePerS * WINDOW_MS) / MS_PER_SECOND;
    this.peakUse = Math.max(this.peakUse, this.arrivals.length / allowed);
  }
}

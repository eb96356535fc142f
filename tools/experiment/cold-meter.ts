/** Counts the requests that an emulated endpoint gets while it is cold. */

const WINDOW_MS = 1_000;

/** The requests to one endpoint. */
export class ColdMeter {
  private coldUntilMs = -Infinity;
  private arrivals: number[] = [];
  /** Highest number of requests within a second of a cold period. */
  peakCount = 0;

  /** The endpoint is cold from now on; requests before do not count. */
  becomeCold(nowMs: number, untilMs: number): void {
    this.coldUntilMs = untilMs;
    this.arrivals = this.arrivals.filter((atMs) => atMs > nowMs);
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  record(nowMs: number): void {
    this.arrivals.push(nowMs);
    this.arrivals = this.arrivals.filter((atMs) => atMs > nowMs - WINDOW_MS);
    if (this.isCold(nowMs)) {
      this.peakCount = Math.max(this.peakCount, this.arrivals.length);
    }
  }
}

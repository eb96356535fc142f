/**
 * The pace at which bodies reach a node while more of them wait than may be under way: what its link, or
 * the senders, carry at most. Pure.
 */

/** Time over which bytes are counted before they count as a measurement, in milliseconds. */
const SAMPLE_MS = 100;
/** Weight of a new measurement in the running mean. */
const SAMPLE_WEIGHT = 0.3;
/** A pace that is not measured again counts as twice as fast after this time, in milliseconds. */
const DOUBLING_MS = 2_000;

/** The pace of one node. */
export class ArrivalRate {
  private bytesPerMs: number | undefined;
  private measuredAtMs = 0;
  private sampleBytes = 0;
  /** Since when bodies have been waiting without a break; undefined while none does. */
  private sampleStartedAtMs: number | undefined;

  /** Takes whether bodies wait; what arrives while none does says nothing of what would fit. */
  setSaturated(isSaturated: boolean, nowMs: number): void {
    if (!isSaturated) {
      this.sampleStartedAtMs = undefined;
    } else if (this.sampleStartedAtMs === undefined) {
      this.sampleStartedAtMs = nowMs;
      this.sampleBytes = 0;
    }
  }

  recordArrival(bytes: number, nowMs: number): void {
    if (this.sampleStartedAtMs === undefined) {
      return;
    }
    this.sampleBytes += bytes;
    const sampleMs = nowMs - this.sampleStartedAtMs;
    if (sampleMs < SAMPLE_MS) {
      return;
    }
    const sampleBytesPerMs = this.sampleBytes / sampleMs;
    const previous = this.bytesPerMs ?? sampleBytesPerMs;
    this.bytesPerMs = previous + (sampleBytesPerMs - previous) * SAMPLE_WEIGHT;
    this.measuredAtMs = nowMs;
    this.sampleStartedAtMs = nowMs;
    this.sampleBytes = 0;
  }

  /** Time that so many bytes take, in milliseconds; 0 before a measurement. */
  transferMs(bytes: number, nowMs: number): number {
    if (this.bytesPerMs === undefined || this.bytesPerMs <= 0) {
      return 0;
    }
    const growthFactor = 2 ** ((nowMs - this.measuredAtMs) / DOUBLING_MS);
    return bytes / (this.bytesPerMs * growthFactor);
  }
}

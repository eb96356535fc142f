/**
 * Estimates the rate at which request bodies arrive at a node while more of them are waiting than the credit
 * pool admits, that is, the maximum throughput of its link or of the senders. Performs no I/O.
 */

/** Minimum duration of one sample, in milliseconds. */
const SAMPLE_MS = 100;
/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.3;
/** Time after which the estimate doubles if no new sample is taken, in milliseconds. */
const DOUBLING_MS = 2_000;

export class ArrivalRate {
  private bytesPerMs: number | undefined;
  private measuredAtMs = 0;
  private sampleBytes = 0;
  /** Start of the current sample; undefined while no body is waiting. */
  private sampleStartedAtMs: number | undefined;

  /** Samples are taken only while bodies are waiting: otherwise the link is not fully used. */
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

  /** Estimated transfer time of `bytes`, in milliseconds; 0 before the first sample. */
  transferMs(bytes: number, nowMs: number): number {
    if (this.bytesPerMs === undefined || this.bytesPerMs <= 0) {
      return 0;
    }
    const growthFactor = 2 ** ((nowMs - this.measuredAtMs) / DOUBLING_MS);
    return bytes / (this.bytesPerMs * growthFactor);
  }
}

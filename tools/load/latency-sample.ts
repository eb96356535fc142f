/** Latencies of one way of calling, in an HDR histogram. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Microseconds in a millisecond: latencies are recorded in microseconds. */
const MICROSECONDS_PER_MS = 1_000;
/** Longest latency that is told apart, in microseconds. */
const HIGHEST_MICROSECONDS = 60_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Percentiles in milliseconds. */
export interface LatencySummary {
  readonly calls: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Collects latencies. */
export class LatencySample {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  record(latencyMs: number): void {
    const microseconds = Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS));
    this.histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, microseconds));
  }

  summary(): LatencySummary {
    const at = (percentile: number): number =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return {
      calls: this.histogram.totalCount,
      p50Ms: at(50),
      p99Ms: at(99),
      p999Ms: at(99.9),
      maxMs: this.histogram.maxValue / MICROSECONDS_PER_MS,
    };
  }
}

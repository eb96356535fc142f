/** How long one endpoint took for this node's requests, by class of work. Pure. */

/** Weight of a new measurement in a running mean. */
const MEASUREMENT_WEIGHT = 0.2;
/** An estimate that is not renewed loses half of its weight in this time, in milliseconds. */
const HALF_LIFE_MS = 4_000;
/** Classes remembered; beyond that, the one that was measured first is forgotten. */
const MAX_CLASSES = 500;

/** A running mean and its age. */
interface Estimate {
  readonly meanMs: number;
  readonly measuredAtMs: number;
}

/** The estimates of one endpoint. */
export class LatencyEstimates {
  private readonly estimates = new Map<string, Estimate>();

  /** Takes a measurement. */
  measure(workClass: string, latencyMs: number, nowMs: number): void {
    const previous = this.estimates.get(workClass)?.meanMs ?? latencyMs;
    const meanMs = previous + (latencyMs - previous) * MEASUREMENT_WEIGHT;
    this.estimates.set(workClass, { meanMs, measuredAtMs: nowMs });
    if (this.estimates.size > MAX_CLASSES) {
      const [first = ''] = this.estimates.keys();
      this.estimates.delete(first);
    }
  }

  /** The last mean, whatever its age; undefined where there is none. */
  lastMs(workClass: string): number | undefined {
    return this.estimates.get(workClass)?.meanMs;
  }

  /** The mean, drawn towards `fallbackMs` as it ages, so that a slow endpoint is tried again. */
  expectedMs(workClass: string, fallbackMs: number, nowMs: number): number {
    const estimate = this.estimates.get(workClass);
    if (estimate === undefined) {
      return fallbackMs;
    }
    const weight = 0.5 ** ((nowMs - estimate.measuredAtMs) / HALF_LIFE_MS);
    return fallbackMs + (estimate.meanMs - fallbackMs) * weight;
  }
}

/**
 * How long one endpoint takes, by class of work: by this node's requests, and by what the endpoint's own
 * node tells, which sees all of them. In a large fleet a node sends an endpoint a request in many
 * seconds, so that its own measurements are few and old. Pure.
 */

/** Weight of a new measurement in a running mean. */
const MEASUREMENT_WEIGHT = 0.2;
/** An estimate that is not renewed loses half of its weight in this time, in milliseconds. */
const HALF_LIFE_MS = 4_000;
/** What the endpoint's node told loses half of its weight in this time, in milliseconds. */
const TOLD_HALF_LIFE_MS = 15_000;
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
  private readonly toldTimes = new Map<string, Estimate>();

  /** Takes a measurement; it weighs little against what the endpoint's node has told. */
  measure(workClass: string, latencyMs: number, nowMs: number): void {
    const previous = this.expectedMs(workClass, latencyMs, nowMs);
    const meanMs = previous + (latencyMs - previous) * MEASUREMENT_WEIGHT;
    this.estimates.set(workClass, { meanMs, measuredAtMs: nowMs });
    forgetFirst(this.estimates);
  }

  /** Takes the mean over all requests there, as the endpoint's node told it. */
  told(workClass: string, meanMs: number, nowMs: number): void {
    this.toldTimes.set(workClass, { meanMs, measuredAtMs: nowMs });
    forgetFirst(this.toldTimes);
  }

  /** The last mean that was told, whatever its age; undefined where there is none. */
  lastToldMs(workClass: string): number | undefined {
    return this.toldTimes.get(workClass)?.meanMs;
  }

  /** The last mean, whatever its age; undefined where there is none. */
  lastMs(workClass: string): number | undefined {
    return this.estimates.get(workClass)?.meanMs;
  }

  /**
   * The mean, drawn towards what was told as it ages, and that towards `fallbackMs`, so that a slow
   * endpoint is tried again.
   */
  expectedMs(workClass: string, fallbackMs: number, nowMs: number): number {
    const told = aged(this.toldTimes.get(workClass), fallbackMs, TOLD_HALF_LIFE_MS, nowMs);
    return aged(this.estimates.get(workClass), told, HALF_LIFE_MS, nowMs);
  }
}

function aged(
  estimate: Estimate | undefined,
  fallbackMs: number,
  halfLifeMs: number,
  nowMs: number,
): number {
  if (estimate === undefined) {
    return fallbackMs;
  }
  const weight = 0.5 ** ((nowMs - estimate.measuredAtMs) / halfLifeMs);
  return fallbackMs + (estimate.meanMs - fallbackMs) * weight;
}

function forgetFirst(estimates: Map<string, Estimate>): void {
  if (estimates.size > MAX_CLASSES) {
    const [first = ''] = estimates.keys();
    estimates.delete(first);
  }
}

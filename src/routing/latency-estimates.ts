/**
 * Latency estimates of one endpoint by class of work, from this node's own measurements and from the reports of the
 * endpoint's node, which observes all requests. In a large fleet, many seconds pass between two requests from one
 * node to one endpoint, so that the node's own measurements are few and old. Pure.
 */

/** Weight of a new measurement in the moving average. */
const MEASUREMENT_WEIGHT = 0.2;
/** Half-life of the weight of a measured estimate, in milliseconds. */
const HALF_LIFE_MS = 4_000;
/** Half-life of the weight of a value reported by the endpoint's node, in milliseconds. */
const REPORTED_HALF_LIFE_MS = 15_000;
/** Maximum number of classes; beyond it, the class that was measured first is evicted. */
const MAX_CLASSES = 500;

/** A mean and the time of its last update. */
interface Estimate {
  readonly meanMs: number;
  readonly measuredAtMs: number;
}

/** Measured and reported estimates of one endpoint. */
export class LatencyEstimates {
  private readonly measuredEstimates = new Map<string, Estimate>();
  private readonly reportedEstimates = new Map<string, Estimate>();

  /** Adds a measurement; it has little weight compared with a reported value. */
  measure(workClass: string, latencyMs: number, nowMs: number): void {
    const previous = this.expectedMs(workClass, latencyMs, nowMs);
    const meanMs = previous + (latencyMs - previous) * MEASUREMENT_WEIGHT;
    this.measuredEstimates.set(workClass, { meanMs, measuredAtMs: nowMs });
    evictOldest(this.measuredEstimates);
  }

  /** Sets the mean over all requests, as reported by the endpoint's node. */
  setReported(workClass: string, meanMs: number, nowMs: number): void {
    this.reportedEstimates.set(workClass, { meanMs, measuredAtMs: nowMs });
    evictOldest(this.reportedEstimates);
  }

  /** The last reported mean, regardless of its age; undefined when there is none. */
  lastReportedMs(workClass: string): number | undefined {
    return this.reportedEstimates.get(workClass)?.meanMs;
  }

  /** The last measured mean, regardless of its age; undefined when there is none. */
  lastMeasuredMs(workClass: string): number | undefined {
    return this.measuredEstimates.get(workClass)?.meanMs;
  }

  /**
   * The measured mean, which decays with its age towards the reported mean, which decays towards `fallbackMs`, so
   * that a slow endpoint is tried again.
   */
  expectedMs(workClass: string, fallbackMs: number, nowMs: number): number {
    const reportedMs = decayed(
      this.reportedEstimates.get(workClass),
      fallbackMs,
      REPORTED_HALF_LIFE_MS,
      nowMs,
    );
    return decayed(this.measuredEstimates.get(workClass), reportedMs, HALF_LIFE_MS, nowMs);
  }
}

function decayed(
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

function evictOldest(estimates: Map<string, Estimate>): void {
  if (estimates.size > MAX_CLASSES) {
    const [first = ''] = estimates.keys();
    estimates.delete(first);
  }
}

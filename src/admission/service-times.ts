/** Moving averages of one endpoint's service times, by class of work. Pure. */

/** Weight of a new measurement in the moving average. */
const MEASUREMENT_WEIGHT = 0.1;
/**
 * Weight of the elapsed time of an abandoned request, which would have taken longer. Higher than that of a
 * measurement, because a request has already been lost.
 */
const UNFINISHED_WEIGHT = 0.3;
/** Maximum number of classes; beyond it, the class that was measured first is evicted. */
const MAX_CLASSES = 1_000;

/** Service times of one endpoint, in milliseconds. */
export class ServiceTimes {
  private readonly meansByClass = new Map<string, number>();
  private overallMean: number | undefined;

  /** Mean over all classes; 0 before the first measurement. */
  get overallMs(): number {
    return this.overallMean ?? 0;
  }

  /** Mean of a class; the mean over all classes while the class has no measurement. */
  meanMs(workClass: string | undefined): number {
    return this.meansByClass.get(workClass ?? '') ?? this.overallMs;
  }

  /** Mean of a class; undefined while the class has no measurement. */
  measuredMs(workClass: string): number | undefined {
    return this.meansByClass.get(workClass);
  }

  measure(workClass: string | undefined, serviceMs: number): void {
    this.update(workClass, serviceMs, MEASUREMENT_WEIGHT);
  }

  /** Records a request that was abandoned after `elapsedMs`, a lower bound on its service time. */
  measureUnfinished(workClass: string | undefined, elapsedMs: number): void {
    if (elapsedMs > this.meanMs(workClass)) {
      this.update(workClass, elapsedMs, UNFINISHED_WEIGHT);
    }
  }

  private update(workClass: string | undefined, ms: number, weight: number): void {
    this.overallMean = updatedMean(this.overallMean, ms, weight);
    if (workClass === undefined) {
      return;
    }
    this.meansByClass.set(workClass, updatedMean(this.meansByClass.get(workClass), ms, weight));
    if (this.meansByClass.size > MAX_CLASSES) {
      const [first = ''] = this.meansByClass.keys();
      this.meansByClass.delete(first);
    }
  }
}

function updatedMean(previous: number | undefined, measured: number, weight: number): number {
  return previous === undefined ? measured : previous + (measured - previous) * weight;
}

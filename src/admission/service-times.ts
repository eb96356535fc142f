/** Moving averages of one endpoint's service times, by class of work. Pure. */

/** Weight of a new measurement in the moving average. */
const MEASUREMENT_WEIGHT = 0.1;
/**
 * Weight of the elapsed time of an abandoned request, which would have taken longer. Higher than that of a
 * measurement, because a request has already been lost.
 */
const UNFINISHED_WEIGHT = 0.3;
/** Weight of a new measurement in the means for all classes; low, since long work may be rare. */
const OCCUPANCY_WEIGHT = 0.02;
/** Maximum number of classes; beyond it, the class that was measured first is evicted. */
const MAX_CLASSES = 1_000;

/** Service times of one endpoint, in milliseconds. */
export class ServiceTimes {
  private readonly meansByClass = new Map<string, number>();
  private overallMean: number | undefined;
  /** Means over all measurements of the mean of their class, and of its square. */
  private classMean = 0;
  private squaredClassMean = 0;

  /** Mean over all classes; 0 before the first measurement. */
  get overallMs(): number {
    return this.overallMean ?? 0;
  }

  /**
   * Mean service time of the work that occupies a slot at any moment; 0 before the first measurement. Frequent short work
   * lowers the mean over all requests, but occupies few slots.
   */
  get occupyingMs(): number {
    return this.classMean === 0 ? 0 : this.squaredClassMean / this.classMean;
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
    const mean = updatedMean(this.meansByClass.get(workClass), ms, weight);
    this.meansByClass.set(workClass, mean);
    this.updateOccupancy(mean);
    if (this.meansByClass.size > MAX_CLASSES) {
      const [first = ''] = this.meansByClass.keys();
      this.meansByClass.delete(first);
    }
  }

  private updateOccupancy(ms: number): void {
    const isFirst = this.classMean === 0;
    this.classMean = isFirst ? ms : updatedMean(this.classMean, ms, OCCUPANCY_WEIGHT);
    this.squaredClassMean = isFirst
      ? ms ** 2
      : updatedMean(this.squaredClassMean, ms ** 2, OCCUPANCY_WEIGHT);
  }
}

function updatedMean(previous: number | undefined, measured: number, weight: number): number {
  return previous === undefined ? measured : previous + (measured - previous) * weight;
}

/** Running means of the time that requests take at one endpoint, by class of work. Pure. */

/** Weight of a new measurement in a running mean. */
const MEASUREMENT_WEIGHT = 0.1;
/** The same of a time that was only a part of what the request would have taken: it is lost already. */
const UNFINISHED_WEIGHT = 0.3;
/** Classes remembered; beyond that, the one that was measured first is forgotten. */
const MAX_CLASSES = 1_000;

/** The times of one endpoint, in milliseconds. */
export class ServiceTimes {
  private readonly meanOfClasses = new Map<string, number>();
  private meanOfAll: number | undefined;

  /** Mean over all classes; 0 before the first measurement. */
  get overallMs(): number {
    return this.meanOfAll ?? 0;
  }

  /** Mean of a class; that of all classes while the class was not measured. */
  meanMs(workClass: string | undefined): number {
    return this.meanOfClasses.get(workClass ?? '') ?? this.overallMs;
  }

  /** Mean of a class; undefined while the class was not measured. */
  measuredMs(workClass: string): number | undefined {
    return this.meanOfClasses.get(workClass);
  }

  /** Takes a measurement. */
  measure(workClass: string | undefined, serviceMs: number): void {
    this.take(workClass, serviceMs, MEASUREMENT_WEIGHT);
  }

  /** A request was given up after `elapsedMs`, which is less than it would have taken. */
  measureUnfinished(workClass: string | undefined, elapsedMs: number): void {
    if (elapsedMs > this.meanMs(workClass)) {
      this.take(workClass, elapsedMs, UNFINISHED_WEIGHT);
    }
  }

  private take(workClass: string | undefined, ms: number, weight: number): void {
    this.meanOfAll = weigh(this.meanOfAll, ms, weight);
    if (workClass === undefined) {
      return;
    }
    this.meanOfClasses.set(workClass, weigh(this.meanOfClasses.get(workClass), ms, weight));
    if (this.meanOfClasses.size > MAX_CLASSES) {
      const [first = ''] = this.meanOfClasses.keys();
      this.meanOfClasses.delete(first);
    }
  }
}

function weigh(previous: number | undefined, measured: number, weight: number): number {
  return previous === undefined ? measured : previous + (measured - previous) * weight;
}

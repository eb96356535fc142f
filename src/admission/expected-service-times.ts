/** Expected service times of one endpoint: means at its usual speed, and the speed that it reports. Pure. */
import { ReportedSlowness, type SlownessReport } from './reported-slowness.js';
import { ServiceTimes } from './service-times.js';
import { SHORT_WORK_RATIO } from './slot-headroom.js';

export class ExpectedServiceTimes {
  private readonly usual = new ServiceTimes();
  private readonly slowness = new ReportedSlowness();

  /** Records how long work takes at the endpoint at present, according to its report. */
  reported(report: SlownessReport, nowMs: number): void {
    this.slowness.record(report, nowMs);
  }

  /** The endpoint's latest report of how long work takes; undefined if there is none that is recent. */
  reportAt(nowMs: number): SlownessReport | undefined {
    return this.slowness.reportAt(nowMs);
  }

  /** Records the service time of work that ended now. */
  measure(workClass: string | undefined, serviceMs: number, nowMs: number): void {
    this.usual.measure(workClass, this.atUsualSpeed(serviceMs, nowMs));
  }

  /** Records work that was abandoned now without a response, `elapsedMs` after it was sent. */
  measureUnfinished(workClass: string | undefined, elapsedMs: number, nowMs: number): void {
    this.usual.measureUnfinished(workClass, this.atUsualSpeed(elapsedMs, nowMs));
  }

  /** Mean of a class at the usual speed; undefined while the class has no measurement. */
  measuredMs(workClass: string): number | undefined {
    return this.usual.measuredMs(workClass);
  }

  /** Mean of a class at the usual speed. */
  usualMs(workClass: string | undefined): number {
    return this.usual.meanMs(workClass);
  }

  /** Mean service time at the usual speed of the work that occupies a slot at any moment. */
  get usualOccupyingMs(): number {
    return this.usual.occupyingMs;
  }

  /** Expected service time of work of the class that starts at `startAtMs`. */
  expectedMs(workClass: string | undefined, startAtMs: number): number {
    return this.usual.meanMs(workClass) * this.slowness.factorAt(startAtMs);
  }

  /** Expected service time over all classes. */
  expectedOverallMs(nowMs: number): number {
    return this.usual.overallMs * this.slowness.factorAt(nowMs);
  }

  /** Expected service time as a multiple of the usual one. */
  slownessFactorAt(nowMs: number): number {
    return this.slowness.factorAt(nowMs);
  }

  /** Whether work of the class is short in comparison with that which occupies the slots. */
  isShort(workClass: string | undefined): boolean {
    return this.usual.meanMs(workClass) < SHORT_WORK_RATIO * this.usual.occupyingMs;
  }

  private atUsualSpeed(serviceMs: number, nowMs: number): number {
    return serviceMs / this.slowness.meanFactor(nowMs - serviceMs, nowMs);
  }
}

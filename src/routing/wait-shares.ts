/** Shares of requests that have to wait at an endpoint, by service, from the loads that were reported lately. Pure. */

/** Weight of a report in the moving average. */
const REPORT_WEIGHT = 0.1;
/** Maximum number of services; beyond it, the one that was seen first is dropped. */
const MAX_SERVICES = 200;

/** Shares from 0 to 1. */
export class WaitShares {
  private readonly byService = new Map<string, number>();

  /** 0 before the first report. */
  of(service: string): number {
    return this.byService.get(service) ?? 0;
  }

  /** `isFull` tells whether requests wait at the endpoint that was reported on. */
  record(service: string, isFull: boolean): void {
    const previous = this.of(service);
    this.byService.set(service, previous + ((isFull ? 1 : 0) - previous) * REPORT_WEIGHT);
    if (this.byService.size > MAX_SERVICES) {
      const [first = ''] = this.byService.keys();
      this.byService.delete(first);
    }
  }
}

/** Requests in flight, and the load that the back end reports: true, late or false. */
import type { BackendSettings, ReportedLoad } from './backend-settings.js';

/** Changes of load remembered at most. */
const MAX_REMEMBERED_CHANGES = 10_000;

/** Counts requests in flight and remembers past loads, for reports that lag. */
export class LoadGauge {
  private readonly changes: { readonly atMs: number; readonly load: ReportedLoad }[] = [];
  private running = 0;
  private peak = 0;

  get inFlight(): number {
    return this.running;
  }

  get peakInFlight(): number {
    return this.peak;
  }

  /** Takes (`by` 1) or frees (`by` -1) a slot, or notes that the slots have changed (`by` 0). */
  move(by: 1 | 0 | -1, slots: number, nowMs: number): void {
    this.running += by;
    this.peak = Math.max(this.peak, this.running);
    this.changes.push({ atMs: nowMs, load: { inFlight: this.running, slots } });
    if (this.changes.length > MAX_REMEMBERED_CHANGES) {
      this.changes.splice(0, MAX_REMEMBERED_CHANGES / 2);
    }
  }

  /** What the back end says of its load at `nowMs`. */
  report(settings: BackendSettings, nowMs: number): ReportedLoad {
    const { reportedLoad, loadLagMs, slots } = settings;
    if (reportedLoad !== null) {
      return reportedLoad;
    }
    const past = this.changes.findLast((change) => change.atMs <= nowMs - loadLagMs);
    return (past ?? this.changes[0])?.load ?? { inFlight: this.running, slots };
  }
}

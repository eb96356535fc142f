/** Sums counters over the fleet. */
import type { CounterSink } from '../../src/control/control-event.js';

/** Counter totals by name. */
export class CounterTotals implements CounterSink {
  readonly totals = new Map<string, number>();

  add(name: string, by = 1): void {
    this.totals.set(name, this.get(name) + by);
  }

  /** The total of one counter; 0 when it was never added to. */
  get(name: string): number {
    return this.totals.get(name) ?? 0;
  }
}

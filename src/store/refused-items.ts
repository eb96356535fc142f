/** Counts and logs rejected items of a store, or values that were cut. The caller must report each only once. */
import type { CounterSink } from '../control/control-event.js';
import type { ItemFault, RefusedItem } from './item-fault.js';
import { revisionInEra } from './store-revision.js';

/** Counter of rejected items; each revision of an item counts once. */
export const REFUSED_ITEMS_COUNTER = 'ferryspool_store_items_refused_total';
/** Counter of values that were cut to what a node can do. */
export const LIMITED_VALUES_COUNTER = 'ferryspool_store_values_limited_total';
/** Maximum number of log lines per report; further items are only counted. */
const MAX_LINES = 20;

/** Log line of one rejected item. */
export type RefusedItemLine = Pick<RefusedItem, 'key' | 'revision'> & ItemFault;

export interface RefusedItemReporterOptions {
  readonly counters: CounterSink;
  readonly log: (line: RefusedItemLine) => void;
}

export class RefusedItemReporter {
  constructor(
    private readonly counter: string,
    private readonly options: RefusedItemReporterOptions,
  ) {}

  report(items: readonly RefusedItem[]): void {
    if (items.length === 0) {
      return;
    }
    const { counters, log } = this.options;
    counters.add(this.counter, items.length);
    for (const { key, revision, fault } of items.slice(0, MAX_LINES)) {
      log({ key, revision: revision && revisionInEra(revision), ...fault });
    }
  }
}

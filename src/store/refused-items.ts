/** Counts and logs the items of a store that are not used. Each is to be reported once. */
import type { CounterSink } from '../control/control-event.js';
import type { ItemFault, RefusedItem } from './item-fault.js';
import { revisionInEra } from './store-revision.js';

/** Counts the items, each revision once. */
export const REFUSED_ITEMS_COUNTER = 'ferryspool_store_items_refused_total';
/** Lines for items that are reported together; the others are only counted. */
const MAX_LINES = 20;

/** One line of the log. */
export type RefusedItemLine = Pick<RefusedItem, 'key' | 'revision'> & ItemFault;

/** What the reporter needs of its node. */
export interface RefusedItemReporterOptions {
  readonly counters: CounterSink;
  readonly log: (line: RefusedItemLine) => void;
}

/** The reporter of one node. */
export class RefusedItemReporter {
  constructor(private readonly options: RefusedItemReporterOptions) {}

  report(items: readonly RefusedItem[]): void {
    if (items.length === 0) {
      return;
    }
    const { counters, log } = this.options;
    counters.add(REFUSED_ITEMS_COUNTER, items.length);
    for (const { key, revision, fault } of items.slice(0, MAX_LINES)) {
      log({ key, revision: revision && revisionInEra(revision), ...fault });
    }
  }
}

/**
 * Read-only interface to a key-value store: lists, and watches by revision. The store has a single revision that
 * increases with every change; here it is combined with the store's era (`store-revision.ts`).
 */
import type { RefusedItem } from './item-fault.js';

/**
 * Placeholder for the value of an item that is not text, or that exceeds the maximum length a node reads. Such an
 * item is never valid, and keeping its bytes would waste memory on every node.
 */
export const UNREADABLE_TEXT = '\uFFFD';

/** A write or removal of an item. */
export interface StoreChange {
  readonly key: string;
  /** Revision of the store at which the item was written or removed. */
  readonly revision: number;
  /** Text of the item, or {@link UNREADABLE_TEXT}; undefined if it was removed. */
  readonly value: string | undefined;
}

/**
 * Whether an answer must contain every write that the store has acknowledged. A `lagging` answer may be seconds old at
 * any time, costs the store a tenth as much as a `current` one, and does not count against its limits.
 */
export type ReadFreshness = 'current' | 'lagging';

/** A page of a list; pages of the same list may have different revisions. */
export interface ListPage {
  readonly outcome: 'page';
  readonly items: readonly StoreChange[];
  /** Items omitted because they have no key or no revision; absent if there are none. */
  readonly refused?: readonly RefusedItem[];
  readonly hasMore: boolean;
  /** Key after which the next page begins; absent if it is the key of the last of `items`. */
  readonly lastKey?: string | undefined;
  /** Revision of the store when the page was read. */
  readonly revision: number;
}

/** Changes after the revision named by a watch, up to `revision`. */
export interface WatchBatch {
  readonly outcome: 'changes';
  readonly changes: readonly StoreChange[];
  /** Changes omitted because they have no key or no revision; absent if there are none. */
  readonly refused?: readonly RefusedItem[];
  readonly revision: number;
}

/**
 * The store no longer has the changes after the revision named by a watch, or has not issued that revision in its
 * current era.
 */
export interface HistoryLost {
  readonly outcome: 'history-lost';
}

/** The store was unreachable, was too slow, refused the call, or sent no answer that the node can take. */
export interface StoreUnavailable {
  readonly outcome: 'unavailable';
  /** For the log. */
  readonly reason: string;
  /** Whether the answer was in progress, but had more items than a node takes at once or took too long. */
  readonly isTooLarge?: boolean;
}

/** Called when bytes of an answer arrive, whether or not the answer is complete; not called for refusals. */
export type ProgressListener = () => void;

/** A store, accessed through its adapter. Promises never reject. */
export interface KeyValueStore {
  /** Items in key order, after `afterKey`. */
  list(
    afterKey: string | undefined,
    freshness: ReadFreshness,
    onProgress?: ProgressListener,
  ): Promise<ListPage | StoreUnavailable>;
  /** Waits up to `waitMs` for a change after `afterRevision`. */
  watch(
    afterRevision: number,
    waitMs: number,
    freshness: ReadFreshness,
    onProgress?: ProgressListener,
  ): Promise<WatchBatch | HistoryLost | StoreUnavailable>;
  /** Closes all connections. */
  close(): void;
}

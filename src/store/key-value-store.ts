/**
 * What a node needs of a key-value store that it can only read: lists, and watches by revision. Every
 * change of the store raises its one revision, which is combined with the store's era (`store-revision.ts`).
 */
import type { RefusedItem } from './item-fault.js';

/**
 * Stands for the value of an item that is no text, or longer than any that a node reads: no such item is
 * valid, and its bytes would cost every node that holds them.
 */
export const UNREADABLE_TEXT = '\uFFFD';

/** An item as it was written, or its removal. */
export interface StoreChange {
  readonly key: string;
  /** Revision of the store at which the item was written or removed. */
  readonly revision: number;
  /** Text of the item, or {@link UNREADABLE_TEXT}; undefined when it was removed. */
  readonly value: string | undefined;
}

/** Whether a list has to hold all that the store has acknowledged. */
export type ListFreshness = 'current' | 'lagging';

/** A page of a list; the pages of one list are not of one revision. */
export interface ListPage {
  readonly outcome: 'page';
  readonly items: readonly StoreChange[];
  /** Items that are left out, since they have no key or no revision; absent where there are none. */
  readonly refused?: readonly RefusedItem[];
  readonly hasMore: boolean;
  /** Key that the next page begins after; absent where it is that of the last of `items`. */
  readonly lastKey?: string | undefined;
  /** Revision of the store when the page was read. */
  readonly revision: number;
}

/** What changed after the revision that a watch named, up to `revision`. */
export interface WatchBatch {
  readonly outcome: 'changes';
  readonly changes: readonly StoreChange[];
  /** Changes that are left out, since they have no key or no revision; absent where there are none. */
  readonly refused?: readonly RefusedItem[];
  readonly revision: number;
}

/**
 * The store no longer knows what changed after the revision that a watch named, or has not issued that revision
 * in its current era.
 */
export interface HistoryLost {
  readonly outcome: 'history-lost';
}

/** The store could not be reached, was too slow, or turned the call away. */
export interface StoreUnavailable {
  readonly outcome: 'unavailable';
  /** For the log. */
  readonly reason: string;
}

/** Told when bytes of an answer came, whole or not; not of a refusal. */
export type ProgressListener = () => void;

/** A store, over its adapter. Calls never reject. */
export interface KeyValueStore {
  /**
   * Items in the order of their keys, after `afterKey`. A `lagging` page may be seconds old, as a watch
   * may, and costs the store a tenth.
   */
  list(
    afterKey: string | undefined,
    freshness: ListFreshness,
    onProgress?: ProgressListener,
  ): Promise<ListPage | StoreUnavailable>;
  /**
   * Waits up to `waitMs` for a change after `afterRevision`. The answer may lag behind the store while
   * it is disturbed; in return the call does not count against its limits.
   */
  watch(
    afterRevision: number,
    waitMs: number,
    onProgress?: ProgressListener,
  ): Promise<WatchBatch | HistoryLost | StoreUnavailable>;
  /** Closes all connections. */
  close(): void;
}

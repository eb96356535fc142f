/**
 * Determines a node's next call to the store: a list, page by page, then watches from the revision of the list, and
 * a new list if the store no longer has the changes after that revision. Pure: maps each answer to the next call.
 */
import type { RandomSource } from '../control/control-event.js';
import { eraOf } from './store-revision.js';
import type {
  HistoryLost,
  ListPage,
  ReadFreshness,
  StoreChange,
  StoreUnavailable,
  WatchBatch,
} from './key-value-store.js';

/** Back-off after a failed call, in milliseconds; doubles with each consecutive failure. */
const FIRST_BACK_OFF_MS = 100;
/** Maximum back-off between two calls, in milliseconds. */
const MAX_BACK_OFF_MS = 800;
/** Delay between a watch that returned changes and the next one, so that changes are batched, in milliseconds. */
const BATCH_DELAY_MS = 150;

/** Consecutive failures of one page after which the list begins again: the pages before it are seconds old by then. */
const MAX_PAGE_FAILURES = 8;

/** A call to the store, to be made after `delayMs`. */
export type StoreCall = { readonly delayMs: number } & (
  | {
      readonly type: 'list';
      readonly afterKey: string | undefined;
      readonly freshness: ReadFreshness;
    }
  | { readonly type: 'watch'; readonly afterRevision: number }
);

/** An update of the replica from an answer. */
export type StoreUpdate =
  /** The complete content, from a list that was started at `revision`. */
  | {
      readonly type: 'list';
      readonly items: readonly StoreChange[];
      readonly revision: number;
    }
  | {
      readonly type: 'changes';
      readonly changes: readonly StoreChange[];
      readonly revision: number;
    };

/** An answer of the store. */
export type StoreAnswer = ListPage | WatchBatch | HistoryLost | StoreUnavailable;

/** The next call and the update from the last answer. */
export interface StoreStep {
  readonly call: StoreCall;
  readonly update: StoreUpdate | undefined;
}

/** Pages received so far of a list. */
interface PendingList {
  readonly items: StoreChange[];
  /** Lowest revision of the pages received so far; the watch must start from it. */
  revision: number;
  /** Key after which the requested page begins. */
  afterKey: string | undefined;
}

/** The list and watch state of one node. */
export class StoreWatch {
  private pending: PendingList | undefined;
  private revision: number | undefined;
  /** The first list may lag, since a current watch supplies later changes; after lost history it must be current. */
  private listFreshness: ReadFreshness = 'lagging';
  private failures = 0;

  constructor(private readonly random: RandomSource) {}

  /** Whether the last call succeeded. */
  get isConnected(): boolean {
    return this.failures === 0;
  }

  start(): StoreCall {
    return this.nextCall(0);
  }

  /** The next call after a pause during which the replica was updated to `heldRevision` by other means. */
  resume(heldRevision: number): StoreCall {
    if (this.revision !== undefined) {
      this.revision = Math.max(this.revision, heldRevision);
    }
    return this.nextCall(0);
  }

  handleAnswer(answer: StoreAnswer): StoreStep {
    if (answer.outcome === 'unavailable') {
      return this.handleFailure(answer);
    }
    if (this.makesNoProgress(answer)) {
      this.failures += 1;
      this.pending = undefined;
      return { call: this.nextCall(this.backOffMs()), update: undefined };
    }
    this.failures = 0;
    switch (answer.outcome) {
      case 'page':
        return this.handlePage(answer);
      case 'changes':
        return this.handleChanges(answer);
      case 'history-lost':
        return this.restartList();
    }
  }

  /** Restarts with a current list, since a watch cannot supply the changes that a lagging list lacks. */
  private restartList(): StoreStep {
    this.pending = undefined;
    this.revision = undefined;
    this.listFreshness = 'current';
    return { call: this.nextCall(0), update: undefined };
  }

  /**
   * Repeats the call. The pages of a list that were received stay valid, since the watch starts from their revision. A
   * watch whose answer is too large is replaced by a list, whose pages the store keeps small: the same watch would be
   * answered in the same way again.
   */
  private handleFailure({ isTooLarge }: StoreUnavailable): StoreStep {
    this.failures += 1;
    if (this.failures > MAX_PAGE_FAILURES) {
      this.pending = undefined;
    }
    if (isTooLarge === true && this.revision !== undefined) {
      this.restartList();
    }
    return { call: this.nextCall(this.backOffMs()), update: undefined };
  }

  /** Whether a page has a next page that cannot be requested, or that was requested before; the list would never end. */
  private makesNoProgress(answer: StoreAnswer): boolean {
    if (answer.outcome !== 'page' || !answer.hasMore) {
      return false;
    }
    const lastKey = lastKeyOf(answer);
    const afterKey = this.pending?.afterKey;
    return lastKey === undefined || (afterKey !== undefined && !isAfter(lastKey, afterKey));
  }

  private handlePage(page: ListPage): StoreStep {
    const pending = this.pending ?? emptyList(page.revision);
    if (eraOf(page.revision) !== eraOf(pending.revision)) {
      return this.restartList();
    }
    page.items.forEach((item) => pending.items.push(item));
    pending.revision = Math.min(pending.revision, page.revision);
    const lastKey = lastKeyOf(page);
    if (page.hasMore) {
      pending.afterKey = lastKey;
      this.pending = pending;
      return { call: this.nextCall(0), update: undefined };
    }
    this.pending = undefined;
    this.revision = pending.revision;
    const { items, revision } = pending;
    return { call: this.nextCall(0), update: { type: 'list', items, revision } };
  }

  private handleChanges({ changes, refused, revision }: WatchBatch): StoreStep {
    this.revision = Math.max(this.revision ?? 0, revision);
    const delayMs = changes.length > 0 || refused !== undefined ? BATCH_DELAY_MS : 0;
    return { call: this.nextCall(delayMs), update: { type: 'changes', changes, revision } };
  }

  private nextCall(delayMs: number): StoreCall {
    return this.revision === undefined
      ? {
          type: 'list',
          afterKey: this.pending?.afterKey,
          freshness: this.listFreshness,
          delayMs,
        }
      : { type: 'watch', afterRevision: this.revision, delayMs };
  }

  /** Randomized, so that nodes that lost the store at the same time do not reconnect at the same time. */
  private backOffMs(): number {
    const maxDelayMs = Math.min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** (this.failures - 1));
    return maxDelayMs * (0.5 + this.random() / 2);
  }
}

function emptyList(revision: number): PendingList {
  return { items: [], revision, afterKey: undefined };
}

/** Whether a key follows another one in the order of the store, which is that of their bytes. */
function isAfter(key: string, other: string): boolean {
  return Buffer.compare(Buffer.from(key), Buffer.from(other)) > 0;
}

function lastKeyOf({ items, lastKey }: ListPage): string | undefined {
  return lastKey ?? items.at(-1)?.key;
}

/**
 * Decides what a node asks of the store next: a list, page by page, then watches from the list's
 * revision on; a list again when the store has forgotten what came after that. Pure: answers in,
 * the next call out.
 */
import type { RandomSource } from '../control/control-event.js';
import { eraOf } from './store-revision.js';
import type {
  HistoryLost,
  ListFreshness,
  ListPage,
  StoreChange,
  StoreUnavailable,
  WatchBatch,
} from './key-value-store.js';

/** Pause after a failed call, in milliseconds; doubles with each further one. */
const FIRST_BACK_OFF_MS = 100;
/** Longest pause between two calls, in milliseconds. */
const MAX_BACK_OFF_MS = 800;
/** Pause between the answer of a watch and the next one, in milliseconds: changes gather meanwhile. */
const BATCH_DELAY_MS = 150;

/** Pages of one list at most: hundreds of times the items of a large fleet. */
const MAX_PAGES = 200;

/** A call to the store, to be made after a pause. */
export type StoreCall = { readonly delayMs: number } & (
  | {
      readonly type: 'list';
      readonly afterKey: string | undefined;
      readonly freshness: ListFreshness;
    }
  | { readonly type: 'watch'; readonly afterRevision: number }
);

/** What an answer taught. */
export type StoreUpdate =
  /** The whole content, as of a list that was begun at `revision`. */
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

/** The next call, and what the last answer taught. */
export interface StoreStep {
  readonly call: StoreCall;
  readonly update: StoreUpdate | undefined;
}

/** Pages of a list that is under way. */
interface PendingList {
  readonly items: StoreChange[];
  /** Least revision of the pages so far: what changed since must be watched for. */
  revision: number;
  pageCount: number;
  /** Key that the page under way begins after. */
  afterKey: string | undefined;
}

/** One node's list and watches. */
export class StoreWatch {
  private pending: PendingList | undefined;
  private revision: number | undefined;
  /** The first list may lag: the watch after it brings the rest. Not so when that had no history. */
  private listFreshness: ListFreshness = 'lagging';
  private failures = 0;

  constructor(private readonly random: RandomSource) {}

  /** Whether the last call was answered. */
  get isConnected(): boolean {
    return this.failures === 0;
  }

  /** The first call. */
  start(): StoreCall {
    return this.nextCall(0);
  }

  /** The next call after a pause in which the replica came to `heldRevision` by other ways. */
  resume(heldRevision: number): StoreCall {
    if (this.revision !== undefined) {
      this.revision = Math.max(this.revision, heldRevision);
    }
    return this.nextCall(0);
  }

  /** Takes the answer to the last call. */
  handleAnswer(answer: StoreAnswer): StoreStep {
    if (answer.outcome === 'unavailable' || this.makesNoProgress(answer)) {
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

  /** A page that promises another one without a way on: such a list would never end. */
  private makesNoProgress(answer: StoreAnswer): boolean {
    if (answer.outcome !== 'page' || !answer.hasMore) {
      return false;
    }
    const lastKey = lastKeyOf(answer);
    const { afterKey, pageCount = 0 } = this.pending ?? {};
    return lastKey === undefined || lastKey === afterKey || pageCount >= MAX_PAGES;
  }

  private handlePage(page: ListPage): StoreStep {
    const pending = this.pending ?? emptyList(page.revision);
    if (eraOf(page.revision) !== eraOf(pending.revision)) {
      return this.restartList();
    }
    pending.items.push(...page.items);
    pending.revision = Math.min(pending.revision, page.revision);
    pending.pageCount += 1;
    const lastKey = lastKeyOf(page);
    if (page.hasMore) {
      pending.afterKey = lastKey;
      this.pending = pending;
      const { listFreshness: freshness } = this;
      const call = { type: 'list', afterKey: lastKey, freshness, delayMs: 0 } as const;
      return { call, update: undefined };
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
      ? { type: 'list', afterKey: undefined, freshness: this.listFreshness, delayMs }
      : { type: 'watch', afterRevision: this.revision, delayMs };
  }

  /** Nodes that lost the store together come back spread out. */
  private backOffMs(): number {
    const maxDelayMs = Math.min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** (this.failures - 1));
    return maxDelayMs * (0.5 + this.random() / 2);
  }
}

function emptyList(revision: number): PendingList {
  return { items: [], revision, pageCount: 0, afterKey: undefined };
}

function lastKeyOf({ items, lastKey }: ListPage): string | undefined {
  return lastKey ?? items.at(-1)?.key;
}

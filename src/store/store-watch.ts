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
const GATHER_MS = 150;

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
export type StoreLearning =
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
  readonly learning: StoreLearning | undefined;
}

/** Pages of a list that is under way. */
interface PartialList {
  readonly items: StoreChange[];
  /** Least revision of the pages so far: what changed since must be watched for. */
  revision: number;
  pageCount: number;
  /** Key that the page under way begins after. */
  afterKey: string | undefined;
}

/** One node's list and watches. */
export class StoreWatch {
  private partial: PartialList | undefined;
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
  take(answer: StoreAnswer): StoreStep {
    if (answer.outcome === 'unavailable' || this.leadsNowhere(answer)) {
      this.failures += 1;
      this.partial = undefined;
      return { call: this.nextCall(this.backOffMs()), learning: undefined };
    }
    this.failures = 0;
    switch (answer.outcome) {
      case 'page':
        return this.takePage(answer);
      case 'changes':
        return this.takeChanges(answer);
      case 'history-lost':
        return this.restartList();
    }
  }

  /** Restarts with a current list, since a watch cannot supply the changes that a lagging list lacks. */
  private restartList(): StoreStep {
    this.partial = undefined;
    this.revision = undefined;
    this.listFreshness = 'current';
    return { call: this.nextCall(0), learning: undefined };
  }

  /** A page that promises another one without a way on: such a list would never end. */
  private leadsNowhere(answer: StoreAnswer): boolean {
    if (answer.outcome !== 'page' || !answer.hasMore) {
      return false;
    }
    const lastKey = lastKeyOf(answer);
    const { afterKey, pageCount = 0 } = this.partial ?? {};
    return lastKey === undefined || lastKey === afterKey || pageCount >= MAX_PAGES;
  }

  private takePage(page: ListPage): StoreStep {
    const partial = this.partial ?? emptyList(page.revision);
    if (eraOf(page.revision) !== eraOf(partial.revision)) {
      return this.restartList();
    }
    partial.items.push(...page.items);
    partial.revision = Math.min(partial.revision, page.revision);
    partial.pageCount += 1;
    const lastKey = lastKeyOf(page);
    if (page.hasMore) {
      partial.afterKey = lastKey;
      this.partial = partial;
      const { listFreshness: freshness } = this;
      const call = { type: 'list', afterKey: lastKey, freshness, delayMs: 0 } as const;
      return { call, learning: undefined };
    }
    this.partial = undefined;
    this.revision = partial.revision;
    const { items, revision } = partial;
    return { call: this.nextCall(0), learning: { type: 'list', items, revision } };
  }

  private takeChanges({ changes, refused, revision }: WatchBatch): StoreStep {
    this.revision = Math.max(this.revision ?? 0, revision);
    const delayMs = changes.length > 0 || refused !== undefined ? GATHER_MS : 0;
    return { call: this.nextCall(delayMs), learning: { type: 'changes', changes, revision } };
  }

  private nextCall(delayMs: number): StoreCall {
    return this.revision === undefined
      ? { type: 'list', afterKey: undefined, freshness: this.listFreshness, delayMs }
      : { type: 'watch', afterRevision: this.revision, delayMs };
  }

  /** Nodes that lost the store together come back spread out. */
  private backOffMs(): number {
    const longest = Math.min(MAX_BACK_OFF_MS, FIRST_BACK_OFF_MS * 2 ** (this.failures - 1));
    return longest * (0.5 + this.random() / 2);
  }
}

function emptyList(revision: number): PartialList {
  return { items: [], revision, pageCount: 0, afterKey: undefined };
}

function lastKeyOf({ items, lastKey }: ListPage): string | undefined {
  return lastKey ?? items.at(-1)?.key;
}

/**
 * Follows a store: executes the calls that {@link StoreWatch} schedules and applies their answers to a replica. Can
 * be paused while the replica is updated by other means.
 */
import csp, { type Channel } from 'js-csp';
import type { RandomSource } from '../control/control-event.js';
import type { RefusedItem } from './item-fault.js';
import type { KeyValueStore, ProgressListener, ReadFreshness } from './key-value-store.js';
import type { StoreReplica } from './store-replica.js';
import { StoreWatch, type StoreAnswer, type StoreCall, type StoreUpdate } from './store-watch.js';

/** Logged for a page that counts as a failed call because it makes no progress. */
const NO_CONTINUATION_REASON = 'list page makes no progress';

/** How a watch is made. */
export interface WatchTerms {
  readonly freshness: ReadFreshness;
  /** Maximum time that it waits for a change, in milliseconds. */
  readonly waitMs: number;
}

export interface StoreFollowerOptions {
  readonly store: KeyValueStore;
  readonly replica: StoreReplica;
  readonly random: RandomSource;
  /** How the next watch is made; asked before each one. */
  readonly watchTerms: () => WatchTerms;
  /** Called before each call; `waitMs` is how long a watch waits, undefined for a list. */
  readonly onCall?: (freshness: ReadFreshness, waitMs: number | undefined) => void;
  /** Called after each answer that was applied to the replica; `hasChanged` is whether an item changed. */
  readonly onUpdate: (hasChanged: boolean, freshness: ReadFreshness) => void;
  readonly onProgress: ProgressListener;
  /** Called with the rejected items of an answer. */
  readonly onRefused: (items: readonly RefusedItem[]) => void;
  /** Called after each failed call. */
  readonly onFailed: () => void;
  /** Called when the connection to the store is lost or restored. */
  readonly onConnection: (isConnected: boolean, reason: string) => void;
}

export class StoreFollower {
  private readonly watch: StoreWatch;
  private readonly closed: Channel<boolean> = csp.chan();
  private readonly resumed: Channel<boolean> = csp.chan(csp.buffers.sliding(1));
  private isConnected = true;
  private isReading = true;
  /** Of the latest call. */
  private freshness: ReadFreshness = 'lagging';

  constructor(private readonly options: StoreFollowerOptions) {
    this.watch = new StoreWatch(options.random);
  }

  start(): void {
    csp.go(follow, [this, this.watch.start(), this.closed]);
  }

  /** Stops following and closes the connections to the store. */
  close(): void {
    this.closed.close();
    this.resumed.close();
    this.options.store.close();
  }

  /** Pauses before the next call, or resumes from the replica's revision at that time. */
  setReading(isReading: boolean): void {
    this.isReading = isReading;
    if (isReading) {
      csp.putAsync(this.resumed, true);
    }
  }

  get isPaused(): boolean {
    return !this.isReading;
  }

  /** Receives a value when {@link setReading} resumes the follower; closed by {@link close}. */
  get whenResumed(): Channel<boolean> {
    return this.resumed;
  }

  /** The first call after a pause. */
  resume(): StoreCall {
    return this.watch.resume(this.options.replica.revision);
  }

  /** Executes a call; the returned channel receives its answer. */
  call(call: StoreCall): Channel<StoreAnswer> {
    const answers: Channel<StoreAnswer> = csp.chan(1);
    const { store, onProgress } = this.options;
    const { freshness, waitMs } = this.termsOf(call);
    this.freshness = freshness;
    this.options.onCall?.(freshness, call.type === 'watch' ? waitMs : undefined);
    const answer =
      call.type === 'list'
        ? store.list(call.afterKey, freshness, onProgress)
        : store.watch(call.afterRevision, waitMs, freshness, onProgress);
    void answer.then((value) => csp.putAsync(answers, value));
    return answers;
  }

  /** Handles an answer; returns the next call. */
  handleAnswer(answer: StoreAnswer): StoreCall {
    const { call, update } = this.watch.handleAnswer(answer);
    this.reportConnection(answer);
    if (!this.watch.isConnected) {
      this.options.onFailed();
    }
    if ('refused' in answer && answer.refused !== undefined) {
      this.options.onRefused(answer.refused);
    }
    if (update !== undefined) {
      this.options.onUpdate(this.applyUpdate(update), this.freshness);
    }
    return call;
  }

  private termsOf(call: StoreCall): WatchTerms {
    return call.type === 'list'
      ? { freshness: call.freshness, waitMs: 0 }
      : this.options.watchTerms();
  }

  private applyUpdate(update: StoreUpdate): boolean {
    const { replica } = this.options;
    return update.type === 'list'
      ? replica.applyList(update.items, update.revision)
      : replica.applyChanges(update.changes, update.revision);
  }

  private reportConnection(answer: StoreAnswer): void {
    const { isConnected } = this.watch;
    if (isConnected !== this.isConnected) {
      this.isConnected = isConnected;
      this.options.onConnection(isConnected, isConnected ? '' : reasonOf(answer));
    }
  }
}

function reasonOf(answer: StoreAnswer): string {
  return answer.outcome === 'unavailable' ? answer.reason : NO_CONTINUATION_REASON;
}

function* follow(
  follower: StoreFollower,
  firstCall: StoreCall,
  closed: Channel<boolean>,
): Generator<unknown, void, never> {
  let call = firstCall;
  while (!closed.isClosed()) {
    if (follower.isPaused) {
      yield csp.take(follower.whenResumed);
      call = follower.resume();
      continue;
    }
    if (call.delayMs > 0) {
      yield csp.timeout(call.delayMs);
    }
    const answer: StoreAnswer = yield csp.take(follower.call(call));
    if (!closed.isClosed()) {
      call = follower.handleAnswer(answer);
    }
  }
}

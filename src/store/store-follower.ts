/**
 * Follows a store: makes the calls that {@link StoreWatch} decides on and keeps a replica up to date.
 * It can be paused while the replica is kept up to date by other means.
 */
import csp, { type Channel } from 'js-csp';
import type { RandomSource } from '../control/control-event.js';
import type { RefusedItem } from './item-fault.js';
import type { KeyValueStore, ProgressListener } from './key-value-store.js';
import type { StoreReplica } from './store-replica.js';
import { StoreWatch, type StoreAnswer, type StoreCall, type StoreLearning } from './store-watch.js';

/** Why an answer counts as a failure that is none by itself. */
const NO_WAY_ON_REASON = 'a list without a way on';

/** What a follower needs of its node. */
export interface StoreFollowerOptions {
  readonly store: KeyValueStore;
  readonly replica: StoreReplica;
  readonly random: RandomSource;
  /** Longest time that a watch waits for a change, in milliseconds. */
  readonly watchWaitMs: number;
  /** Called after each answer that taught something; `hasChanged` when an item changed. */
  readonly onLearned: (hasChanged: boolean) => void;
  readonly onProgress: ProgressListener;
  /** Called with the items that an answer held and that can't be taken. */
  readonly onRefused: (items: readonly RefusedItem[]) => void;
  /** Called after each call that failed. */
  readonly onFailed: () => void;
  /** Called when the store was lost or found again. */
  readonly onConnection: (isConnected: boolean, reason: string) => void;
}

/** The process that follows the store. */
export class StoreFollower {
  private readonly watch: StoreWatch;
  private readonly closed: Channel<boolean> = csp.chan();
  private readonly resumed: Channel<boolean> = csp.chan(csp.buffers.sliding(1));
  private isConnected = true;
  private isReading = true;

  constructor(private readonly options: StoreFollowerOptions) {
    this.watch = new StoreWatch(options.random);
  }

  /** Begins to follow. */
  start(): void {
    csp.go(follow, [this, this.watch.start(), this.closed]);
  }

  /** Ends following and closes the connections to the store. */
  close(): void {
    this.closed.close();
    this.resumed.close();
    this.options.store.close();
  }

  /** Begins no further call, or goes on from what the replica holds by then. */
  setReading(isReading: boolean): void {
    this.isReading = isReading;
    if (isReading) {
      csp.putAsync(this.resumed, true);
    }
  }

  get isPaused(): boolean {
    return !this.isReading;
  }

  /** Waits for {@link setReading}, or the end. */
  get whenResumed(): Channel<boolean> {
    return this.resumed;
  }

  /** The first call after a pause. */
  resume(): StoreCall {
    return this.watch.resume(this.options.replica.revision);
  }

  /** Makes a call and gives its answer to the returned channel. */
  call(call: StoreCall): Channel<StoreAnswer> {
    const answers: Channel<StoreAnswer> = csp.chan(1);
    const { store, watchWaitMs, onProgress } = this.options;
    const answer =
      call.type === 'list'
        ? store.list(call.afterKey, call.freshness, onProgress)
        : store.watch(call.afterRevision, watchWaitMs, onProgress);
    void answer.then((value) => csp.putAsync(answers, value));
    return answers;
  }

  /** Takes an answer; gives the next call. */
  take(answer: StoreAnswer): StoreCall {
    const { call, learning } = this.watch.take(answer);
    this.reportConnection(answer);
    if (!this.watch.isConnected) {
      this.options.onFailed();
    }
    if ('refused' in answer && answer.refused !== undefined) {
      this.options.onRefused(answer.refused);
    }
    if (learning !== undefined) {
      this.options.onLearned(this.learn(learning));
    }
    return call;
  }

  private learn(learning: StoreLearning): boolean {
    const { replica } = this.options;
    return learning.type === 'list'
      ? replica.takeList(learning.items, learning.revision)
      : replica.takeChanges(learning.changes, learning.revision);
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
  return answer.outcome === 'unavailable' ? answer.reason : NO_WAY_ON_REASON;
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
      call = follower.take(answer);
    }
  }
}

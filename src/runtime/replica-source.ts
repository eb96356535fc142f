/**
 * Keeps a node's replica of the store up to date, from the store itself or from the feed of another
 * node, and serves the feed to the nodes that follow this one. Executes the decisions of {@link SourceChoice}.
 */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { CounterSink, RandomSource } from '../control/control-event.js';
import { ChangeFeed } from '../peers/change-feed.js';
import { FeedClient } from '../peers/feed-client.js';
import { resolveFeedDelta } from '../peers/feed-delta.js';
import type { FeedMessage } from '../peers/feed-message.js';
import { ReaderOrder, type ReaderCandidate } from '../peers/reader-order.js';
import type { FeedFailure } from '../peers/followed-feed.js';
import { SourceChoice, type SourceEffect } from '../peers/source-choice.js';
import type { DeltaCache } from '../peers/delta-codec.js';
import type { RefusedItem } from '../store/item-fault.js';
import type { KeyValueStore, ReadFreshness } from '../store/key-value-store.js';
import { StoreFollower, type WatchTerms } from '../store/store-follower.js';
import { revisionInEra } from '../store/store-revision.js';
import type { StoreReplica } from '../store/store-replica.js';
import { LifeCycle } from './life-cycle.js';
import type { Logger } from './logger.js';

/**
 * Longest time that a watch of the store waits for a change, in milliseconds. Each answer confirms the
 * replica of a reader and of all its followers, so this bounds the delay until a lost reader is detected.
 */
const WATCH_WAIT_MS = 600;
/** The same while a confirmation is awaited: before the first one, after a failed call, and while disconnected. */
const SHORT_WATCH_WAIT_MS = 20;

/**
 * Interval of keep-alive messages to followers while this node is receiving data, in milliseconds. It is
 * longer than a usual watch of the store and shorter than the time after which followers treat the feed as
 * unresponsive. Without keep-alives, 28 of 74 nodes left readers that were receiving a large configuration
 * from the store.
 */
const KEEP_ALIVE_MS = 800;

/** Counters of the calls to the store. */
const READ_COUNTERS: Readonly<Record<ReadFreshness, string>> = {
  current: 'ferryspool_store_current_reads_total',
  lagging: 'ferryspool_store_lagging_reads_total',
};

/** Origin of a change: the store, the feed of a peer, a fetch from a peer, or what a peer hands over after a restore. */
export interface ChangeOrigin {
  readonly path: 'store' | 'feed' | 'fetch' | 'handover';
  /** The peer; undefined for changes from the store. */
  readonly peer?: string;
}

export const FROM_STORE: ChangeOrigin = { path: 'store' };

export interface ReplicaSourceOptions {
  /** This machine. */
  readonly machine: ReaderCandidate;
  /** Port of the feeds, the same on every machine. */
  readonly feedPort: number;
  readonly store: KeyValueStore;
  readonly replica: StoreReplica;
  /** Serialized deltas of the replica, as sent to followers. */
  readonly deltas: DeltaCache;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly counters: CounterSink;
  /** Called when the replica is confirmed; `hasChanged` is true if an item changed. */
  readonly onUpdate: (hasChanged: boolean, origin: ChangeOrigin) => void;
  /** Called with items of the store that are invalid. */
  readonly onRefused: (items: readonly RefusedItem[]) => void;
  /** Called with peers that have to be pinged, beside some others. */
  readonly onPing: (peers: readonly string[]) => void;
}

/** Reads the store or follows a feed, for one node. */
export class ReplicaSource {
  readonly feed: ChangeFeed;
  private readonly sourceChoice: SourceChoice;
  private readonly readerOrder: ReaderOrder;
  private readonly follower: StoreFollower;
  private readonly client: FeedClient;
  private readonly lifeCycle: LifeCycle;
  private isStoreAnswering = false;
  private lastPublishedAtMs = -Infinity;
  /** Whether the next feed must start with the full state, because a patch did not apply. */
  private needsFullState = false;
  private isConnectedToStore = true;
  private checkTimer: NodeJS.Timeout | undefined;
  private checkAtMs = Infinity;

  constructor(private readonly options: ReplicaSourceOptions) {
    const { machine, replica, deltas, random, logger } = options;
    this.lifeCycle = new LifeCycle((name, err) => {
      logger.warn('close-failed', { name, reason: String(err) });
    });
    this.sourceChoice = new SourceChoice(machine.address, random, Date.now());
    this.readerOrder = new ReaderOrder(machine);
    const freshness = () => this.sourceChoice.freshness(MACHINE_CLOCK.now());
    const feed = new ChangeFeed({ replica, deltas, freshness });
    this.feed = this.lifeCycle.own('feed', feed, (owned) => owned.close());
    this.client = this.lifeCycle.own('feed client', this.createClient(), (client) =>
      client.close(),
    );
    this.follower = this.lifeCycle.own('store', this.createFollower(), (follower) =>
      follower.close(),
    );
    this.lifeCycle.own('check timer', undefined, () => this.setCheck(Infinity));
  }

  /** Starts reading. */
  start(): void {
    this.follower.start();
  }

  /** Must be called several times a second. */
  tick(): void {
    if (this.lifeCycle.isClosed) {
      return;
    }
    this.execute(this.sourceChoice.tick(MACHINE_CLOCK.now()));
    this.scheduleCheck();
  }

  close(): Promise<void> {
    return this.lifeCycle.close();
  }

  /** Whether this node reads the store. */
  get isReading(): boolean {
    return this.sourceChoice.shouldRead;
  }

  /** Whether the last call to the store was answered. */
  get isStoreConnected(): boolean {
    return this.isStoreAnswering;
  }

  /** Whether a reader of the store has ever confirmed the replica. */
  get isConfirmed(): boolean {
    return this.sourceChoice.isConfirmed;
  }

  /** Total bytes received over feeds. */
  get feedBytes(): number {
    return this.client.totalBytes;
  }

  /** Time since a reader confirmed the replica, in milliseconds; Infinity before the first time. */
  get ageMs(): number {
    return this.sourceChoice.freshness(MACHINE_CLOCK.now()).ageMs;
  }

  /** Sets the machines of all endpoints. */
  setMachines(machines: Iterable<ReaderCandidate>): void {
    this.sourceChoice.setPosition(this.readerOrder.positionAmong(machines));
  }

  /** Records that the replica was updated by a fetch from a peer. */
  stateFetched(): void {
    this.sourceChoice.stateFetched(MACHINE_CLOCK.now());
    this.feed.publish();
    this.react();
  }

  /** Records the replica age that a peer reported. */
  peerAgeReported(peer: string, ageMs: number): void {
    this.sourceChoice.recordPeerAge(peer, ageMs, MACHINE_CLOCK.now());
    this.react();
  }

  private react(): void {
    if (this.lifeCycle.isClosed) {
      return;
    }
    this.execute(this.sourceChoice.react(MACHINE_CLOCK.now()));
    this.scheduleCheck();
  }

  private scheduleCheck(): void {
    this.reportConnection();
    const nowMs = MACHINE_CLOCK.now();
    const checkAtMs = this.sourceChoice.nextCheckAtMs(nowMs);
    if (checkAtMs !== this.checkAtMs) {
      this.setCheck(checkAtMs);
    }
  }

  private reportConnection(): void {
    const { isConnectedToStore } = this.sourceChoice;
    if (isConnectedToStore !== this.isConnectedToStore) {
      this.isConnectedToStore = isConnectedToStore;
      const event = isConnectedToStore ? 'source-connected' : 'source-disconnected';
      const { followedPeer: peer, shouldRead: isReading } = this.sourceChoice;
      this.options.logger.info(event, { peer, isReading, ageMs: Math.round(this.ageMs) });
    }
  }

  /** Data that has arrived is read before the check, which may come late. */
  private setCheck(checkAtMs: number): void {
    this.checkAtMs = checkAtMs;
    clearTimeout(this.checkTimer);
    if (checkAtMs === Infinity || this.lifeCycle.isClosed) {
      return;
    }
    const delayMs = checkAtMs - MACHINE_CLOCK.now();
    this.checkTimer = setTimeout(() => setImmediate(() => this.tick()), delayMs);
  }

  private createFollower(): StoreFollower {
    const { store, replica, random, logger, onRefused } = this.options;
    return new StoreFollower({
      store,
      replica,
      random,
      watchTerms: () => this.watchTerms(),
      onCall: (freshness, waitMs) => this.recordCall(freshness, waitMs),
      onUpdate: (hasChanged, freshness) => {
        this.isStoreAnswering = true;
        this.sourceChoice.storeAnswered(MACHINE_CLOCK.now(), freshness);
        this.replicaUpdated(hasChanged, FROM_STORE);
        this.react();
      },
      onProgress: () => {
        this.sourceChoice.storeProgressed();
        this.keepAlive();
      },
      onRefused,
      onFailed: () => {
        this.execute(this.sourceChoice.storeFailed(MACHINE_CLOCK.now()));
        this.react();
      },
      onConnection: (isConnected, reason) => {
        this.isStoreAnswering = isConnected;
        logger.info(isConnected ? 'store-regained' : 'store-lost', { reason });
      },
    });
  }

  private recordCall(freshness: ReadFreshness, waitMs: number | undefined): void {
    this.options.counters.add(READ_COUNTERS[freshness]);
    if (waitMs !== undefined) {
      this.sourceChoice.storeWatchBegan(MACHINE_CLOCK.now(), waitMs);
      this.scheduleCheck();
    }
  }

  private watchTerms(): WatchTerms {
    const { isConnectedToStore } = this.sourceChoice;
    const isUrgent = !this.isConfirmed || !this.isStoreAnswering || !isConnectedToStore;
    return {
      freshness: this.sourceChoice.readFreshness(MACHINE_CLOCK.now()),
      waitMs: isUrgent ? SHORT_WATCH_WAIT_MS : WATCH_WAIT_MS,
    };
  }

  private createClient(): FeedClient {
    const { feedPort, logger } = this.options;
    return new FeedClient({
      port: feedPort,
      onMessage: (peer, message) => this.handleFeedMessage(peer, message),
      onProgress: (peer, isPartial) => {
        this.sourceChoice.feedProgressed(peer, isPartial, MACHINE_CLOCK.now());
        this.keepAlive();
      },
      onEnd: (peer, reason) => {
        logger.info('feed-ended', { peer, reason, partialBytes: this.client.partialBytes });
        this.sourceChoice.feedEnded(peer, MACHINE_CLOCK.now());
        this.react();
      },
    });
  }

  private handleFeedMessage(peer: string, message: FeedMessage): void {
    const { replica, logger } = this.options;
    const delta = message.delta && resolveFeedDelta(replica, message.delta);
    if (message.delta !== undefined && delta === undefined) {
      logger.warn('feed-patch-refused', {
        peer,
        revision: revisionInEra(replica.revision),
      });
      this.needsFullState = true;
      this.client.close();
      this.sourceChoice.feedEnded(peer, MACHINE_CLOCK.now());
      return;
    }
    const { revision } = replica;
    const hasChanged = delta !== undefined && replica.applyDelta(delta);
    const isConfirmed = this.sourceChoice.feedMessageReceived(peer, message, MACHINE_CLOCK.now());
    if (isConfirmed || hasChanged || replica.revision > revision) {
      this.replicaUpdated(hasChanged, { path: 'feed', peer });
    }
    this.react();
  }

  /** Publishes to followers first, because applying a change on this node takes longer. */
  private replicaUpdated(hasChanged: boolean, origin: ChangeOrigin): void {
    this.publishToFollowers();
    this.options.onUpdate(hasChanged, origin);
  }

  /**
   * Called when any data arrives, complete or partial, so that followers do not treat this node as
   * unresponsive during a transfer. A keep-alive does not confirm the state, so its age keeps growing.
   */
  private keepAlive(): void {
    if (MACHINE_CLOCK.now() - this.lastPublishedAtMs >= KEEP_ALIVE_MS) {
      this.publishToFollowers();
    }
  }

  private publishToFollowers(): void {
    this.lastPublishedAtMs = MACHINE_CLOCK.now();
    this.feed.publish();
  }

  private execute(effects: readonly SourceEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'read':
        case 'stop-reading':
          this.setReading(effect.type === 'read');
          break;
        case 'keep-alive':
          this.publishToFollowers();
          break;
        case 'ping':
          this.options.onPing(effect.peers);
          break;
        case 'follow':
          this.openFeed(effect.peer);
          break;
        case 'stop-following':
          this.closeFeed(effect.failure);
          break;
      }
    }
  }

  private closeFeed(failure: FeedFailure | undefined): void {
    if (failure !== undefined) {
      const { peer, partialBytes } = this.client;
      const { reason, afterMs } = failure;
      this.options.counters.add(`ferryspool_feed_${reason}_total`);
      this.options.logger.info(`feed-${reason}`, {
        peer,
        afterMs: Math.round(afterMs),
        ageMs: Math.round(this.ageMs),
        partialBytes,
      });
    }
    this.client.close();
  }

  private openFeed(peer: string): void {
    this.options.logger.info('feed-opened', { peer });
    this.client.open(peer, this.needsFullState ? 0 : this.options.replica.revision);
    this.needsFullState = false;
  }

  private setReading(isReading: boolean): void {
    this.options.logger.info(isReading ? 'store-reading' : 'store-reading-ended', {
      ageMs: Math.round(this.ageMs),
    });
    this.follower.setReading(isReading);
  }
}

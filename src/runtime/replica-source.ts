/**
 * Keeps a node's replica of the store up to date, from the store itself or from the feed of another
 * node, and feeds the nodes that follow this one. {@link SourceChoice} decides; this carries it out.
 */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import type { CounterSink, RandomSource } from '../control/control-event.js';
import { ChangeFeed } from '../peers/change-feed.js';
import { FeedClient } from '../peers/feed-client.js';
import { resolveFeedDelta } from '../peers/feed-delta.js';
import type { FeedMessage } from '../peers/feed-message.js';
import { ReaderOrder, type ReaderCandidate } from '../peers/reader-order.js';
import { SourceChoice, type FeedFailure, type SourceEffect } from '../peers/source-choice.js';
import type { DeltaCache } from '../peers/delta-codec.js';
import type { RefusedItem } from '../store/item-fault.js';
import type { KeyValueStore } from '../store/key-value-store.js';
import { StoreFollower } from '../store/store-follower.js';
import { revisionInEra } from '../store/store-revision.js';
import type { StoreReplica } from '../store/store-replica.js';
import { LifeCycle } from './life-cycle.js';
import type { Logger } from './logger.js';

/**
 * Longest time that a watch of the store waits, in milliseconds. Each answer confirms the replica of a
 * reader and of all that follow it, so it bounds how late the loss of a reader shows.
 */
const WATCH_WAIT_MS = 600;

/**
 * Time after which followers are told again what they know while this node is receiving, in milliseconds: beyond a
 * usual round, and before they take the feed for silent. Without it 28 of 74 nodes left readers that were
 * receiving a large configuration from the store.
 */
const KEEP_ALIVE_MS = 800;

/** By which way changes came: from the store, over the feed of a peer, or as a peer was asked for them. */
export interface ChangeOrigin {
  readonly path: 'store' | 'feed' | 'fetch';
  /** The peer; undefined where the store told. */
  readonly peer?: string;
}

export const FROM_STORE: ChangeOrigin = { path: 'store' };

/** What a source needs of its node. */
export interface ReplicaSourceOptions {
  /** This machine. */
  readonly machine: ReaderCandidate;
  /** Port of the feeds, the same on every machine. */
  readonly feedPort: number;
  readonly store: KeyValueStore;
  readonly replica: StoreReplica;
  /** The replica's deltas, as followers are told them. */
  readonly deltas: DeltaCache;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly counters: CounterSink;
  /** The replica was confirmed; `hasChanged` when an item changed. */
  readonly onLearned: (hasChanged: boolean, origin: ChangeOrigin) => void;
  /** The store told items that can't be taken. */
  readonly onRefused: (items: readonly RefusedItem[]) => void;
}

/** The sources of one node. */
export class ReplicaSource {
  readonly feed: ChangeFeed;
  private readonly choice: SourceChoice;
  private readonly order: ReaderOrder;
  private readonly follower: StoreFollower;
  private readonly client: FeedClient;
  private readonly lifeCycle: LifeCycle;
  private isStoreAnswering = false;
  private toldAtMs = -Infinity;
  /** The next feed is to begin with the whole state: a patch did not fit. */
  private needsWhole = false;

  constructor(private readonly options: ReplicaSourceOptions) {
    const { machine, replica, deltas, random, logger } = options;
    this.lifeCycle = new LifeCycle((name, err) => {
      logger.warn('close-failed', { name, reason: String(err) });
    });
    this.choice = new SourceChoice(machine.address, random, Date.now());
    this.order = new ReaderOrder(machine);
    const freshness = () => this.choice.freshness(MACHINE_CLOCK.now());
    const feed = new ChangeFeed({ replica, deltas, freshness });
    this.feed = this.lifeCycle.own('feed', feed, (one) => one.close());
    this.client = this.lifeCycle.own('feed client', this.createClient(), (one) => one.close());
    this.follower = this.lifeCycle.own('store', this.createFollower(), (one) => one.close());
  }

  /** Begins to read. */
  start(): void {
    this.follower.start();
  }

  /** To be called several times a second. */
  tick(): void {
    this.execute(this.choice.tick(MACHINE_CLOCK.now()));
  }

  close(): Promise<void> {
    return this.lifeCycle.close();
  }

  /** Whether this node reads the store. */
  get isReading(): boolean {
    return this.choice.shouldRead;
  }

  /** Whether the last call to the store was answered. */
  get isStoreConnected(): boolean {
    return this.isStoreAnswering;
  }

  /** Bytes that came over feeds so far. */
  get feedBytes(): number {
    return this.client.totalBytes;
  }

  /** Time since a reader confirmed the replica, in milliseconds; Infinity before the first time. */
  get ageMs(): number {
    return this.choice.freshness(MACHINE_CLOCK.now()).ageMs;
  }

  /** Takes all machines that the endpoints name. */
  setMachines(machines: Iterable<ReaderCandidate>): void {
    this.choice.setPosition(this.order.positionAmong(machines));
  }

  /** A peer told how old its replica is. */
  peerHeard(peer: string, ageMs: number): void {
    this.choice.recordPeerAge(peer, ageMs, MACHINE_CLOCK.now());
  }

  private createFollower(): StoreFollower {
    const { store, replica, random, logger, onRefused } = this.options;
    return new StoreFollower({
      store,
      replica,
      random,
      watchWaitMs: WATCH_WAIT_MS,
      onUpdate: (hasChanged) => {
        this.isStoreAnswering = true;
        this.choice.storeAnswered(MACHINE_CLOCK.now());
        this.learned(hasChanged, FROM_STORE);
      },
      onProgress: () => this.keepAlive(),
      onRefused,
      onFailed: () => this.execute(this.choice.storeFailed(MACHINE_CLOCK.now())),
      onConnection: (isConnected, reason) => {
        this.isStoreAnswering = isConnected;
        logger.info(isConnected ? 'store-regained' : 'store-lost', { reason });
      },
    });
  }

  private createClient(): FeedClient {
    const { feedPort, logger } = this.options;
    return new FeedClient({
      port: feedPort,
      onMessage: (peer, message) => this.takeFeed(peer, message),
      onProgress: (peer, isPartial) => {
        this.choice.feedProgressed(peer, isPartial, MACHINE_CLOCK.now());
        this.keepAlive();
      },
      onEnd: (peer, reason) => {
        logger.info('feed-ended', { peer, reason, partialBytes: this.client.partialBytes });
        this.choice.feedEnded(peer, MACHINE_CLOCK.now());
      },
    });
  }

  private takeFeed(peer: string, message: FeedMessage): void {
    const { replica, logger } = this.options;
    const delta = message.delta && resolveFeedDelta(replica, message.delta);
    if (message.delta !== undefined && delta === undefined) {
      logger.warn('feed-patch-refused', {
        peer,
        revision: revisionInEra(replica.revision),
      });
      this.needsWhole = true;
      this.client.close();
      this.choice.feedEnded(peer, MACHINE_CLOCK.now());
      return;
    }
    const { revision } = replica;
    const hasChanged = delta !== undefined && replica.applyDelta(delta);
    const isConfirmed = this.choice.feedMessageReceived(peer, message, MACHINE_CLOCK.now());
    if (isConfirmed || hasChanged || replica.revision > revision) {
      this.learned(hasChanged, { path: 'feed', peer });
    }
  }

  /** Followers are told first: what this node makes of a change takes longer. */
  private learned(hasChanged: boolean, origin: ChangeOrigin): void {
    this.tellFollowers();
    this.options.onLearned(hasChanged, origin);
  }

  /**
   * Something arrived, whole or not: followers are not to take this node for dead meanwhile. What they are told
   * confirms nothing anew, so their state grows old all the same.
   */
  private keepAlive(): void {
    if (MACHINE_CLOCK.now() - this.toldAtMs >= KEEP_ALIVE_MS) {
      this.tellFollowers();
    }
  }

  private tellFollowers(): void {
    this.toldAtMs = MACHINE_CLOCK.now();
    this.feed.publish();
  }

  private execute(effects: readonly SourceEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'read':
        case 'stop-reading':
          this.setReading(effect.type === 'read');
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
    this.client.open(peer, this.needsWhole ? 0 : this.options.replica.revision);
    this.needsWhole = false;
  }

  private setReading(isReading: boolean): void {
    this.options.logger.info(isReading ? 'store-reading' : 'store-reading-ended', {
      ageMs: Math.round(this.ageMs),
    });
    this.follower.setReading(isReading);
  }
}

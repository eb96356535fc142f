/**
 * Chooses the source of the store's changes for a node: the store itself, or the feed of another node.
 * Two nodes read the store; the others follow a predecessor ({@link ReaderOrder}). The choice depends on
 * the age of a node's state, not on liveness reports: each feed reports when a reader last received a
 * current answer from the store. An answer that may lag confirms nothing. A node with stale state follows
 * any peer known to be up to date; the first nodes of its zone then read the store themselves at once, the
 * others after a random delay. During a store outage, the fleet therefore sends a bounded number of requests
 * per second, whatever its size.
 *
 * The store may serve some nodes only. A reader that it does not serve, and whose alternate is not served either, is
 * disconnected and says so over its feed, and so do the nodes that follow it. Each disconnected node then reads the store
 * once; the first that is served announces it to peers, which follow it. Pure: events in, effects out.
 */
import type { RandomSource } from '../control/control-event.js';
import type { ReadFreshness } from '../store/key-value-store.js';
import { FeedTimeouts, FollowedFeed, type FeedFailure } from './followed-feed.js';
import { PeerAges } from './peer-ages.js';
import { MAX_AGE_MS } from './peer-datagram.js';
import { FOLLOWERS_PER_NODE, type ReaderPosition } from './reader-order.js';
import { StoreHealth } from './store-health.js';

/**
 * Age from which a node's state is stale, in milliseconds: two rounds of a reader's watch plus the
 * propagation through the tree. The strictest users require a configuration to be in force within 2 s.
 */
export const STALE_AGE_MS = 1_500;
/** Machines of each zone that read the store as soon as their state is stale, before the others. */
const STANDBY_COUNT = 3;
/** Age from which the state of the first standby is stale, in milliseconds, and how much later that of each next one. */
const STANDBY_STALE_AGE_MS = 1_000;
const STANDBY_STEP_MS = 150;
/**
 * Age from which a node tells its followers that it is running, and how often, in milliseconds. A reader's round is 600 ms, so
 * that nothing is sent while rounds are answered.
 */
const KEEP_ALIVE_AGE_MS = 650;
const KEEP_ALIVE_INTERVAL_MS = 240;
/** Time without bytes from which feeds count as quiet, in milliseconds: at least one keep-alive is missing. */
const QUIET_FEED_MS = 350;
/**
 * Age from which the state of a node with a quiet feed is stale, in milliseconds. Such a node has lost its source, and reads
 * the store itself at once: what other nodes do, or how many are silent too, doesn't matter to it.
 */
const QUIET_FEED_STALE_AGE_MS = 800;
/** Time that a feed takes to open, in milliseconds; a node that opens one does not count as disconnected meanwhile. */
const FEED_OPENING_MS = 100;
/**
 * How much later the state of a peer must have been confirmed for a disconnected node to follow it, in milliseconds. Nodes
 * behind the same reader differ by the propagation through the tree only.
 */
const MIN_NEWER_MS = 100;
/** Time for which a disconnected node pings peers at each check, in milliseconds; some of them may find a source before it. */
const ASKING_MS = 1_500;
/** Maximum delay of a disconnected node's first read of the store, in milliseconds; standbys read at once. */
const SEARCH_SPREAD_MS = 150;
/** Time after which a reader leaves an alternate whose feed has not confirmed its state, in milliseconds. */
const ALTERNATE_TRIAL_MS = 400;
/** Time for which a peer is not followed after its feed failed, in milliseconds. */
const FAILED_PEER_BACKOFF_MS = 2_000;
/**
 * Time after which the feed of a peer that doesn't precede the node is replaced by that of one that does, in milliseconds.
 * Such feeds may form cycles, and those from other zones cost more.
 */
const UNPLANNED_FEED_MS = 2_500;
/** Average interval between attempts to read the store in a zone whose nodes are stale, in milliseconds. */
const READ_TRIAL_INTERVAL_MS = 150;
/**
 * Maximum time for which a started node follows no peer, in milliseconds. Otherwise, if a whole fleet starts
 * at once, every feed would begin with the full state.
 */
const MAX_FOLLOW_DELAY_MS = 1_400;
/** Time after which a reader's last confirmation is discarded, in milliseconds; the reader may have restarted. */
const CONFIRMATION_RETENTION_MS = 10_000;
/** Gap between two ticks that indicates that this process was suspended, in milliseconds. */
const MIN_PAUSE_MS = 400;

/** An action for the caller to execute. */
export type SourceEffect =
  | { readonly type: 'read' }
  | { readonly type: 'stop-reading' }
  /** Open the feed of a peer; no other feed is open. */
  | { readonly type: 'follow'; readonly peer: string }
  /** Tell the followers that this node is running, though its state has not been confirmed for a while, or is disconnected. */
  | { readonly type: 'keep-alive' }
  /** Ping these peers and some others, so that both sides learn the age of the other's state. */
  | { readonly type: 'ping'; readonly peers: readonly string[] }
  /** Close the feed, because of `failure` if it is present. */
  | { readonly type: 'stop-following'; readonly failure?: FeedFailure };

/** How up to date a node's state is: the age of the store's answer that confirmed it, and its reader. */
export interface Freshness {
  /** Time since that answer, in milliseconds; Infinity if there was none. */
  readonly ageMs: number;
  /** The reader's address. */
  readonly reader: string;
  /** Increases with each answer that the reader receives. */
  readonly confirmation: number;
  /**
   * Address of the node whose reads the store serves, through which this state is kept up to date; empty if the node is
   * disconnected. Nodes of earlier versions omit it.
   */
  readonly servedNode?: string;
}

/** The latest answer of the store that a reader reported. */
interface Confirmation {
  readonly sequence: number;
  readonly atMs: number;
}

const NEVER_MS = -Infinity;
/** {@link Freshness.servedNode} of a disconnected node. */
const DISCONNECTED = '';
const INITIAL_POSITION: ReaderPosition = {
  predecessors: [],
  neighbours: new Set(),
  readerCount: 1,
  zoneSize: 1,
  zoneRank: 0,
  alternates: [],
};

/** The source of one node. The node reads the store until it has a feed. */
export class SourceChoice {
  private position = INITIAL_POSITION;
  private isReading = true;
  private feed: FollowedFeed | undefined;
  private readonly feedTimeouts = new FeedTimeouts();
  private readonly avoidedUntilMs = new Map<string, number>();
  private readonly peerAges = new PeerAges(STALE_AGE_MS);
  private readonly storeHealth = new StoreHealth();
  private confirmedAtMs = NEVER_MS;
  private confirmedBy: string;
  private confirmation: number;
  private ownConfirmation: number;
  /** By reader. A repeated confirmation is ignored, so that a cycle of feeds can't keep itself fresh. */
  private readonly confirmations = new Map<string, Confirmation>();
  private followsFromMs = Infinity;
  private trialAtMs: number | undefined;
  /** Whether a read has failed since the node's state was last fresh. */
  private hasTrialFailed = false;
  /** What the followers have been told of {@link servedNode}. */
  private toldServedNode: string;
  /** When the followers were told last that this node is disconnected. */
  private disconnectedAtMs = NEVER_MS;
  private lastTickMs = NEVER_MS;
  private lastKeepAliveAtMs = NEVER_MS;
  /** When bytes last arrived over a feed, or this process went on after a suspension. */
  private lastHeardAtMs = NEVER_MS;

  /** `firstConfirmation` must be higher than any confirmation of an earlier process of this machine. */
  constructor(
    private readonly address: string,
    private readonly random: RandomSource,
    firstConfirmation: number,
  ) {
    this.confirmedBy = address;
    this.toldServedNode = address;
    this.ownConfirmation = firstConfirmation;
    this.confirmation = firstConfirmation;
  }

  /** Whether the node should currently read the store. */
  get shouldRead(): boolean {
    return this.isReading;
  }

  /** The peer whose feed is open or being opened. */
  get followedPeer(): string | undefined {
    return this.feed?.peer;
  }

  /** Whether the followers have been told that the store serves this node or one that it depends on. */
  get isConnectedToStore(): boolean {
    return this.toldServedNode !== DISCONNECTED;
  }

  freshness(nowMs: number): Freshness {
    const { confirmedAtMs, confirmedBy: reader, confirmation } = this;
    const servedNode = this.servedNode(nowMs);
    return { ageMs: nowMs - confirmedAtMs, reader, confirmation, servedNode };
  }

  setPosition(position: ReaderPosition): void {
    this.position = position;
  }

  /** Records that a watch of the store has begun, which waits `waitMs` for a change. */
  storeWatchBegan(nowMs: number, waitMs: number): void {
    this.storeHealth.watchBegan(nowMs, waitMs);
  }

  /** Records that bytes of an answer of the store have arrived. */
  storeProgressed(): void {
    this.storeHealth.progressed();
  }

  /** Records that the store has answered this node. Only a current answer confirms the node's state. */
  storeAnswered(nowMs: number, freshness: ReadFreshness): void {
    this.storeHealth.answered(nowMs, freshness === 'current');
    if (this.followsFromMs === Infinity) {
      this.followsFromMs = nowMs + MAX_FOLLOW_DELAY_MS * (0.5 + this.random() / 2);
    }
    if (freshness === 'lagging') {
      return;
    }
    this.resetTrial();
    this.ownConfirmation += 1;
    this.confirm(nowMs, this.address, this.ownConfirmation);
  }

  /** Records that this node, which the store has not answered yet, has state from a peer. */
  stateFetched(nowMs: number): void {
    this.followsFromMs = Math.min(this.followsFromMs, nowMs);
  }

  /** Whether a reader has ever confirmed this node's state. */
  get isConfirmed(): boolean {
    return this.confirmedAtMs !== NEVER_MS;
  }

  /**
   * How up to date the next read of the store must be. A started node that waits to follow a peer reads what may lag,
   * since its state stays fresh enough until then.
   */
  readFreshness(nowMs: number): ReadFreshness {
    const waitsToFollow = nowMs < this.followsFromMs && !this.isReaderByPosition(nowMs);
    return waitsToFollow && !this.isStale(nowMs) ? 'lagging' : 'current';
  }

  /** Handles a failed read of the store. A node that is not a reader by its position then pauses its reads. */
  storeFailed(nowMs: number): SourceEffect[] {
    this.storeHealth.failed();
    this.hasTrialFailed = true;
    if (this.isReaderByPosition(nowMs) || this.confirmedAtMs === NEVER_MS || !this.isReading) {
      return [];
    }
    this.trialAtMs = undefined;
    return this.setReading(false);
  }

  /** Records that bytes arrived on the open feed; `isPartial` if the last message is incomplete. */
  feedProgressed(peer: string, isPartial: boolean, nowMs: number): void {
    const { feed } = this;
    if (feed?.peer === peer) {
      this.lastHeardAtMs = nowMs;
      feed.bytesReceived(isPartial, nowMs);
    }
  }

  /** Handles a message of the open feed; true if it is a newer confirmation of this node's state. */
  feedMessageReceived(peer: string, message: Freshness, nowMs: number): boolean {
    if (this.feed?.peer !== peer) {
      return false;
    }
    const known = this.confirmations.get(message.reader);
    const isNew = known === undefined || known.sequence < message.confirmation;
    const atMs = isNew ? nowMs - message.ageMs : Math.min(known.atMs, nowMs - message.ageMs);
    this.lastHeardAtMs = nowMs;
    const { servedNode = message.reader } = message;
    this.feed.messageReceived({ reader: message.reader, servedNode, atMs }, nowMs);
    if (servedNode === DISCONNECTED) {
      this.peerAges.forget(peer);
    }
    // The age of a peer's state that no reader has confirmed is sent as the upper limit.
    const isUnconfirmed = message.ageMs >= MAX_AGE_MS;
    if (!isNew || isUnconfirmed || message.reader === this.address) {
      return false;
    }
    this.confirmations.set(message.reader, { sequence: message.confirmation, atMs });
    this.resetTrial();
    return this.confirm(atMs, message.reader, message.confirmation);
  }

  /** Handles the end of the feed of `peer`, or the failure to open it. */
  feedEnded(peer: string, nowMs: number): void {
    if (this.feed?.peer === peer) {
      this.avoid(peer, nowMs);
      this.feed = undefined;
    }
  }

  /** Records the age of the state that a peer in any zone has reported. */
  recordPeerAge(peer: string, ageMs: number, nowMs: number): void {
    this.peerAges.record(peer, ageMs, nowMs);
  }

  /**
   * Must be called after each event. Changes the source at once if the current one does not serve this node, and tells the
   * followers whenever another node is the served one, or none.
   */
  react(nowMs: number): SourceEffect[] {
    const isServed = this.isReaderByPosition(nowMs) && this.isServedByStore(nowMs);
    const effects = isServed || !this.hasUsableFeed(nowMs) ? this.chooseFeed(nowMs) : [];
    const isDisconnected = this.isDisconnected(nowMs);
    return [
      ...effects,
      ...this.tellServedNode(nowMs, isDisconnected),
      ...(isDisconnected ? this.chooseReading(nowMs) : []),
    ];
  }

  /** A node that is opening a feed may be connected in a moment, so that it waits before it says that it is not. */
  private tellServedNode(nowMs: number, isDisconnected: boolean): SourceEffect[] {
    const servedNode = this.servedNode(nowMs);
    const told = this.toldServedNode;
    if (servedNode === told || (servedNode === DISCONNECTED && !isDisconnected)) {
      return [];
    }
    this.toldServedNode = servedNode;
    if (servedNode === DISCONNECTED) {
      this.disconnectedAtMs = nowMs;
    }
    return [{ type: 'keep-alive' }, ...(told === DISCONNECTED ? [this.announcement()] : [])];
  }

  private askPeers(nowMs: number): SourceEffect[] {
    const isAsking = !this.isConnectedToStore && nowMs - this.disconnectedAtMs < ASKING_MS;
    return isAsking ? [{ type: 'ping', peers: [] }] : [];
  }

  /** The next time at which {@link tick} has to be called even if nothing happens before; Infinity if there is none. */
  nextCheckAtMs(nowMs: number): number {
    const times = [
      this.storeHealth.overdueAtMs,
      this.confirmedAtMs + KEEP_ALIVE_AGE_MS,
      this.lastKeepAliveAtMs + KEEP_ALIVE_INTERVAL_MS,
      Math.max(this.confirmedAtMs + QUIET_FEED_STALE_AGE_MS, this.lastHeardAtMs + QUIET_FEED_MS),
      (this.feed?.openedAtMs ?? NEVER_MS) + FEED_OPENING_MS,
      this.trialAtMs ?? Infinity,
    ];
    return Math.min(...times.filter((timeMs) => timeMs > nowMs));
  }

  /** Must be called several times per second. */
  tick(nowMs: number): SourceEffect[] {
    const wasSuspended = nowMs - this.lastTickMs > MIN_PAUSE_MS;
    this.lastTickMs = nowMs;
    this.pruneExpired(nowMs);
    const effects = wasSuspended ? this.resetFeedTimeouts(nowMs) : this.closeFailedFeed(nowMs);
    return [
      ...effects,
      ...this.chooseFeed(nowMs),
      ...this.chooseReading(nowMs),
      ...this.react(nowMs),
      ...this.askPeers(nowMs),
      ...this.keepAlive(nowMs),
    ];
  }

  /** The leaders of the zones hear of it first, since most nodes follow them. */
  private announcement(): SourceEffect {
    return { type: 'ping', peers: this.position.alternates };
  }

  /** Followers leave a source that is silent long before its feed times out, so one that is only behind has to say so. */
  private keepAlive(nowMs: number): SourceEffect[] {
    const isDue = nowMs - this.lastKeepAliveAtMs >= KEEP_ALIVE_INTERVAL_MS;
    if (!this.isConfirmed || nowMs - this.confirmedAtMs < KEEP_ALIVE_AGE_MS || !isDue) {
      return [];
    }
    this.lastKeepAliveAtMs = nowMs;
    return [{ type: 'keep-alive' }];
  }

  /** Restarts the feed timeouts, since data that arrived during the suspension has not been read yet. */
  private resetFeedTimeouts(nowMs: number): SourceEffect[] {
    this.lastHeardAtMs = nowMs;
    this.feed?.restartTimeouts(nowMs);
    return [];
  }

  private closeFailedFeed(nowMs: number): SourceEffect[] {
    if (this.feed === undefined) {
      return [];
    }
    const failure = this.feedTimeouts.failureOf(this.feed, nowMs);
    if (failure === undefined) {
      this.feedTimeouts.recordWorking(this.feed, nowMs);
      return [];
    }
    this.avoid(this.feed.peer, nowMs);
    this.feed = undefined;
    this.feedTimeouts.recordTimeout();
    return [{ type: 'stop-following', failure }];
  }

  private chooseFeed(nowMs: number): SourceEffect[] {
    if (this.isReaderByPosition(nowMs) && this.isServedByStore(nowMs)) {
      return this.stopFollowing();
    }
    this.leaveUnconfirmedAlternate(nowMs);
    const isUsable = this.isFeedFresh(nowMs, STALE_AGE_MS) && !this.isUnplannedFeedExpired(nowMs);
    const hasFeed = this.isReceiving || isUsable;
    if (nowMs < this.followsFromMs || hasFeed) {
      return [];
    }
    const peer = this.nextPeer(nowMs);
    if (peer === undefined || peer === this.feed?.peer || this.awaitsFirstMessage(nowMs)) {
      return [];
    }
    const effects = this.stopFollowing();
    const hasNewerState = this.peerAges.isConfirmedAfter(peer, this.confirmedAtMs + MIN_NEWER_MS);
    this.feed = new FollowedFeed(peer, nowMs, hasNewerState);
    return [...effects, { type: 'follow', peer }];
  }

  /**
   * A reader whose reads fail cannot learn from its followers, so it follows an alternate. Another node follows a
   * predecessor, or the freshest known peer if its state is stale. A disconnected node keeps its feed until a peer with
   * newer state is known: its source will be told, too.
   */
  private nextPeer(nowMs: number): string | undefined {
    if (this.feed !== undefined && this.isDisconnected(nowMs)) {
      const newer = this.freshestPeer(nowMs, this.confirmedAtMs + MIN_NEWER_MS);
      return newer ?? (this.feed.hasMessage ? this.feed.peer : this.plannedPeer(nowMs));
    }
    return this.plannedPeer(nowMs);
  }

  private plannedPeer(nowMs: number): string | undefined {
    const freshest = this.isStale(nowMs)
      ? this.freshestPeer(nowMs, nowMs - STALE_AGE_MS)
      : undefined;
    if (!this.isReaderByPosition(nowMs)) {
      return freshest ?? this.peerByPosition(nowMs);
    }
    const { alternates } = this.position;
    return alternates.find((peer) => !this.avoidedUntilMs.has(peer)) ?? freshest;
  }

  /** An alternate that lacks a reader too must not keep this node from the next one. */
  private leaveUnconfirmedAlternate(nowMs: number): void {
    const { feed } = this;
    const isTried = feed !== undefined && nowMs - feed.openedAtMs >= ALTERNATE_TRIAL_MS;
    if (
      isTried &&
      this.isReaderByPosition(nowMs) &&
      !this.isFeedFresh(nowMs) &&
      !this.isReceiving
    ) {
      this.avoid(feed.peer, nowMs);
    }
  }

  /** Full links delay every feed, so that an opening one is left only by a disconnected node, for a peer with newer state. */
  private awaitsFirstMessage(nowMs: number): boolean {
    const { feed } = this;
    if (feed?.hasMessage !== false) {
      return false;
    }
    return feed.hasNewerState || !this.isDisconnected(nowMs);
  }

  private stopFollowing(): SourceEffect[] {
    if (this.feed === undefined) {
      return [];
    }
    this.feed = undefined;
    return [{ type: 'stop-following' }];
  }

  private chooseReading(nowMs: number): SourceEffect[] {
    if (this.isReaderByPosition(nowMs)) {
      return this.setReading(true);
    }
    if (this.isFeedFresh(nowMs)) {
      this.resetTrial();
      return this.setReading(false);
    }
    return this.isReading || !this.isTrialDue(nowMs) ? [] : this.setReading(true);
  }

  /**
   * Draws a random time for the next attempt if none is set. The first one of a disconnected node comes soon; the delay of
   * the others grows with the size of the zone.
   */
  private isTrialDue(nowMs: number): boolean {
    const isDisconnected = this.isDisconnected(nowMs);
    if (!isDisconnected && !this.isStale(nowMs)) {
      return false;
    }
    const isStandby = this.position.zoneRank < STANDBY_COUNT;
    if (!this.hasTrialFailed && (isStandby || this.isFeedQuiet(nowMs))) {
      return true;
    }
    const isFirst = isDisconnected && !this.hasTrialFailed;
    const meanMs = this.position.zoneSize * READ_TRIAL_INTERVAL_MS;
    this.trialAtMs ??= nowMs + this.random() * (isFirst ? SEARCH_SPREAD_MS : meanMs * 2);
    return nowMs >= this.trialAtMs;
  }

  private resetTrial(): void {
    this.trialAtMs = undefined;
    this.hasTrialFailed = false;
  }

  private setReading(isReading: boolean): SourceEffect[] {
    if (this.isReading === isReading) {
      return [];
    }
    this.isReading = isReading;
    if (isReading) {
      this.storeHealth.resumed();
    }
    return [{ type: isReading ? 'read' : 'stop-reading' }];
  }

  /** Excludes peers whose feeds failed, so that other machines become readers in their place. */
  private isReaderByPosition(nowMs: number): boolean {
    return this.usablePredecessors(nowMs).length < this.position.readerCount;
  }

  private peerByPosition(nowMs: number): string | undefined {
    const usable = this.usablePredecessors(nowMs);
    const index = Math.floor((usable.length - this.position.readerCount) / FOLLOWERS_PER_NODE);
    return usable[Math.max(0, index)];
  }

  private usablePredecessors(nowMs: number): readonly string[] {
    const { predecessors } = this.position;
    return this.avoidedUntilMs.size === 0
      ? predecessors
      : predecessors.filter((peer) => nowMs >= (this.avoidedUntilMs.get(peer) ?? NEVER_MS));
  }

  /** The peer whose state was confirmed last, after `sinceMs`. */
  private freshestPeer(nowMs: number, sinceMs: number): string | undefined {
    const isUsable = (peer: string): boolean =>
      nowMs >= (this.avoidedUntilMs.get(peer) ?? NEVER_MS);
    return this.peerAges.freshest(sinceMs, this.position.neighbours, isUsable);
  }

  private isUnplannedFeedExpired(nowMs: number): boolean {
    const { feed } = this;
    return (
      feed !== undefined &&
      nowMs - feed.openedAtMs >= UNPLANNED_FEED_MS &&
      !this.position.predecessors.includes(feed.peer) &&
      this.usablePredecessors(nowMs).length > 0
    );
  }

  /** A feed whose reader is this node itself does not confirm its state. */
  private isFeedFresh(nowMs: number, staleAgeMs = this.staleAgeMs(nowMs)): boolean {
    const { feed } = this;
    return (
      feed !== undefined &&
      this.isConnected(feed) &&
      feed.reader !== this.address &&
      nowMs - feed.confirmedAtMs < staleAgeMs
    );
  }

  /** Whether neither the store nor a peer that is connected to it serves this node. Before its first state it is not. */
  private isDisconnected(nowMs: number): boolean {
    return this.servedNode(nowMs) === DISCONNECTED && !this.isFeedOpening(nowMs);
  }

  /** The node whose reads the store serves, or {@link DISCONNECTED}; see {@link Freshness}. A node that starts counts as served until it follows a peer. */
  private servedNode(nowMs: number): string {
    const isStarting = !this.isConfirmed || nowMs < this.followsFromMs;
    if (isStarting || (this.isReading && this.isServedByStore(nowMs))) {
      return this.address;
    }
    return this.hasUsableFeed(nowMs) ? (this.feed?.servedNode ?? DISCONNECTED) : DISCONNECTED;
  }

  /** A peer that depends on this node's reads does not serve it. */
  private isConnected({ hasMessage, servedNode }: FollowedFeed): boolean {
    return hasMessage && servedNode !== DISCONNECTED && servedNode !== this.address;
  }

  /** Whether the source is running and connected, even if what it confirmed last is old. */
  private hasUsableFeed(nowMs: number): boolean {
    const { feed } = this;
    const isSilent =
      this.isFeedQuiet(nowMs) && nowMs - this.confirmedAtMs >= QUIET_FEED_STALE_AGE_MS;
    return feed !== undefined && this.isConnected(feed) && !isSilent;
  }

  private isFeedOpening(nowMs: number): boolean {
    const { feed } = this;
    return feed?.hasMessage === false && nowMs - feed.openedAtMs < FEED_OPENING_MS;
  }

  /** Whether a message is arriving; its feed is not closed in favour of one that has delivered nothing yet. */
  private get isReceiving(): boolean {
    return this.feed?.isReceiving === true;
  }

  private isServedByStore(nowMs: number): boolean {
    return this.storeHealth.isServing(nowMs, this.feedStaleAgeMs);
  }

  private isStale(nowMs: number): boolean {
    return nowMs - this.confirmedAtMs >= this.staleAgeMs(nowMs);
  }

  /** Whether nothing has arrived over feeds for a while. A feed that is only being opened tells nothing. */
  private isFeedQuiet(nowMs: number): boolean {
    return nowMs - this.lastHeardAtMs >= QUIET_FEED_MS;
  }

  private staleAgeMs(nowMs: number): number {
    return this.isFeedQuiet(nowMs) ? QUIET_FEED_STALE_AGE_MS : this.feedStaleAgeMs;
  }

  /** Age from which the state of a node is stale whose source is running. */
  private get feedStaleAgeMs(): number {
    const { zoneRank } = this.position;
    return zoneRank < STANDBY_COUNT
      ? STANDBY_STALE_AGE_MS + zoneRank * STANDBY_STEP_MS
      : STALE_AGE_MS;
  }

  private confirm(atMs: number, reader: string, confirmation: number): boolean {
    if (atMs <= this.confirmedAtMs) {
      return false;
    }
    this.confirmedAtMs = atMs;
    this.confirmedBy = reader;
    this.confirmation = confirmation;
    return true;
  }

  private avoid(peer: string, nowMs: number): void {
    this.avoidedUntilMs.set(peer, nowMs + FAILED_PEER_BACKOFF_MS);
    this.peerAges.forget(peer);
  }

  private pruneExpired(nowMs: number): void {
    for (const [peer, untilMs] of this.avoidedUntilMs) {
      if (nowMs >= untilMs) {
        this.avoidedUntilMs.delete(peer);
      }
    }
    this.peerAges.prune(nowMs);
    for (const [reader, { atMs }] of this.confirmations) {
      if (nowMs - atMs >= CONFIRMATION_RETENTION_MS) {
        this.confirmations.delete(reader);
      }
    }
  }
}

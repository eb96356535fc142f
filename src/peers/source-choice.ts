/**
 * Where a node gets the store's changes from: from the store itself, or from the feed of another node.
 * A few nodes of each zone read; the others follow one that stands before them ({@link ReaderOrder}).
 * What counts is not who is said to be alive but how old a node's state is: each feed tells when a
 * reader last heard from the store. A node whose state has grown old follows any peer that it knows to
 * be up to date, and asks the store itself after a random wait, so that a fleet that the store fails
 * asks it a bounded number of times a second, whatever its size. Pure: events in, effects out.
 */
import { MAX_TRANSFER_MS, type TimeoutReason } from '../clock/progress-timer.js';
import type { RandomSource } from '../control/control-event.js';
import { FOLLOWERS_PER_NODE, type ReaderPlace } from './reader-order.js';

/**
 * Age from which a node's state counts as old, in milliseconds: two rounds of a reader's watch and the
 * way down the tree. A configuration has to be in force within 2 s, the least that users ask for.
 */
export const STALE_AGE_MS = 1_500;
/**
 * Silence of a feed after which it is given up, in milliseconds: a reader's round is 600 ms. Any byte ends a
 * silence: when only whole messages did, a message of 1.5 MB on a link of 7 Mbit/s was thrown away shortly
 * before its end and asked for anew.
 */
const FEED_SILENCE_MS = 1_100;
/** Time in which a feed has to begin, in milliseconds: two nodes are a few away from each other. */
const FEED_OPEN_MS = 450;
/**
 * How much longer each feed gets to begin than the one before, after feeds that said nothing in their
 * time, begun or not, and how often at most: a link that is full delays every feed, and the next one is no
 * better.
 */
const PATIENCE_FACTOR = 2;
const MAX_PATIENCE_STEPS = 2;
/** Time for which a feed has to go on until those after it get no more than the usual time again. */
const PATIENCE_ENDS_MS = 10_000;
/** Time for which a peer is not followed after its feed failed, in milliseconds. */
const AVOID_MS = 2_000;
/** Time after which a feed from another zone is given up for one of the own, in milliseconds. */
const FOREIGN_FEED_MS = 5_000;
/** A zone whose nodes have old state tries the store once in this time on average, in milliseconds. */
const TRIAL_SPACING_MS = 300;
/** A node that has just started follows nobody for up to this time, in milliseconds: feeds of a fleet
 * that starts as one would otherwise begin with the whole state. */
const SETTLE_MS = 2_000;
/** Time after which what a reader told is forgotten, in milliseconds: it may have started anew. */
const CONFIRMATION_MEMORY_MS = 10_000;
/** Gap between two ticks that shows that this process stood still, in milliseconds. */
const PAUSE_MS = 400;

/** Something to be done. */
export type SourceEffect =
  | { readonly type: 'read' }
  | { readonly type: 'stop-reading' }
  /** Open the feed of a peer; there is none open. */
  | { readonly type: 'follow'; readonly peer: string }
  /** Close the feed; with a failure where it is given up. */
  | { readonly type: 'stop-following'; readonly failure?: FeedFailure };

/** Why a feed is given up. */
export interface FeedFailure {
  readonly reason: TimeoutReason;
  /** How long that was so, in milliseconds. */
  readonly afterMs: number;
}

/** How up to date a node's state is: which answer of the store to which reader confirmed it. */
export interface Freshness {
  /** Time since that answer, in milliseconds; Infinity when there was none. */
  readonly ageMs: number;
  /** The reader's address. */
  readonly reader: string;
  /** Rises with each answer that the reader got. */
  readonly confirmation: number;
}

interface Feed {
  readonly peer: string;
  readonly openedAtMs: number;
  heardAtMs: number;
  /** Since when a message has been on its way whose end is missing; undefined while none is. */
  deliveringSinceMs: number | undefined;
  /** When the reader behind the feed last heard from the store. */
  confirmedAtMs: number;
  reader: string;
}

/** The latest answer that a reader told of. */
interface Confirmation {
  readonly sequence: number;
  readonly atMs: number;
}

const NEVER_MS = -Infinity;
const NO_PLACE: ReaderPlace = { ahead: [], neighbours: new Set(), readers: 1, zoneSize: 1 };

/** The choice of one node. It reads until it has a feed. */
export class SourceChoice {
  private place = NO_PLACE;
  private isReading = true;
  private feed: Feed | undefined;
  private readonly avoidedUntilMs = new Map<string, number>();
  /** When peers elsewhere were last confirmed to be up to date, by what they say. */
  private readonly confirmedPeersAtMs = new Map<string, number>();
  private confirmedAtMs = NEVER_MS;
  private storeAnsweredAtMs = NEVER_MS;
  private confirmedBy: string;
  private confirmation: number;
  private ownConfirmation: number;
  /** By reader. What was told before confirms nothing, so that no circle of feeds keeps itself fresh. */
  private readonly confirmations = new Map<string, Confirmation>();
  private followsFromMs = Infinity;
  /** Feeds in a row that went silent, before they began or later: either may be a link that is full. */
  private silentFeeds = 0;
  private trialAtMs: number | undefined;
  private lastTickMs = NEVER_MS;

  /** `firstConfirmation` is higher than that of an earlier process of this machine. */
  constructor(
    private readonly address: string,
    private readonly random: RandomSource,
    firstConfirmation: number,
  ) {
    this.confirmedBy = address;
    this.ownConfirmation = firstConfirmation;
    this.confirmation = firstConfirmation;
  }

  /** Whether the node is meant to read the store at present. */
  get reads(): boolean {
    return this.isReading;
  }

  /** The peer whose feed is open, or being opened. */
  get followed(): string | undefined {
    return this.feed?.peer;
  }

  /** How up to date the node's state is. */
  freshness(nowMs: number): Freshness {
    const { confirmedAtMs, confirmedBy: reader, confirmation } = this;
    return { ageMs: nowMs - confirmedAtMs, reader, confirmation };
  }

  /** Takes the node's place in its zone. */
  setPlace(place: ReaderPlace): void {
    this.place = place;
  }

  /** The store answered this node. */
  storeAnswered(nowMs: number): void {
    this.trialAtMs = undefined;
    if (this.followsFromMs === Infinity) {
      this.followsFromMs = nowMs + SETTLE_MS * (0.5 + this.random() / 2);
    }
    this.ownConfirmation += 1;
    this.storeAnsweredAtMs = nowMs;
    this.confirm(nowMs, this.address, this.ownConfirmation);
  }

  /** The store failed this node. One that is no reader by its place leaves the store alone for a while. */
  storeFailed(nowMs: number): SourceEffect[] {
    if (this.isReaderByPlace(nowMs) || this.confirmedAtMs === NEVER_MS || !this.isReading) {
      return [];
    }
    this.trialAtMs = undefined;
    return this.setReading(false);
  }

  /** Bytes came over the open feed; `isPartial` while the end of a message is missing. */
  feedProgressed(peer: string, isPartial: boolean, nowMs: number): void {
    const { feed } = this;
    if (feed?.peer === peer) {
      feed.heardAtMs = nowMs;
      feed.deliveringSinceMs = isPartial ? (feed.deliveringSinceMs ?? nowMs) : undefined;
    }
  }

  /** The open feed told something; true when it confirms this node's state anew. */
  feedHeard(peer: string, told: Freshness, nowMs: number): boolean {
    if (this.feed?.peer !== peer) {
      return false;
    }
    const known = this.confirmations.get(told.reader);
    const isNew = known === undefined || known.sequence < told.confirmation;
    const atMs = isNew ? nowMs - told.ageMs : Math.min(known.atMs, nowMs - told.ageMs);
    this.feed.heardAtMs = nowMs;
    this.feed.confirmedAtMs = Math.max(this.feed.confirmedAtMs, atMs);
    this.feed.reader = told.reader;
    if (!isNew || told.reader === this.address) {
      return false;
    }
    this.confirmations.set(told.reader, { sequence: told.confirmation, atMs });
    return this.confirm(atMs, told.reader, told.confirmation);
  }

  /** The feed of `peer` ended, or could not be opened. */
  feedEnded(peer: string, nowMs: number): void {
    if (this.feed?.peer === peer) {
      this.avoid(peer, nowMs);
      this.feed = undefined;
    }
  }

  /** A peer anywhere told how old its state is. */
  peerHeard(peer: string, ageMs: number, nowMs: number): void {
    if (ageMs < STALE_AGE_MS) {
      this.confirmedPeersAtMs.set(peer, nowMs - ageMs);
    }
  }

  /** To be called several times a second. */
  tick(nowMs: number): SourceEffect[] {
    const hasStoodStill = nowMs - this.lastTickMs > PAUSE_MS;
    this.lastTickMs = nowMs;
    this.forgetOld(nowMs);
    const effects = hasStoodStill ? this.bearPause(nowMs) : this.endSilentFeed(nowMs);
    return [...effects, ...this.chooseFeed(nowMs), ...this.chooseReading(nowMs)];
  }

  /** What arrived while the process stood still is not read yet. */
  private bearPause(nowMs: number): SourceEffect[] {
    const { feed } = this;
    if (feed !== undefined) {
      feed.heardAtMs = nowMs;
      feed.deliveringSinceMs = feed.deliveringSinceMs === undefined ? undefined : nowMs;
    }
    return [];
  }

  private endSilentFeed(nowMs: number): SourceEffect[] {
    if (this.feed === undefined) {
      return [];
    }
    const failure = this.failureOf(this.feed, nowMs);
    if (failure === undefined) {
      this.endPatience(this.feed, nowMs);
      return [];
    }
    this.avoid(this.feed.peer, nowMs);
    this.feed = undefined;
    this.silentFeeds = Math.min(MAX_PATIENCE_STEPS, this.silentFeeds + 1);
    return [{ type: 'stop-following', failure }];
  }

  private failureOf(feed: Feed, nowMs: number): FeedFailure | undefined {
    const silentMs = nowMs - feed.heardAtMs;
    if (silentMs >= this.feedPatienceMs(feed)) {
      return { reason: 'silent', afterMs: silentMs };
    }
    const deliveringMs = nowMs - (feed.deliveringSinceMs ?? nowMs);
    return deliveringMs >= MAX_TRANSFER_MS ? { reason: 'slow', afterMs: deliveringMs } : undefined;
  }

  /** How long a feed may say nothing, in milliseconds. */
  private feedPatienceMs({ confirmedAtMs, deliveringSinceMs }: Feed): number {
    const hasBegun = confirmedAtMs !== NEVER_MS || deliveringSinceMs !== undefined;
    return hasBegun ? FEED_SILENCE_MS : FEED_OPEN_MS * PATIENCE_FACTOR ** this.silentFeeds;
  }

  private endPatience({ openedAtMs, confirmedAtMs }: Feed, nowMs: number): void {
    if (confirmedAtMs !== NEVER_MS && nowMs - openedAtMs >= PATIENCE_ENDS_MS) {
      this.silentFeeds = 0;
    }
  }

  private chooseFeed(nowMs: number): SourceEffect[] {
    const isStale = this.isStale(nowMs);
    if (this.isReaderByPlace(nowMs) && this.isServedByStore(nowMs)) {
      return this.stopFollowing();
    }
    const hasFeed = this.isDelivering || (this.isFeedFresh(nowMs) && !this.isForeignForLong(nowMs));
    if (nowMs < this.followsFromMs || hasFeed) {
      return [];
    }
    const peer = (isStale ? this.freshestPeer(nowMs) : undefined) ?? this.peerByPlace(nowMs);
    const isOpening = this.feed !== undefined && this.feed.confirmedAtMs === NEVER_MS;
    if (peer === undefined || peer === this.feed?.peer || isOpening) {
      return [];
    }
    const effects = this.stopFollowing();
    this.feed = {
      peer,
      openedAtMs: nowMs,
      heardAtMs: nowMs,
      deliveringSinceMs: undefined,
      confirmedAtMs: NEVER_MS,
      reader: peer,
    };
    return [...effects, { type: 'follow', peer }];
  }

  private stopFollowing(): SourceEffect[] {
    if (this.feed === undefined) {
      return [];
    }
    this.feed = undefined;
    return [{ type: 'stop-following' }];
  }

  private chooseReading(nowMs: number): SourceEffect[] {
    if (this.isReaderByPlace(nowMs)) {
      return this.setReading(true);
    }
    if (this.isFeedFresh(nowMs)) {
      this.trialAtMs = undefined;
      return this.setReading(false);
    }
    return this.isReading || !this.isTrialDue(nowMs) ? [] : this.setReading(true);
  }

  /** Draws the time of the next trial when none is drawn; the more nodes may try, the later. */
  private isTrialDue(nowMs: number): boolean {
    if (!this.isStale(nowMs)) {
      return false;
    }
    const spreadMs = this.place.zoneSize * TRIAL_SPACING_MS;
    this.trialAtMs ??= nowMs + this.random() * spreadMs * 2;
    return nowMs >= this.trialAtMs;
  }

  private setReading(isReading: boolean): SourceEffect[] {
    if (this.isReading === isReading) {
      return [];
    }
    this.isReading = isReading;
    return [{ type: isReading ? 'read' : 'stop-reading' }];
  }

  /** Peers whose feeds failed are left out, so that others take their place. */
  private isReaderByPlace(nowMs: number): boolean {
    return this.usableAhead(nowMs).length < this.place.readers;
  }

  private peerByPlace(nowMs: number): string | undefined {
    const usable = this.usableAhead(nowMs);
    const index = Math.floor((usable.length - this.place.readers) / FOLLOWERS_PER_NODE);
    return usable[Math.max(0, index)];
  }

  private usableAhead(nowMs: number): readonly string[] {
    const { ahead } = this.place;
    return this.avoidedUntilMs.size === 0
      ? ahead
      : ahead.filter((peer) => nowMs >= (this.avoidedUntilMs.get(peer) ?? NEVER_MS));
  }

  /** Peers of the own zone go first: bytes between zones cost more. */
  private freshestPeer(nowMs: number): string | undefined {
    let freshest: string | undefined;
    let freshestRank = -Infinity;
    for (const [peer, confirmedAtMs] of this.confirmedPeersAtMs) {
      const ageMs = nowMs - confirmedAtMs;
      const rank = (this.place.neighbours.has(peer) ? STALE_AGE_MS : 0) - ageMs;
      if (ageMs < STALE_AGE_MS && rank > freshestRank && !this.avoidedUntilMs.has(peer)) {
        freshest = peer;
        freshestRank = rank;
      }
    }
    return freshest;
  }

  private isForeignForLong(nowMs: number): boolean {
    const { feed } = this;
    return (
      feed !== undefined &&
      !this.place.neighbours.has(feed.peer) &&
      nowMs - feed.openedAtMs >= FOREIGN_FEED_MS &&
      this.usableAhead(nowMs).length > 0
    );
  }

  /** A feed that goes back to this node's own reading proves nothing. */
  private isFeedFresh(nowMs: number): boolean {
    const { feed } = this;
    return (
      feed !== undefined &&
      feed.reader !== this.address &&
      nowMs - feed.confirmedAtMs < STALE_AGE_MS
    );
  }

  /** What is on its way is not given up for a feed that has brought nothing yet. */
  private get isDelivering(): boolean {
    return this.feed?.deliveringSinceMs !== undefined;
  }

  private isServedByStore(nowMs: number): boolean {
    return nowMs - this.storeAnsweredAtMs < STALE_AGE_MS;
  }

  private isStale(nowMs: number): boolean {
    return nowMs - this.confirmedAtMs >= STALE_AGE_MS;
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
    this.avoidedUntilMs.set(peer, nowMs + AVOID_MS);
    this.confirmedPeersAtMs.delete(peer);
  }

  private forgetOld(nowMs: number): void {
    for (const [peer, untilMs] of this.avoidedUntilMs) {
      if (nowMs >= untilMs) {
        this.avoidedUntilMs.delete(peer);
      }
    }
    for (const [peer, confirmedAtMs] of this.confirmedPeersAtMs) {
      if (nowMs - confirmedAtMs >= STALE_AGE_MS) {
        this.confirmedPeersAtMs.delete(peer);
      }
    }
    for (const [reader, { atMs }] of this.confirmations) {
      if (nowMs - atMs >= CONFIRMATION_MEMORY_MS) {
        this.confirmations.delete(reader);
      }
    }
  }
}

/**
 * Nodes that wait for a slot of one endpoint, at the node that owns its slots, and the slots that are on offer to them.
 * Answers bursts of some seconds: a request that can't be served now but before its deadline waits at its caller's
 * node, and takes only slots that work in time leaves free. Pure: time is passed in.
 */
import { DecayingCount } from '../routing/decaying-count.js';
import { SlotOutlook } from './slot-outlook.js';

/** Half-life of the weight of an answer to an offer, in milliseconds. */
const USE_HALF_LIFE_MS = 1_000;
/** Maximum number of requests that are registered for one endpoint. */
const MAX_WAITERS = 64;
/** Time for which a slot is on offer, in milliseconds: some round trips between machines. */
export const OFFER_HOLD_MS = 50;

/** A request that waits at its caller's node; `N` identifies the connection to that node. */
export interface SlotWaiter<N extends object> {
  readonly node: N;
  readonly requestId: string;
  readonly rank: number;
  readonly expiresAtMs: number;
}

/** A free slot that is offered to a node, for the most urgent of its waiting requests. */
export interface OfferedSlot<N extends object> {
  readonly offerId: number;
  readonly node: N;
}

interface OpenOffer<N extends object> extends OfferedSlot<N> {
  readonly expiresAtMs: number;
}

/** A waiter with its number in the order of registrations and offers. */
interface Registered<N extends object> extends SlotWaiter<N> {
  readonly number: number;
}

export class SlotWaiters<N extends object> {
  /** In the order of registration. */
  private waiters: Registered<N>[] = [];
  private openOffers: OpenOffer<N>[] = [];
  private readonly used = new DecayingCount(USE_HALF_LIFE_MS);
  private readonly declined = new DecayingCount(USE_HALF_LIFE_MS);
  private readonly slotOutlook = new SlotOutlook();
  /** Numbers registrations and offers. */
  private lastNumber = 0;
  private expiredOffers = 0;
  /** The latest offer to each node. */
  private readonly lastOfferTo = new WeakMap<N, number>();

  get hasWaiters(): boolean {
    return this.waiters.length > 0;
  }

  /** Registers a request; returns false if too many are registered. */
  register(waiter: SlotWaiter<N>, nowMs: number): boolean {
    this.dropExpired(nowMs);
    if (this.waiters.length >= MAX_WAITERS || waiter.expiresAtMs <= nowMs) {
      return false;
    }
    this.lastNumber += 1;
    this.waiters.push({ ...waiter, number: this.lastNumber });
    this.slotOutlook.waitingBegan(nowMs);
    return true;
  }

  /** Number of slots that are on offer. */
  openOfferCount(nowMs: number): number {
    this.dropExpired(nowMs);
    return this.openOffers.length;
  }

  /** Number of registered requests that get a slot before a further one of the rank. */
  private countAhead(rank: number, nowMs: number): number {
    this.dropExpired(nowMs);
    return this.waiters.filter((waiter) => waiter.rank <= rank).length;
  }

  /** Expected time until a further request of the rank is offered a slot. */
  expectedWaitMs(rank: number, nowMs: number): number {
    const ahead = this.countAhead(rank, nowMs) * this.usedShare(nowMs);
    return this.slotOutlook.expectedWaitMs(ahead, nowMs);
  }

  /** Offers the free slots that are not on offer yet. */
  offer(freeSlots: number, nowMs: number): OfferedSlot<N>[] {
    this.dropExpired(nowMs);
    const offers: OfferedSlot<N>[] = [];
    while (this.openOffers.length < freeSlots) {
      const node = this.takeNext();
      if (node === undefined) {
        break;
      }
      this.lastNumber += 1;
      const offer = { offerId: this.lastNumber, node, expiresAtMs: nowMs + OFFER_HOLD_MS };
      this.openOffers.push(offer);
      this.lastOfferTo.set(node, offer.offerId);
      offers.push(offer);
    }
    return offers;
  }

  /** The request for an offer has arrived; returns whether the slot was still on offer. */
  accept(offerId: number, nowMs: number): boolean {
    this.dropExpired(nowMs);
    const isOpen = this.openOffers.some((offer) => offer.offerId === offerId);
    if (isOpen) {
      this.closeOffer(offerId);
      this.slotOutlook.slotFreed(nowMs);
      this.used.add(nowMs);
    }
    this.recordIfEmpty(nowMs);
    return isOpen;
  }

  /** The offer that is open to the node; undefined if there is none. */
  openOfferTo(node: N, nowMs: number): number | undefined {
    this.dropExpired(nowMs);
    return this.openOffers.find((offer) => offer.node === node)?.offerId;
  }

  /** The node had nothing that waited for the service of the endpoint when it got the offer. */
  decline(offerId: number, node: N, nowMs: number): void {
    if (this.openOffers.some((offer) => offer.offerId === offerId && offer.node === node)) {
      this.closeOffer(offerId);
      this.slotOutlook.slotFreed(nowMs);
      this.declined.add(nowMs);
      this.waiters = this.waiters.filter(
        (waiter) => waiter.node !== node || waiter.number > offerId,
      );
      this.recordIfEmpty(nowMs);
    }
  }

  /** The connection to the node has ended. */
  removeNode(node: N, nowMs: number): void {
    this.waiters = this.waiters.filter((waiter) => waiter.node !== node);
    this.openOffers = this.openOffers.filter((offer) => offer.node !== node);
    this.recordIfEmpty(nowMs);
  }

  /** The endpoint accepts no work any more. */
  clear(nowMs: number): void {
    this.waiters = [];
    this.openOffers = [];
    this.recordIfEmpty(nowMs);
  }

  /** Number of offers that have expired unanswered since the last call. */
  takeExpiredCount(): number {
    const count = this.expiredOffers;
    this.expiredOffers = 0;
    return count;
  }

  /** Time until an offer expires while further requests wait for a slot; undefined if there is none. */
  nextExpiryMs(nowMs: number): number | undefined {
    const [first] = this.openOffers;
    return first === undefined || this.waiters.length === 0
      ? undefined
      : Math.max(0, first.expiresAtMs - nowMs);
  }

  /** Removes the request of the best rank that was registered first, from the node whose last offer is the oldest. */
  private takeNext(): N | undefined {
    let best: SlotWaiter<N> | undefined;
    for (const waiter of this.waiters) {
      if (best === undefined || this.isBefore(waiter, best)) {
        best = waiter;
      }
    }
    this.waiters = this.waiters.filter((waiter) => waiter !== best);
    return best?.node;
  }

  private isBefore(one: SlotWaiter<N>, other: SlotWaiter<N>): boolean {
    if (one.rank !== other.rank) {
      return one.rank < other.rank;
    }
    const lastOfferId = this.lastOfferTo.get(one.node) ?? 0;
    return lastOfferId < (this.lastOfferTo.get(other.node) ?? 0);
  }

  /** Share of the registered requests that still wait when their nodes are offered a slot. */
  private usedShare(nowMs: number): number {
    const used = this.used.at(nowMs) + 1;
    return used / (used + this.declined.at(nowMs) + 1);
  }

  private closeOffer(offerId: number): void {
    this.openOffers = this.openOffers.filter((offer) => offer.offerId !== offerId);
  }

  private dropExpired(nowMs: number): void {
    const isCurrent = ({ expiresAtMs }: { expiresAtMs: number }): boolean => expiresAtMs > nowMs;
    this.waiters = this.waiters.filter(isCurrent);
    const openOffers = this.openOffers.filter(isCurrent);
    this.expiredOffers += this.openOffers.length - openOffers.length;
    this.openOffers = openOffers;
    this.recordIfEmpty(nowMs);
  }

  private recordIfEmpty(nowMs: number): void {
    if (this.waiters.length === 0 && this.openOffers.length === 0) {
      this.slotOutlook.waitingEnded(nowMs);
    }
  }
}

/** Offers the free slots of one endpoint to the nodes whose requests it refused. Executes {@link SlotWaiters}. */
import type { Refusal, RefusalReason } from '../../admission/admission-effect.js';
import { SlotWaiters } from '../../admission/slot-waiters.js';
import { isLateRank } from '../../admission/work-rank.js';
import type { CounterSink } from '../../control/control-event.js';
import type { Endpoint } from '../../model/resource.js';
import type { Call } from '../call.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import type { SlotListener } from './slot-offer.js';

/** Reasons of refusals for lack of capacity. */
const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set([
  'queue-full',
  'cannot-finish-in-time',
]);

/** Dependencies of {@link SlotOffers}. */
export interface SlotOffersOptions {
  readonly endpoint: Endpoint;
  readonly scheduler: Scheduler;
  readonly counters: CounterSink;
  /** Number of slots that are free while no request is queued; 0 if the endpoint accepts none. */
  readonly freeSlots: () => number;
}

export class SlotOffers {
  private readonly waiters = new SlotWaiters<SlotListener>();
  private cancelRepeat: CancelTimer | undefined;

  constructor(private readonly options: SlotOffersOptions) {}

  /**
   * Registers a refused request whose sender would wait, whether or not it does in view of the expected time: its node is
   * then told when there is room again. Returns the time in which a slot is expected to be offered to
   * it, in milliseconds; undefined if none will be.
   */
  register(call: Call | undefined, refusal: Omit<Refusal, 'requestId'>): number | undefined {
    if (call?.slotWish === undefined || !CAPACITY_REASONS.has(refusal.reason)) {
      return undefined;
    }
    const { requestId, priority: rank, slotWish } = call;
    const nowMs = this.options.scheduler.now();
    const waitMs = Math.max(refusal.retryAfterMs, this.waiters.expectedWaitMs(rank, nowMs));
    const { listener: node, untilMs: expiresAtMs } = slotWish;
    const isRegistered = this.waiters.register({ node, requestId, rank, expiresAtMs }, nowMs);
    return isRegistered ? waitMs : undefined;
  }

  /** Whether all free slots are on offer to requests that were refused before this one, which is late and can wait. */
  yieldsToWaiters({ priority, slotWish, offerId }: Call): boolean {
    const nowMs = this.options.scheduler.now();
    const mayWait = slotWish !== undefined && offerId === undefined && isLateRank(priority);
    const openOfferCount = this.waiters.openOfferCount(nowMs);
    return mayWait && openOfferCount > 0 && openOfferCount >= this.options.freeSlots();
  }

  /** A request has arrived; one for an offered slot takes it, and so does one that crossed the offer to its node. */
  requestArrived({ offerId, slotWish }: Call): void {
    const nowMs = this.options.scheduler.now();
    const openId = slotWish && this.waiters.openOfferTo(slotWish.listener, nowMs);
    const usedId = offerId ?? openId;
    if (usedId !== undefined) {
      const isOpen = this.waiters.accept(usedId, nowMs);
      this.options.counters.add(`ferryspool_slot_offers_${isOpen ? 'used' : 'late'}_total`);
    }
  }

  /** Offers the slots that are free; to be called whenever some may have become free. */
  offerFreeSlots(): void {
    const { counters, endpoint, scheduler } = this.options;
    if (!this.waiters.hasWaiters) {
      return;
    }
    const offers = this.waiters.offer(this.options.freeSlots(), scheduler.now());
    const expiredCount = this.waiters.takeExpiredCount();
    if (expiredCount > 0) {
      counters.add('ferryspool_slot_offers_expired_total', expiredCount);
    }
    for (const { node, offerId } of offers) {
      counters.add('ferryspool_slot_offers_total');
      node.slotOffered({ offerId, service: endpoint.spec.service, endpoint: endpoint.name });
    }
    this.scheduleRepeat();
  }

  declined(offerId: number, listener: SlotListener): void {
    this.options.counters.add('ferryspool_slot_offers_declined_total');
    this.waiters.decline(offerId, listener, this.options.scheduler.now());
    this.offerFreeSlots();
  }

  /** The connection to a node has ended. */
  removeListener(listener: SlotListener): void {
    this.waiters.removeNode(listener, this.options.scheduler.now());
    this.offerFreeSlots();
  }

  /** The endpoint accepts no requests any more. */
  clear(): void {
    this.cancelRepeat?.();
    this.waiters.clear(this.options.scheduler.now());
  }

  /** Offers a slot to the next node if an offer is not answered. */
  private scheduleRepeat(): void {
    this.cancelRepeat?.();
    const { scheduler } = this.options;
    const delayMs = this.waiters.nextExpiryMs(scheduler.now());
    this.cancelRepeat =
      delayMs === undefined ? undefined : scheduler.schedule(delayMs, () => this.offerFreeSlots());
  }
}

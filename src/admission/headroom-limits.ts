/** Applies the headroom of one endpoint to the requests that run there and to those that want to. Pure. */
import { rankOf, type AdmissionTicket } from './admission-queue.js';
import type { ExpectedServiceTimes } from './expected-service-times.js';
import {
  restricts,
  SlotHeadroom,
  slotsBeside,
  type Headroom,
  type RankedWork,
} from './slot-headroom.js';

/** A request that occupies a slot. */
export interface RunningWork {
  readonly rank: number;
  readonly workClass: string | undefined;
}

/** The requests and slots of the endpoint. */
export interface HeadroomSubject {
  readonly serviceTimes: ExpectedServiceTimes;
  readonly running: ReadonlyMap<string, RunningWork>;
  readonly slots: () => number;
}

export class HeadroomLimits {
  private readonly slotHeadroom = new SlotHeadroom();
  /** The queued requests that headroom has kept from starting. */
  private readonly delayed = new WeakSet<AdmissionTicket>();
  private delayCount = 0;

  /** Keeps no slots free unless `isEnabled`. */
  constructor(
    private readonly subject: HeadroomSubject,
    private readonly isEnabled: boolean,
  ) {}

  /** Number of requests whose start headroom has delayed. */
  get delayedCount(): number {
    return this.delayCount;
  }

  recordArrival(ticket: AdmissionTicket, nowMs: number): void {
    this.slotHeadroom.recordArrival(this.workOf(ticket), nowMs);
  }

  /** Number of slots of `limit` that long work leaves free for more urgent work. */
  keptSlots(limit: number, nowMs: number): number {
    const kept = this.headroomsAt(nowMs).map((headroom) => limit - slotsBeside(headroom, limit));
    return Math.max(0, ...kept);
  }

  /** Whether headroom keeps the request from starting. */
  holdsBack(ticket: AdmissionTicket, limit: number, nowMs: number): boolean {
    return this.headroomsFor(ticket, nowMs).some(
      (headroom) => this.restrictedRunning(headroom).length >= slotsBeside(headroom, limit),
    );
  }

  /** Whether headroom lets the queued request start; counts it the first time that it does not. */
  letsStart(queued: AdmissionTicket, limit: number, nowMs: number): boolean {
    const isHeldBack = this.holdsBack(queued, limit, nowMs);
    if (isHeldBack && !this.delayed.has(queued)) {
      this.delayed.add(queued);
      this.delayCount += 1;
    }
    return !isHeldBack;
  }

  /** Number of slots of `limit` that headroom leaves free to the request; Infinity if it does not restrict it. */
  freeSlotsBeside(ticket: AdmissionTicket, limit: number, nowMs: number): number {
    const free = this.headroomsFor(ticket, nowMs).map(
      (headroom) => slotsBeside(headroom, limit) - this.restrictedRunning(headroom).length,
    );
    return Math.min(Infinity, ...free);
  }

  /**
   * Expected wait of the request for one of the slots of `limit` that headroom leaves to it, in milliseconds.
   * `countWaiting` counts the queued requests that are at least as urgent and match.
   */
  waitMs(
    ticket: AdmissionTicket,
    limit: number,
    countWaiting: (matches: (queued: AdmissionTicket) => boolean) => number,
    nowMs: number,
  ): number {
    const waitsMs = this.headroomsFor(ticket, nowMs).map((headroom) => {
      const waiting = countWaiting((queued) => restricts(headroom, this.workOf(queued)));
      return this.waitBesideMs(headroom, limit, waiting);
    });
    return Math.max(0, ...waitsMs) * this.subject.serviceTimes.slownessFactorAt(nowMs);
  }

  private waitBesideMs(headroom: Headroom, limit: number, waiting: number): number {
    const running = this.restrictedRunning(headroom);
    const slots = slotsBeside(headroom, Math.floor(limit));
    const ahead = running.length + waiting - slots + 1;
    const totalMs = running.reduce((sum, { serviceMs }) => sum + serviceMs, 0);
    return ahead <= 0 ? 0 : (ahead * totalMs) / Math.max(1, running.length) / slots;
  }

  private headroomsAt(nowMs: number): readonly Headroom[] {
    const { serviceTimes, slots } = this.subject;
    const use = { slots: slots(), occupyingMs: serviceTimes.usualOccupyingMs };
    return this.isEnabled ? this.slotHeadroom.at(use, nowMs) : [];
  }

  /** The headrooms that restrict the request. */
  private headroomsFor(ticket: AdmissionTicket, nowMs: number): Headroom[] {
    const headrooms = this.headroomsAt(nowMs);
    if (headrooms.length === 0) {
      return [];
    }
    const work = this.workOf(ticket);
    return headrooms.filter((headroom) => restricts(headroom, work));
  }

  private restrictedRunning(headroom: Headroom): RankedWork[] {
    const { serviceTimes, running } = this.subject;
    return [...running.values()]
      .map(({ rank, workClass }) => ({ rank, serviceMs: serviceTimes.usualMs(workClass) }))
      .filter((work) => restricts(headroom, work));
  }

  private workOf(ticket: AdmissionTicket): RankedWork {
    const serviceMs = this.subject.serviceTimes.usualMs(ticket.workClass);
    return { rank: rankOf(ticket), serviceMs };
  }
}

/**
 * Admission control for one endpoint, at the node that owns its slots. At most `slots` requests run
 * concurrently; a short queue orders waiting requests by rank, with fairness among the callers' nodes; a request
 * that cannot finish in time is refused immediately. Pure: time is passed in.
 */
import type {
  AdmissionEffect,
  BodyArrival,
  ClosedReason,
  Refusal,
  RefusalReason,
} from './admission-effect.js';
import { ExpectedServiceTimes } from './expected-service-times.js';
import { HeadroomLimits, type RunningWork } from './headroom-limits.js';
import { IdleStarts } from './idle-starts.js';
import { LimitedRequests } from './limited-requests.js';
import { AdmissionQueue, rankOf, type AdmissionTicket } from './admission-queue.js';
import { PriorityShares, type OfferedWork } from './priority-shares.js';
import { combineRateLimits, NO_RATE_LIMIT, type RateLimiter } from './rate-limiter.js';
import type { SlownessReport } from './reported-slowness.js';
import { isLateRank, onTimeRank } from './work-rank.js';

export type { AdmissionTicket } from './admission-queue.js';
export type {
  AdmissionEffect,
  BodyArrival,
  ClosedReason,
  Refusal,
  RefusalReason,
} from './admission-effect.js';

/** Default queue capacity per slot. */
export const DEFAULT_QUEUED_PER_SLOT = 2;
/** Factor by which a refusal by the endpoint reduces the concurrency limit. */
const REFUSAL_FACTOR = 0.9;
/** Requests by which a load report may exceed the local count, since both change while messages are in transit. */
const REPORT_TOLERANCE = 1;
/** Time for which an endpoint's load report is valid, in milliseconds. */
const REPORT_LIFETIME_MS = 500;
/** Minimum retry delay returned with a refusal, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;
/**
 * Retry delay returned when the endpoint has no slots, so that none can be estimated, in milliseconds. Equals the
 * default of other refusals without an estimate.
 */
const NO_SLOT_RETRY_AFTER_MS = 1_000;

/** Interval at which a request that headroom holds back is considered again, in milliseconds. */
const HEADROOM_CHECK_MS = 500;
/** Maximum wait of late work, as a multiple of the expected wait. */
const LATE_WAIT_FACTOR = 3;

/** Slots and queue of one endpoint. */
export class EndpointAdmission {
  private readonly queue = new AdmissionQueue();
  /** The running requests by request id. */
  private readonly running = new Map<string, RunningWork>();
  /** Ranks of the requests that hold a reservation while their bodies are in transit, by request id. */
  private readonly reserved = new Map<string, number>();
  private readonly serviceTimes = new ExpectedServiceTimes();
  private readonly headroom: HeadroomLimits;
  private readonly idleStarts = new IdleStarts();
  private readonly priorityShares = new PriorityShares();
  private closedFor: ClosedReason | undefined;
  /** Requests in flight at the endpoint, according to its last report, that this node does not count. */
  private unaccountedInFlight = 0;
  private reportedAtMs = -Infinity;
  private readonly limitedRequests: LimitedRequests;
  /** All limits on the rate of requests. */
  private readonly rateLimiter: RateLimiter;

  /** Concurrency limit: at most the slots, lower while the endpoint refuses requests. */
  private limit: number;

  /**
   * The queue holds at most `maxWaiting` requests, and at most `queuedPerSlot` for each slot. `endpointLimiter`
   * enforces the rate limit that the endpoint itself has stated. With `keepsHeadroom`, long work leaves slots free for
   * more urgent work.
   */
  constructor(
    private slots: number,
    private readonly maxWaiting = Infinity,
    private readonly queuedPerSlot = DEFAULT_QUEUED_PER_SLOT,
    private readonly coldStartLimiter: RateLimiter = NO_RATE_LIMIT,
    endpointLimiter: RateLimiter = NO_RATE_LIMIT,
    keepsHeadroom = true,
  ) {
    this.limitedRequests = new LimitedRequests(endpointLimiter);
    this.rateLimiter = combineRateLimits([coldStartLimiter, endpointLimiter]);
    this.limit = slots;
    this.headroom = new HeadroomLimits(
      { serviceTimes: this.serviceTimes, running: this.running, slots: () => this.slots },
      keepsHeadroom,
    );
  }

  /** Number of running requests. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Number of queued requests. */
  get waitingCount(): number {
    return this.queue.size;
  }

  /** Number of requests whose start headroom has delayed. */
  get delayedByHeadroomCount(): number {
    return this.headroom.delayedCount;
  }

  /** Number of slots that long work leaves free for more urgent work. */
  headroomSlots(nowMs: number): number {
    return this.headroom.keptSlots(this.limitAt(nowMs), nowMs);
  }

  /** Whether the request holds a reservation. */
  hasReservation(requestId: string): boolean {
    return this.reserved.has(requestId);
  }

  /** The refusal of a request that has to wait for others although the queue has a place for it. */
  refuseInFavourOfOthers(ticket: AdmissionTicket, nowMs: number): Refusal {
    return this.refusal(ticket, 'queue-full', nowMs);
  }

  /** Why new requests are refused; undefined while they are accepted. */
  get closedReason(): ClosedReason | undefined {
    return this.closedFor;
  }

  /** Mean service time of a class of work at the usual speed; undefined before the first measurement. */
  serviceMs(workClass: string): number | undefined {
    return this.serviceTimes.measuredMs(workClass);
  }

  /** Latest time at which the request may start. */
  latestStartAtMs(offered: AdmissionTicket, nowMs: number): number {
    const ticket = this.applyLateWorkRules(offered, nowMs);
    const { startByMs = Infinity } = ticket;
    return Math.min(startByMs, this.lastUsefulStartMs(ticket));
  }

  /**
   * Changes the number of slots; running requests are not affected. With 0 slots, queued requests still run,
   * one at a time, and new requests are refused.
   */
  setSlots(slots: number, nowMs: number): AdmissionEffect[] {
    this.slots = slots;
    this.limit = slots;
    return this.fillSlots(nowMs);
  }

  /** Refuses new requests and queued ones, which have not started, for `reason`; without one, accepts requests. */
  close(reason: ClosedReason | undefined, nowMs: number): AdmissionEffect[] {
    this.closedFor = reason;
    if (reason === undefined) {
      return [];
    }
    return this.queue.removeAll().map((ticket) => this.refuse(ticket, reason, nowMs));
  }

  /**
   * Time until a request that is queued because of a rate limit or headroom may be sent, at which to call
   * {@link resume}; undefined when there is none.
   */
  resumeDelayMs(nowMs: number): number | undefined {
    if (this.queue.size === 0) {
      return undefined;
    }
    if (this.rateLimiter.availableAt(nowMs) === 0) {
      return this.rateLimiter.nextAvailableInMs(nowMs);
    }
    return this.running.size < this.limitAt(nowMs) ? HEADROOM_CHECK_MS : undefined;
  }

  /** Slots that a request could have at once; 0 while any request is queued or new requests are refused. */
  freeSlotsAt(nowMs: number): number {
    const isOpen = this.closedFor === undefined && this.slots > 0 && this.queue.size === 0;
    const taken = this.running.size + this.reserved.size;
    return isOpen ? Math.max(0, this.limitAt(nowMs) - taken) : 0;
  }

  /** Decides again on the queued requests after a rate limit has changed; the most urgent ones first. */
  rateLimitChanged(nowMs: number): AdmissionEffect[] {
    const tickets = this.queue.removeAll().sort((one, other) => rankOf(one) - rankOf(other));
    return tickets.flatMap((ticket) => this.admit(ticket, nowMs));
  }

  /** Dispatches queued requests as far as the limits allow. */
  resume(nowMs: number): AdmissionEffect[] {
    return this.fillSlots(nowMs);
  }

  /**
   * Records that the endpoint refused a request that was sent to it: its capacity is below its slots, or other
   * clients use it too. Multiplies the limit by {@link REFUSAL_FACTOR}; the limit grows by one again with each
   * limit's worth of responses.
   */
  endpointRefused(): void {
    this.limit = Math.max(1, this.limit * REFUSAL_FACTOR);
  }

  /**
   * Records the number of requests that run or wait at the endpoint according to its report. Requests that this
   * node does not count occupy slots too, for example those that the endpoint still processes after their
   * connections were closed.
   */
  endpointReported(inFlight: number, nowMs: number): void {
    this.unaccountedInFlight = Math.max(0, inFlight - this.running.size - REPORT_TOLERANCE);
    this.reportedAtMs = nowMs;
  }

  /** Records how long work takes at the endpoint at present, according to its report. */
  slownessReported(report: SlownessReport, nowMs: number): void {
    this.serviceTimes.reported(report, nowMs);
  }

  /** The endpoint's latest report of how long work takes; undefined if there is none that is recent. */
  slownessAt(nowMs: number): SlownessReport | undefined {
    return this.serviceTimes.reportAt(nowMs);
  }

  /**
   * Decides on a request whose body has yet to arrive. Applies the rules of {@link offer} as of the expected
   * arrival of the body; if it passes, reserves a slot or a place in the queue until the request is offered or
   * {@link unreserve} is called. A request that may not wait for a slot may not wait for its body to begin either.
   */
  reserve(ticket: AdmissionTicket, arrival: BodyArrival, nowMs: number): Refusal | undefined {
    const { beginsAtMs, endsAtMs } = arrival;
    if (beginsAtMs > nowMs && beginsAtMs > (ticket.startByMs ?? Infinity)) {
      return this.refusal(ticket, 'cannot-finish-in-time', nowMs, beginsAtMs - nowMs);
    }
    const offered = this.withoutMissedTarget(this.applyOrderRules(ticket, nowMs), nowMs);
    const reason =
      this.refusalReasonFor(offered, nowMs, endsAtMs) ?? this.queueFullReasonFor(offered, nowMs);
    if (reason === undefined) {
      this.reserved.set(ticket.requestId, rankOf(ticket));
      return undefined;
    }
    return this.refusal(ticket, reason, nowMs, endsAtMs - this.latestStartAtMs(offered, nowMs));
  }

  /** Releases the reservation of a request. */
  unreserve(requestId: string): void {
    this.reserved.delete(requestId);
  }

  /** Moves all reservations to `next`. */
  transferReservations(next: EndpointAdmission): void {
    this.reserved.forEach((rank, requestId) => next.reserved.set(requestId, rank));
    this.reserved.clear();
  }

  /** Dispatches, queues or refuses a request that has arrived. */
  offer(offered: AdmissionTicket, nowMs: number): AdmissionEffect[] {
    this.limitedRequests.recordOffer(nowMs);
    this.headroom.recordArrival(offered, nowMs);
    this.priorityShares.recordOffer(this.offeredWorkOf(offered), nowMs);
    return this.admit(offered, nowMs);
  }

  private admit(offered: AdmissionTicket, nowMs: number): AdmissionEffect[] {
    const hadReservation = this.reserved.delete(offered.requestId);
    const ticket = this.withoutMissedTarget(this.applyOrderRules(offered, nowMs), nowMs);
    const hasCapacity = hadReservation || this.hasFreeSlotFor(ticket, nowMs);
    const reason =
      this.refusalReasonFor(ticket, nowMs) ??
      (hasCapacity ? undefined : this.queueFullReasonFor(ticket, nowMs));
    if (reason !== undefined) {
      return [this.refuse(ticket, reason, nowMs), ...this.fillSlots(nowMs)];
    }
    const displaced = this.displaceFor(ticket, nowMs);
    this.queue.enqueue({ ...ticket, isShort: this.serviceTimes.isShort(ticket.workClass) });
    return [...displaced, ...this.fillSlots(nowMs)];
  }

  /**
   * Frees the slot of a dispatched request. `serviceMs` is its measured service time, given only when it was
   * answered.
   */
  release(requestId: string, nowMs: number, serviceMs?: number): AdmissionEffect[] {
    const ended = this.running.get(requestId);
    if (ended === undefined) {
      return [];
    }
    this.running.delete(requestId);
    if (serviceMs !== undefined) {
      this.serviceTimes.measure(ended.workClass, serviceMs, nowMs);
      this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
    }
    return this.fillSlots(nowMs);
  }

  /** Records a request of the class that was abandoned without a response, `elapsedMs` after it was sent. */
  recordUnfinished(workClass: string, elapsedMs: number, nowMs: number): void {
    this.serviceTimes.measureUnfinished(workClass, elapsedMs, nowMs);
  }

  /** Removes a queued request whose caller has given up; false when it is not queued. */
  withdraw(requestId: string, callerNode: string): boolean {
    return this.queue.remove(requestId, callerNode);
  }

  /** Current concurrency limit. At least one request may run, so that the next load report arrives. */
  private limitAt(nowMs: number): number {
    const isRecent = nowMs - this.reportedAtMs < REPORT_LIFETIME_MS;
    const limit = Math.max(1, Math.floor(this.limit) - (isRecent ? this.unaccountedInFlight : 0));
    return Math.min(limit, this.running.size + this.rateLimiter.availableAt(nowMs));
  }

  /** Whether a slot is free for the request, and for no queued one. */
  private hasFreeSlotFor(ticket: AdmissionTicket, nowMs: number): boolean {
    return (
      this.running.size < this.limitAt(nowMs) &&
      !this.isHeldBack(ticket, nowMs) &&
      !this.queue.has((queued) => !this.isHeldBack(queued, nowMs))
    );
  }

  private isHeldBack(ticket: AdmissionTicket, nowMs: number): boolean {
    return this.headroom.holdsBack(ticket, this.limitAt(nowMs), nowMs);
  }

  /**
   * Drops a target time that has passed when a slot is free, so that only the deadline applies. No endpoint could
   * meet the target any more, and a refusal would send the request again over the link that delayed it.
   */
  private withoutMissedTarget(ticket: AdmissionTicket, nowMs: number): AdmissionTicket {
    const { targetAtMs = Infinity } = ticket;
    return targetAtMs <= nowMs && this.hasFreeSlotFor(ticket, nowMs)
      ? { ...ticket, targetAtMs: undefined }
      : ticket;
  }

  /** Promotes work of a priority that has fallen behind, and applies the rules for late work. */
  private applyOrderRules(offered: AdmissionTicket, nowMs: number): AdmissionTicket {
    const work = this.offeredWorkOf(offered);
    const priority = this.priorityShares.rankOf(work, nowMs);
    const isPromoted = priority !== work.rank;
    const ticket = isPromoted ? { ...offered, priority, offeredRank: work.rank } : offered;
    return this.applyLateWorkRules(ticket, nowMs);
  }

  private offeredWorkOf(ticket: AdmissionTicket): OfferedWork {
    const { offeredRank = rankOf(ticket), workClass } = ticket;
    return { rank: offeredRank, serviceMs: this.serviceTimes.usualMs(workClass) };
  }

  /**
   * Applies the rules for late work. Short late work is ranked with on-time work. Late work may wait for
   * {@link LATE_WAIT_FACTOR} times the expected wait, or for as long as its node allows if that is longer; when that
   * time is exceeded, the endpoint has become slower than the estimate. The endpoint's own rate limit does not extend
   * the wait.
   */
  private applyLateWorkRules(ticket: AdmissionTicket, nowMs: number): AdmissionTicket {
    const rank = rankOf(ticket);
    if (!isLateRank(rank)) {
      return ticket;
    }
    const { startByMs = Infinity } = ticket;
    const ranked = {
      ...ticket,
      priority: this.serviceTimes.isShort(ticket.workClass) ? onTimeRank(rank) : rank,
    };
    const maxWaitMs = LATE_WAIT_FACTOR * this.expectedSlotWaitMs(ranked, nowMs);
    return { ...ranked, startByMs: Math.max(startByMs, nowMs + maxWaitMs) };
  }

  /**
   * Returns 'queue-full' when the queue is full, no slot is free and the request would displace no queued one.
   * Reservations count as queued requests do: they do not keep out more urgent requests, and displace no more
   * queued requests than there are. Short work takes no place: while it is more urgent than other work, it would keep
   * all of that out.
   */
  private queueFullReasonFor(ticket: AdmissionTicket, nowMs: number): RefusalReason | undefined {
    if (this.serviceTimes.isShort(ticket.workClass)) {
      return this.queue.size < this.maxWaiting ? undefined : 'queue-full';
    }
    const freeSlots = this.freeSlotsFor(ticket, nowMs);
    const rank = rankOf(ticket);
    const reservedAhead = [...this.reserved.values()].filter((other) => other <= rank).length;
    const occupied = this.queue.placesTaken(rank) + reservedAhead;
    const hasCapacity =
      occupied < this.queueBound + freeSlots ||
      this.queue.canDisplacePeerFor(ticket, reservedAhead);
    return hasCapacity ? undefined : 'queue-full';
  }

  /** Number of free slots that the request may use. */
  private freeSlotsFor(ticket: AdmissionTicket, nowMs: number): number {
    const limit = this.limitAt(nowMs);
    const freeBeside = this.headroom.freeSlotsBeside(ticket, limit, nowMs);
    return Math.max(0, Math.min(limit - this.running.size, freeBeside));
  }

  private get queueBound(): number {
    return Math.min(this.maxWaiting, this.slots * this.queuedPerSlot);
  }

  /** Displaces a request from a full queue in favour of one that is preferred to it. */
  private displaceFor(ticket: AdmissionTicket, nowMs: number): AdmissionEffect[] {
    const isShort = this.serviceTimes.isShort(ticket.workClass);
    const needsPlace = !isShort && !this.hasFreeSlotFor(ticket, nowMs);
    const isFull = needsPlace && this.queue.placesTaken() >= this.queueBound;
    const displaced = isFull ? this.queue.displaceFor(ticket) : undefined;
    return displaced === undefined ? [] : [this.refuse(displaced, 'queue-full', nowMs)];
  }

  /**
   * `startAtMs` is the earliest time at which the request can start, when its body has arrived. Waits are estimated as of
   * now: what is measured over the last moments says nothing of a later time.
   */
  private refusalReasonFor(
    ticket: AdmissionTicket,
    nowMs: number,
    startAtMs = nowMs,
  ): RefusalReason | undefined {
    if (this.closedFor !== undefined) {
      return this.closedFor;
    }
    if (ticket.deadlineAtMs <= startAtMs) {
      return 'deadline-passed';
    }
    // The expected wait would be infinite or NaN, and so would the retry delay.
    if (this.slots === 0) {
      return 'queue-full';
    }
    const rank = rankOf(ticket);
    const leadMs = startAtMs - nowMs;
    const slotWaitMs = this.expectedSlotWaitMs(ticket, nowMs, leadMs);
    if (this.waitsTooLong(ticket, slotWaitMs, startAtMs)) {
      return 'cannot-finish-in-time';
    }
    const waitMs = Math.max(slotWaitMs, this.endpointLimitWaitMs(rank, nowMs) - leadMs);
    return this.waitsTooLong(ticket, waitMs, startAtMs) ? 'rate-limited' : undefined;
  }

  private waitsTooLong(ticket: AdmissionTicket, waitMs: number, nowMs: number): boolean {
    const startsTooLate = waitMs > 0 && nowMs + waitMs > (ticket.startByMs ?? Infinity);
    return startsTooLate || this.isTooLate(ticket, nowMs + waitMs, waitMs > 0);
  }

  /** Latest time at which a request can start and still finish in time, at the usual speed. */
  private lastUsefulStartMs(ticket: AdmissionTicket): number {
    return usefulUntilMs(ticket) - this.serviceTimes.usualMs(ticket.workClass);
  }

  /**
   * Whether a request that starts at `startAtMs` cannot finish in time. For an idle endpoint this is true only under its
   * own rate limit or if little time is left, so that its service time is measured again. `startByMs` is not
   * considered, since it does not restrict a request that gets a free slot immediately.
   */
  private isTooLate(ticket: AdmissionTicket, startAtMs: number, hasToWait = false): boolean {
    const isIdle = this.running.size === 0 && !hasToWait;
    const serviceMs = this.serviceTimes.expectedMs(ticket.workClass, startAtMs);
    return isIdle
      ? this.isWastedOnIdle(ticket, serviceMs, startAtMs)
      : startAtMs + serviceMs > usefulUntilMs(ticket);
  }

  private isWastedOnIdle(ticket: AdmissionTicket, meanMs: number, nowMs: number): boolean {
    const { workClass = '', deadlineAtMs } = ticket;
    return (
      this.limitedRequests.isWasted(ticket, meanMs, nowMs) ||
      this.idleStarts.isWasted({ workClass, deadlineAtMs, meanMs }, nowMs)
    );
  }

  /** Expected wait of the request if it arrives now. */
  private expectedWaitMs(ticket: AdmissionTicket, nowMs: number): number {
    const limitWaitMs = this.endpointLimitWaitMs(rankOf(ticket), nowMs);
    return Math.max(this.expectedSlotWaitMs(ticket, nowMs), limitWaitMs);
  }

  /** Wait because of the rate limit that the endpoint has stated. */
  private endpointLimitWaitMs(rank: number, nowMs: number): number {
    return this.limitedRequests.waitMs(this.queue.countAtLeastAsUrgent(rank), nowMs);
  }

  /**
   * Expected wait for a slot, by the measured service times, and until a cold endpoint may get the request. The rate
   * limit of a cold endpoint is waited for while the body arrives, `leadMs` from now.
   */
  private expectedSlotWaitMs(ticket: AdmissionTicket, nowMs: number, leadMs = 0): number {
    const waiting = this.queue.countAtLeastAsUrgent(rankOf(ticket));
    const ahead = this.running.size + waiting - this.limit + 1;
    const serviceMs = this.serviceTimes.expectedOverallMs(nowMs);
    const slotWaitMs = ahead <= 0 ? 0 : (ahead * serviceMs) / this.limit;
    return Math.max(
      slotWaitMs,
      this.coldStartLimiter.maxDelayMs(waiting + 1, nowMs) - leadMs,
      this.headroomWaitMs(ticket, nowMs),
    );
  }

  private headroomWaitMs(ticket: AdmissionTicket, nowMs: number): number {
    const countWaiting = (matches: (queued: AdmissionTicket) => boolean): number =>
      this.queue.countAtLeastAsUrgent(rankOf(ticket), matches);
    return this.headroom.waitMs(ticket, this.limit, countWaiting, nowMs);
  }

  private refuse(ticket: AdmissionTicket, reason: RefusalReason, nowMs: number): AdmissionEffect {
    return { type: 'refuse', ...this.refusal(ticket, reason, nowMs) };
  }

  /** `bodyWaitMs` is how much earlier the body would have to arrive. */
  private refusal(
    ticket: AdmissionTicket,
    reason: RefusalReason,
    nowMs: number,
    bodyWaitMs = 0,
  ): Refusal {
    const hasSlots = this.slots > 0;
    const slotWaitMs = hasSlots ? this.expectedWaitMs(ticket, nowMs) : NO_SLOT_RETRY_AFTER_MS;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, slotWaitMs, bodyWaitMs);
    return { requestId: ticket.requestId, reason, retryAfterMs };
  }

  private fillSlots(nowMs: number): AdmissionEffect[] {
    const effects: AdmissionEffect[] = [];
    while (this.running.size < this.limitAt(nowMs)) {
      const ticket = this.queue.dequeue((queued) =>
        this.headroom.letsStart(queued, this.limitAt(nowMs), nowMs),
      );
      if (ticket === undefined) {
        break;
      }
      effects.push(this.dispatchOrRefuse(ticket, nowMs));
    }
    return effects;
  }

  /** Checks the deadline again, since the process may have been paused while the request was queued. */
  private dispatchOrRefuse(ticket: AdmissionTicket, nowMs: number): AdmissionEffect {
    if (ticket.deadlineAtMs <= nowMs) {
      return this.refuse(ticket, 'deadline-passed', nowMs);
    }
    if (this.isTooLate(ticket, nowMs)) {
      return this.refuse(ticket, 'cannot-finish-in-time', nowMs);
    }
    this.running.set(ticket.requestId, { rank: rankOf(ticket), workClass: ticket.workClass });
    this.priorityShares.recordStart(ticket.offeredRank ?? rankOf(ticket), nowMs);
    this.limitedRequests.recordSent(nowMs);
    this.idleStarts.recordStart(ticket.workClass ?? '', nowMs);
    this.rateLimiter.recordSent(ticket.requestId, nowMs);
    return { type: 'dispatch', requestId: ticket.requestId };
  }
}

/** Until when an answer is of use. */
function usefulUntilMs({ deadlineAtMs, targetAtMs = Infinity }: AdmissionTicket): number {
  return Math.min(deadlineAtMs, targetAtMs);
}

/**
 * Admission to one endpoint, at the one node that owns its slots: at most `slots` requests run at
 * once; a short queue waits for them, by rank and fair among the callers' nodes; a request that can't
 * finish in time is refused at once. Pure: time is passed in.
 */
import { ColdMeter } from './cold-meter.js';
import { AdmissionQueue, rankOf, type AdmissionTicket } from './admission-queue.js';
import { ServiceTimes } from './service-times.js';
import { isLateRank, rankInTime } from './work-rank.js';

export type { AdmissionTicket } from './admission-queue.js';

/** Requests that may wait, as a multiple of the slots, where nothing else is said. */
export const DEFAULT_QUEUED_PER_SLOT = 2;
/** What is left of the limit after the endpoint refused. */
const REFUSAL_FACTOR = 0.9;
/** Requests by which a report may differ from the count here, since both are on the way. */
const REPORT_TOLERANCE = 1;
/** Time for which what an endpoint reported of its load counts, in milliseconds. */
const REPORT_LIFETIME_MS = 500;
/** Least time after which a refused caller is told to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;
/**
 * The same where the endpoint has no slots, so that no pace tells it, in milliseconds: as for other refusals
 * that know no time.
 */
const NO_SLOT_RETRY_AFTER_MS = 1_000;

/**
 * Work that takes less than this part of the endpoint's mean is short: it holds the others up for little, and its
 * caller may hold a slot of another endpoint meanwhile.
 */
const SHORT_WORK_PART = 0.6;
/** Late work waits for this many times the expected wait at most. */
const LATE_WAIT_FACTOR = 3;

/** Why a request is refused. Each is decided before the request is sent. */
export type RefusalReason =
  'queue-full' | 'cannot-finish-in-time' | 'deadline-passed' | ClosedReason;

/**
 * Why an endpoint takes no new work.
 *
 * - `draining`: it is about to end.
 * - `evacuated`: its zone gets none for a while.
 */
export type ClosedReason = 'draining' | 'evacuated';

/** A request that is refused, and when to come back. */
export interface Refusal {
  readonly requestId: string;
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

/** When the body of a request is expected, at the pace of the bodies before it. */
export interface BodyArrival {
  readonly beginsAtMs: number;
  readonly endsAtMs: number;
}

/** What is to be done with a request. */
export type AdmissionEffect =
  | { readonly type: 'dispatch'; readonly requestId: string }
  | ({ readonly type: 'refuse' } & Refusal);

/** The slots and the queue of one endpoint. */
export class EndpointAdmission {
  private readonly queue = new AdmissionQueue();
  /** Classes of the requests that run. */
  private readonly running = new Map<string, string | undefined>();
  /** Ranks of the requests whose bodies are on their way, and that have a place in the queue or a slot. */
  private readonly reserved = new Map<string, number>();
  private readonly serviceTimes = new ServiceTimes();
  private closedFor: ClosedReason | undefined;
  /** Requests at the endpoint that are not counted here, by its last report. */
  private hidden = 0;
  private reportedAtMs = -Infinity;

  /** Requests that may run at once: at most the slots, fewer while the endpoint refuses. */
  private limit: number;

  /** `maxWaiting` bounds the queue besides the slots, of which each counts `queuedPerSlot` times. */
  constructor(
    private slots: number,
    private readonly maxWaiting = Infinity,
    private readonly queuedPerSlot = DEFAULT_QUEUED_PER_SLOT,
    private readonly meter = new ColdMeter(-Infinity),
  ) {
    this.limit = slots;
  }

  /** Requests that run. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.queue.size;
  }

  /** Why new work is refused; undefined while it is taken. */
  get closedReason(): ClosedReason | undefined {
    return this.closedFor;
  }

  /** Mean time that the endpoint takes for a class of work; undefined before a measurement. */
  serviceMs(workClass: string): number | undefined {
    return this.serviceTimes.measuredMs(workClass);
  }

  /** Until when a request may wait for a slot. */
  latestStartAtMs(offered: AdmissionTicket, nowMs: number): number {
    const ticket = this.withLateTerms(offered, nowMs);
    const { startByMs = Infinity } = ticket;
    return Math.min(startByMs, this.lastUsefulStartMs(ticket));
  }

  /**
   * Takes a change of the endpoint's slots; running requests are left alone. Without slots, what waits
   * still runs, one at a time, and new requests are refused.
   */
  setSlots(slots: number, nowMs: number): AdmissionEffect[] {
    this.slots = slots;
    this.limit = slots;
    return this.fillSlots(nowMs);
  }

  /** Takes no new work while there is a reason; what waits has not started and is refused. */
  close(reason: ClosedReason | undefined, nowMs: number): AdmissionEffect[] {
    this.closedFor = reason;
    if (reason === undefined) {
      return [];
    }
    return this.queue.removeAll().map((ticket) => this.refuse(ticket, reason, nowMs));
  }

  /**
   * Time until something may be sent that waits for the sake of a cold endpoint, to call {@link resume}
   * then; undefined when nothing does.
   */
  resumesInMs(nowMs: number): number | undefined {
    const isHeld = this.queue.size > 0 && this.meter.roomAt(nowMs) === 0;
    return isHeld ? this.meter.untilRoomMs(nowMs) : undefined;
  }

  /** Sends what may be sent by now. */
  resume(nowMs: number): AdmissionEffect[] {
    return this.fillSlots(nowMs);
  }

  /**
   * The endpoint refused a request that it was sent: it has less room than its slots say, or others
   * use it too. The limit falls by a part, and rises again by one with each full round of answers.
   */
  endpointRefused(): void {
    this.limit = Math.max(1, this.limit * REFUSAL_FACTOR);
  }

  /**
   * The endpoint told how many requests run or wait there. What is not of this node, such as requests
   * whose connections were closed and that it goes on with, takes slots too.
   */
  endpointReported(inFlight: number, nowMs: number): void {
    this.hidden = Math.max(0, inFlight - this.running.size - REPORT_TOLERANCE);
    this.reportedAtMs = nowMs;
  }

  /**
   * A request arrives whose body is still to come. It is refused as it would be once its body is here, by
   * when that is foreseen, or gets a place that is kept until it is offered, or given up. What may not
   * wait for a slot may not wait for its body to begin either.
   */
  reserve(ticket: AdmissionTicket, arrival: BodyArrival, nowMs: number): Refusal | undefined {
    const { beginsAtMs, endsAtMs } = arrival;
    if (beginsAtMs > nowMs && beginsAtMs > (ticket.startByMs ?? Infinity)) {
      return this.refusal(ticket, 'cannot-finish-in-time', nowMs, beginsAtMs - nowMs);
    }
    const offered = this.withoutMissedTarget(this.withLateTerms(ticket, nowMs), nowMs);
    const reason = this.refusalOf(offered, endsAtMs) ?? this.lackOfRoom(offered, nowMs);
    if (reason === undefined) {
      this.reserved.set(ticket.requestId, rankOf(ticket));
      return undefined;
    }
    return this.refusal(ticket, reason, nowMs, endsAtMs - this.latestStartAtMs(offered, nowMs));
  }

  /** The place that was kept for a request is free. */
  unreserve(requestId: string): void {
    this.reserved.delete(requestId);
  }

  /** The places that are kept for bodies are kept at `next` from now on. */
  handOverPlaces(next: EndpointAdmission): void {
    this.reserved.forEach((rank, requestId) => next.reserved.set(requestId, rank));
    this.reserved.clear();
  }

  /** A request arrives. */
  offer(offered: AdmissionTicket, nowMs: number): AdmissionEffect[] {
    const hadPlace = this.reserved.delete(offered.requestId);
    const ticket = this.withoutMissedTarget(this.withLateTerms(offered, nowMs), nowMs);
    const hasPlace = hadPlace || this.hasFreeSlot(nowMs);
    const reason =
      this.refusalOf(ticket, nowMs) ?? (hasPlace ? undefined : this.lackOfRoom(ticket, nowMs));
    if (reason !== undefined) {
      return [this.refuse(ticket, reason, nowMs)];
    }
    const displaced = this.displaceFor(ticket, nowMs);
    this.queue.push(ticket);
    return [...displaced, ...this.fillSlots(nowMs)];
  }

  /**
   * A dispatched request no longer occupies the endpoint. `serviceMs` is given when it was answered,
   * as a measurement of the endpoint's pace.
   */
  release(requestId: string, nowMs: number, serviceMs?: number): AdmissionEffect[] {
    const workClass = this.running.get(requestId);
    if (!this.running.delete(requestId)) {
      return [];
    }
    if (serviceMs !== undefined) {
      this.serviceTimes.measure(workClass, serviceMs);
      this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
    }
    return this.fillSlots(nowMs);
  }

  /** A request of the class was given up, `elapsedMs` after it was sent, without an answer. */
  unfinished(workClass: string, elapsedMs: number): void {
    this.serviceTimes.measureUnfinished(workClass, elapsedMs);
  }

  /** Whether a waiting request was taken out: its caller gave up, and it will not be dispatched. */
  withdraw(requestId: string, callerNode: string): boolean {
    return this.queue.remove(requestId, callerNode);
  }

  /** At least one request may run, so that the next report comes. */
  private limitAt(nowMs: number): number {
    const isRecent = nowMs - this.reportedAtMs < REPORT_LIFETIME_MS;
    const limit = Math.max(1, Math.floor(this.limit) - (isRecent ? this.hidden : 0));
    return Math.min(limit, this.running.size + this.meter.roomAt(nowMs));
  }

  /** Whether a request could start at once, and none waits. */
  private hasFreeSlot(nowMs: number): boolean {
    return this.queue.size === 0 && this.running.size < this.limitAt(nowMs);
  }

  /**
   * A target that has passed can't be met anywhere: where a slot is free, only the deadline counts, so
   * that the request need not travel again over the link that made it late.
   */
  private withoutMissedTarget(ticket: AdmissionTicket, nowMs: number): AdmissionTicket {
    const { targetAtMs = Infinity } = ticket;
    return targetAtMs <= nowMs && this.hasFreeSlot(nowMs)
      ? { ...ticket, targetAtMs: undefined }
      : ticket;
  }

  /**
   * Short late work goes with the work in time. Late work waits for some times as long as the pace says that a
   * slot takes, or for as long as its node allows: after that, the pace is not what it was.
   */
  private withLateTerms(ticket: AdmissionTicket, nowMs: number): AdmissionTicket {
    const rank = rankOf(ticket);
    if (!isLateRank(rank)) {
      return ticket;
    }
    const { workClass, startByMs = Infinity } = ticket;
    const { overallMs } = this.serviceTimes;
    const isShort = this.serviceTimes.meanMs(workClass) < SHORT_WORK_PART * overallMs;
    const priority = isShort ? rankInTime(rank) : rank;
    const patienceMs = LATE_WAIT_FACTOR * this.expectedWaitMs(priority, nowMs);
    return { ...ticket, priority, startByMs: Math.max(startByMs, nowMs + patienceMs) };
  }

  /**
   * A full queue has no place for what goes before nothing in it, unless a slot is free. Places that are
   * kept for bodies count as those of the queue do: they keep out nothing more urgent, and take no more
   * places of others than there are.
   */
  private lackOfRoom(ticket: AdmissionTicket, nowMs: number): RefusalReason | undefined {
    const freeSlots = Math.max(0, this.limitAt(nowMs) - this.running.size);
    const rank = rankOf(ticket);
    const keptAhead = [...this.reserved.values()].filter((other) => other <= rank).length;
    const taken = this.queue.countUpTo(rank) + keptAhead;
    const hasRoom =
      taken < this.queueBound + freeSlots || this.queue.canDisplacePeerFor(ticket, keptAhead);
    return hasRoom ? undefined : 'queue-full';
  }

  private get queueBound(): number {
    return Math.min(this.maxWaiting, this.slots * this.queuedPerSlot);
  }

  /** Makes room in a full queue for a request that goes before one in it. */
  private displaceFor(ticket: AdmissionTicket, nowMs: number): AdmissionEffect[] {
    const isFull = this.queue.size >= this.queueBound;
    const displaced = isFull ? this.queue.displaceFor(ticket) : undefined;
    return displaced === undefined ? [] : [this.refuse(displaced, 'queue-full', nowMs)];
  }

  private refusalOf(ticket: AdmissionTicket, nowMs: number): RefusalReason | undefined {
    if (this.closedFor !== undefined) {
      return this.closedFor;
    }
    if (ticket.deadlineAtMs <= nowMs) {
      return 'deadline-passed';
    }
    // Callers would be told to come back after an infinite time, or after none that is a number.
    if (this.slots === 0) {
      return 'queue-full';
    }
    const waitMs = this.expectedWaitMs(rankOf(ticket), nowMs);
    const waitsTooLong = waitMs > 0 && nowMs + waitMs > (ticket.startByMs ?? Infinity);
    return waitsTooLong || this.isTooLate(ticket, nowMs + waitMs, waitMs > 0)
      ? 'cannot-finish-in-time'
      : undefined;
  }

  /** The last moment at which a request can start and still finish in time. */
  private lastUsefulStartMs(ticket: AdmissionTicket): number {
    const { deadlineAtMs, targetAtMs = Infinity, workClass } = ticket;
    return Math.min(deadlineAtMs, targetAtMs) - this.serviceTimes.meanMs(workClass);
  }

  /**
   * An idle endpoint gets the request all the same, so that its pace is measured anew. How long the
   * request may wait is no reason to leave a slot free that it can have at once.
   */
  private isTooLate(ticket: AdmissionTicket, startAtMs: number, hasToWait = false): boolean {
    const isIdle = this.running.size === 0 && !hasToWait;
    return !isIdle && startAtMs > this.lastUsefulStartMs(ticket);
  }

  /** Time until a request of the rank that arrives now gets a slot, at the measured pace. */
  private expectedWaitMs(rank: number, nowMs: number): number {
    const waiting = this.queue.countUpTo(rank);
    const ahead = this.running.size + waiting - this.limit + 1;
    const slotWaitMs = ahead <= 0 ? 0 : (ahead * this.serviceTimes.overallMs) / this.limit;
    return Math.max(slotWaitMs, this.meter.waitMs(waiting + 1, nowMs));
  }

  private refuse(ticket: AdmissionTicket, reason: RefusalReason, nowMs: number): AdmissionEffect {
    return { type: 'refuse', ...this.refusal(ticket, reason, nowMs) };
  }

  /** `bodyWaitMs` is how much sooner the body would have to arrive. */
  private refusal(
    ticket: AdmissionTicket,
    reason: RefusalReason,
    nowMs: number,
    bodyWaitMs = 0,
  ): Refusal {
    const hasSlots = this.slots > 0;
    const slotWaitMs = hasSlots
      ? this.expectedWaitMs(rankOf(ticket), nowMs)
      : NO_SLOT_RETRY_AFTER_MS;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, slotWaitMs, bodyWaitMs);
    return { requestId: ticket.requestId, reason, retryAfterMs };
  }

  private fillSlots(nowMs: number): AdmissionEffect[] {
    const effects: AdmissionEffect[] = [];
    while (this.running.size < this.limitAt(nowMs)) {
      const ticket = this.queue.takeNext();
      if (ticket === undefined) {
        break;
      }
      effects.push(this.dispatchOrRefuse(ticket, nowMs));
    }
    return effects;
  }

  /** The clock is checked again: the process may have been paused while the request waited. */
  private dispatchOrRefuse(ticket: AdmissionTicket, nowMs: number): AdmissionEffect {
    if (ticket.deadlineAtMs <= nowMs) {
      return this.refuse(ticket, 'deadline-passed', nowMs);
    }
    if (this.isTooLate(ticket, nowMs)) {
      return this.refuse(ticket, 'cannot-finish-in-time', nowMs);
    }
    this.running.set(ticket.requestId, ticket.workClass);
    this.meter.sent(nowMs);
    return { type: 'dispatch', requestId: ticket.requestId };
  }
}

/** The waiting of one request at its caller's node: when it may wait, for how long, and the slot that it is offered. */
import { lateRank, rankOfWork } from '../../admission/work-rank.js';
import { incarnationOf } from '../../model/incarnation.js';
import type { Endpoint } from '../../model/resource.js';
import type { EndpointChoice } from '../endpoint-choice.js';
import type { RequestBody } from '../request-body.js';
import type { RequestContext } from '../request-context.js';
import type { RequestFailure } from '../request-error.js';
import type { CancelTimer } from '../scheduler.js';
import type { SlotOffer, SlotWish } from './slot-offer.js';
import {
  expectedWaitMs,
  latestWaitEndMs,
  mayWait,
  remainingWaitMs,
  retryDelayMs,
  type StatedWait,
  type WaitingFacts,
} from './waiting-decision.js';
import type { WaitingRequest } from './waiting-requests.js';

/** Maximum number of times that a request waits: a slot that it is offered may be taken by work in time. */
const MAX_WAITS = 6;
/** Longest time until room that callers are told, in milliseconds. */
const MAX_ROOM_DELAY_MS = 3_000;
/** Time by which a timer may fire too early, in milliseconds. */
const TIMER_TOLERANCE_MS = 3;

/** Why a request waits no longer: a slot was offered, it is time to ask another endpoint, or time is up. */
export type WaitOutcome = 'offered' | 'retry' | 'ended';

/** A slot that was offered to the request. */
export interface UsableOffer {
  readonly endpoint: Endpoint;
  readonly offerId: number;
}

export class RequestWaiting {
  /** The least wait that owners of endpoints have stated; undefined if none has. */
  private statedWait: StatedWait | undefined;
  private waitCount = 0;
  /** When the request asks another endpoint; Infinity once it has. */
  private retryAtMs: number | undefined;
  private leave: ((endedAtMs: number) => void) | undefined;
  private cancelTimer: CancelTimer | undefined;
  private offer: UsableOffer | undefined;

  /** `onOutcome` is called when a wait ends, except by {@link stop}. */
  constructor(
    private readonly context: RequestContext,
    private readonly choice: EndpointChoice,
    private readonly startedAtMs: number,
    private readonly firstArrivedAtMs: number,
    private readonly onOutcome: (outcome: WaitOutcome) => void,
  ) {}

  /** Whether the request waits now. */
  get isWaiting(): boolean {
    return this.leave !== undefined;
  }

  /** Whether the request has waited before its current attempt. */
  get hasWaited(): boolean {
    return this.waitCount > 0;
  }

  /** Returns the slot that was offered to the request, for one attempt. */
  takeOffer(): UsableOffer | undefined {
    const { offer } = this;
    this.offer = undefined;
    return offer;
  }

  /** What an attempt tells the endpoint's node, should that have no capacity; undefined if the request may not wait. */
  wish(body: RequestBody): SlotWish | undefined {
    const untilMs = this.endMs;
    const { slotListener, scheduler } = this.context.services;
    return untilMs !== undefined && untilMs > scheduler.now() && this.mayHold(body)
      ? { listener: slotListener, untilMs }
      : undefined;
  }

  /** Records what an endpoint's node has stated with a refusal. */
  recordRefusal({ slotWaitMs }: RequestFailure): void {
    const { nowMs, statedWait } = this;
    const leftMs = statedWait === undefined ? Infinity : remainingWaitMs(statedWait, nowMs);
    if (slotWaitMs !== undefined && slotWaitMs <= leftMs) {
      this.statedWait = { statedAtMs: nowMs, waitMs: slotWaitMs };
    }
  }

  /** How long the request may wait now; undefined if it can't be served in time, or may not wait. */
  allowedWaitMs(body: RequestBody | undefined): number | undefined {
    const { nowMs } = this;
    const endMs = this.endMs;
    if (body === undefined || endMs === undefined || !this.mayHold(body)) {
      return undefined;
    }
    const facts = this.facts(endMs, nowMs);
    if (this.waitCount >= MAX_WAITS || !mayWait(facts)) {
      return undefined;
    }
    this.retryAtMs ??= nowMs + retryDelayMs(facts);
    return Math.max(0, Math.min(this.retryAtMs, endMs) - nowMs);
  }

  /** Whether an attempt that is refused could wait, by the slots that were offered for its service recently. */
  isRoomExpected(body: RequestBody | undefined): boolean {
    const { nowMs } = this;
    const endMs = this.endMs;
    if (body === undefined || endMs === undefined || !this.mayHold(body)) {
      return false;
    }
    const facts = this.facts(endMs, nowMs);
    return facts.isOffered && mayWait({ ...facts, ownersWaitMs: 0 });
  }

  /** Expected time until there is room, in milliseconds; undefined for a route without time to wait. */
  roomInMs(): number | undefined {
    const { nowMs } = this;
    const { outlook, waiting } = this.context.services;
    if (this.endMs === undefined || !waiting.isEnabled) {
      return undefined;
    }
    const { ownersWaitMs = 0, ...facts } = this.facts(nowMs, nowMs);
    const waitMs = expectedWaitMs({ ...facts, ownersWaitMs });
    const roomInMs = Math.max(waitMs, outlook.roomInMs(this.context.match.route.name, nowMs));
    return Math.min(MAX_ROOM_DELAY_MS, roomInMs);
  }

  /** Waits for a slot for up to `delayMs`. */
  begin(delayMs: number, body: RequestBody): void {
    const { services } = this.context;
    this.waitCount += 1;
    if (this.waitCount === 1) {
      services.counters.add('ferryspool_waiting_started_total');
    }
    this.leave = services.waiting.add(this.waitingRequest(body), this.nowMs);
    this.cancelTimer = services.scheduler.schedule(delayMs, () => this.handleTimeOut());
  }

  /** Ends the wait, if the request waits. */
  stop(): void {
    this.cancelTimer?.();
    const { leave } = this;
    this.leave = undefined;
    leave?.(this.nowMs);
  }

  /** Records that the request was answered or refused after it has waited. */
  recordEnd(isServed: boolean): void {
    const { outlook } = this.context.services;
    outlook.record(this.context.match.route.name, isServed, this.nowMs);
    if (this.hasWaited) {
      const outcome = isServed ? 'served' : 'refused';
      this.context.services.counters.add(`ferryspool_waiting_${outcome}_total`);
    }
  }

  private handleTimeOut(): void {
    this.stop();
    const { retryAtMs = 0 } = this;
    const isRetryDue = this.nowMs + TIMER_TOLERANCE_MS >= retryAtMs;
    if (isRetryDue) {
      this.retryAtMs = Infinity;
      this.choice.retryRefused();
    }
    this.onOutcome(isRetryDue ? 'retry' : 'ended');
  }

  /** Returns false if the endpoint of the offer is not usable for this request. */
  private resume({ service, endpoint: name, offerId }: SlotOffer): boolean {
    const { services, snapshot } = this.context;
    const endpoint = services.endpointsOf(snapshot, service).find((one) => one.name === name);
    if (endpoint === undefined || services.pathTo(endpoint) === undefined) {
      return false;
    }
    this.stop();
    this.choice.markTried(incarnationOf(endpoint));
    this.offer = { endpoint, offerId };
    this.onOutcome('offered');
    return true;
  }

  private waitingRequest(body: RequestBody): WaitingRequest {
    return {
      service: this.context.match.service,
      rank: this.rank,
      firstArrivedAtMs: this.firstArrivedAtMs,
      bodyBytes: body.length ?? 0,
      resume: (offer) => this.resume(offer),
      refuse: () => {
        this.stop();
        this.onOutcome('ended');
      },
    };
  }

  private facts(endMs: number, nowMs: number): WaitingFacts {
    const { waiting } = this.context.services;
    const { rank, firstArrivedAtMs, statedWait } = this;
    const { service } = this.context.match;
    return {
      ...waiting.waitsFor(service, { rank, firstArrivedAtMs }, nowMs),
      timeLeftMs: endMs - nowMs,
      ownersWaitMs: statedWait && remainingWaitMs(statedWait, nowMs),
    };
  }

  /** Whether the node can hold the request, and the request can be sent again. */
  private mayHold(body: RequestBody): boolean {
    const { waiting, isStopping } = this.context.services;
    return body.isBuffered && !isStopping() && waiting.hasRoomFor(body.length ?? 0);
  }

  private get endMs(): number | undefined {
    return latestWaitEndMs({
      startedAtMs: this.startedAtMs,
      deadlineAtMs: this.context.deadlineAtMs,
      targetLatencyMs: this.context.match.route.spec.targetLatencyMs,
      serviceMs: this.choice.serviceMs,
    });
  }

  private get rank(): number {
    const { priority = 0, targetLatencyMs = 0 } = this.context.match.route.spec;
    const rank = rankOfWork(priority, targetLatencyMs);
    return this.choice.isLate ? lateRank(rank) : rank;
  }

  private get nowMs(): number {
    return this.context.services.scheduler.now();
  }
}

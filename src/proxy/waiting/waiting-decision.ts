/**
 * Decides whether a request that was refused for lack of capacity waits at its caller's node. Answers bursts of some
 * seconds at about twice the capacity: what can be served before its deadline waits, everything else is refused at
 * once, as where capacity is short all day. Pure.
 */

/** Share of the time left that the expected wait may take: estimates are uncertain, and waiting in vain has a cost. */
const MAX_WAIT_SHARE = 0.7;
/** Maximum number of requests for a service that wait while this node was offered no slot lately. */
const MAX_PROBES = 1;
/** Service time that is assumed while none is known, as a share of the target latency. */
const ASSUMED_SERVICE_SHARE = 0.5;
/** Time-outs from this multiple of the target latency leave time to wait. */
const MIN_TIME_OUT_FACTOR = 2;
/**
 * When a request asks another endpoint, if no slot was offered: after a multiple of the expected wait, which has then
 * proved wrong, and within a share of the time left.
 */
const RETRY_WAIT_FACTOR = 3;
const MIN_RETRY_DELAY_MS = 150;
const MAX_RETRY_SHARE = 0.5;
/** Time before the deadline that is left for the transit of a request and its refusal, in milliseconds. */
const REFUSAL_MARGIN_MS = 120;

/** Limits of a request in time, in milliseconds. */
export interface WaitingTimes {
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** Undefined for a route without a target latency. */
  readonly targetLatencyMs: number | undefined;
  /** Expected service time; undefined if it is not known. */
  readonly serviceMs: number | undefined;
}

/** Until when a request can wait and still be served; undefined if its route leaves no time to wait. */
export function latestWaitEndMs(times: WaitingTimes): number | undefined {
  const { startedAtMs, deadlineAtMs, targetLatencyMs } = times;
  if (
    targetLatencyMs === undefined ||
    deadlineAtMs - startedAtMs < targetLatencyMs * MIN_TIME_OUT_FACTOR
  ) {
    return undefined;
  }
  const serviceMs = times.serviceMs ?? targetLatencyMs * ASSUMED_SERVICE_SHARE;
  return deadlineAtMs - serviceMs - REFUSAL_MARGIN_MS;
}

/** What a node knows when a request could begin to wait. */
export interface WaitingFacts {
  /** Time until the request has to get a slot, in milliseconds. */
  readonly timeLeftMs: number;
  /** Least wait that an owner which will offer a slot expects; undefined if none will. */
  readonly ownersWaitMs: number | undefined;
  /** Requests for the service that wait at this node. */
  readonly waitingCount: number;
  /** Expected time until this node is offered a slot for the request, by earlier offers. */
  readonly offerWaitMs: number;
  /** Whether this node was offered a slot for the service recently. */
  readonly isOffered: boolean;
}

/** Expected time until the request gets a slot, in milliseconds; Infinity if no owner will offer one. */
export function expectedWaitMs(facts: WaitingFacts): number {
  const { ownersWaitMs = Infinity, offerWaitMs } = facts;
  return Math.max(ownersWaitMs, offerWaitMs);
}

/** Whether the request is expected to get a slot in time. */
export function mayWait(facts: WaitingFacts): boolean {
  const { timeLeftMs, waitingCount, isOffered } = facts;
  if (!isOffered && waitingCount >= MAX_PROBES) {
    return false;
  }
  return expectedWaitMs(facts) < timeLeftMs * MAX_WAIT_SHARE;
}

/** Time after which a waiting request asks another endpoint once, in milliseconds. */
export function retryDelayMs(facts: WaitingFacts): number {
  const delayMs = Math.max(MIN_RETRY_DELAY_MS, expectedWaitMs(facts) * RETRY_WAIT_FACTOR);
  return Math.min(delayMs, facts.timeLeftMs * MAX_RETRY_SHARE);
}

/** A wait that the owner of an endpoint has stated. */
export interface StatedWait {
  readonly statedAtMs: number;
  readonly waitMs: number;
}

/** The rest of a stated wait; once it has proved too short, as long as it has lasted. */
export function remainingWaitMs({ statedAtMs, waitMs }: StatedWait, nowMs: number): number {
  const elapsedMs = nowMs - statedAtMs;
  return elapsedMs < waitMs ? waitMs - elapsedMs : elapsedMs;
}

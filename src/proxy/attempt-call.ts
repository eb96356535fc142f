/** Builds the call that an attempt sends to its endpoint. Pure. */
import type { Call } from './call.js';
import type { RequestBody } from './request-body.js';
import type { RequestContext } from './request-context.js';
import { offeredWork, workOf } from './request-work.js';
import type { SlotWish } from './waiting/slot-offer.js';

/** The start of one attempt. Times are on the node's clock, in milliseconds. */
export interface AttemptStart {
  /** Counts from 1. */
  readonly attempt: number;
  /** Retries that the receivers of this attempt may make in total. */
  readonly retriesLeft: number;
  /** When the caller's first known try arrived. */
  readonly firstArrivedAtMs: number;
  readonly attemptStartedAtMs: number;
  readonly isLate: boolean;
  /** Rate limit of the endpoint; undefined if this node knows none. */
  readonly knownMaxRatePerS: number | undefined;
  /** Present if the request would wait for a slot. */
  readonly slotWish: SlotWish | undefined;
  /** The offered slot that the attempt is for; undefined if there is none. */
  readonly offerId: number | undefined;
}

/** The call that is sent to the attempt's endpoint. */
export function callOf(context: RequestContext, body: RequestBody, start: AttemptStart): Call {
  const { method, target, headers, attemptPrefix, deadlineAtMs, services, match } = context;
  const { attempt, retriesLeft, firstArrivedAtMs, attemptStartedAtMs } = start;
  const { isLate, knownMaxRatePerS, slotWish, offerId } = start;
  const work = workOf(match.route, firstArrivedAtMs, attemptStartedAtMs, isLate);
  return {
    ...(offerId === undefined ? work : offeredWork(work, match.route, attemptStartedAtMs)),
    requestId: `${attemptPrefix}.${attempt}`,
    method,
    target,
    headers,
    body,
    deadlineAtMs,
    callerNode: services.machineId,
    isRepeatable: match.repeatable,
    retriesLeft,
    ...(knownMaxRatePerS !== undefined && { knownMaxRatePerS }),
    ...(slotWish !== undefined && { slotWish }),
    ...(offerId !== undefined && { offerId }),
  };
}

/** What an attempt sends on. Pure. */
import type { Call } from './call.js';
import type { RequestBody } from './request-body.js';
import type { RequestContext } from './request-context.js';
import { workOf } from './request-work.js';

/** One attempt that begins. Moments are on the node's clock, in milliseconds. */
export interface AttemptStart {
  /** Counts from 1. */
  readonly attempt: number;
  /** Attempts after the first that the receivers of this attempt may make among them. */
  readonly retriesLeft: number;
  /** When the request began. */
  readonly startedAtMs: number;
  readonly attemptStartedAtMs: number;
  readonly isLate: boolean;
}

/** The call that takes the attempt to its endpoint. */
export function callOf(context: RequestContext, body: RequestBody, start: AttemptStart): Call {
  const { method, target, headers, attemptPrefix, deadlineAtMs, services, match } = context;
  const { attempt, retriesLeft, startedAtMs, attemptStartedAtMs, isLate } = start;
  return {
    ...workOf(match.route, startedAtMs, attemptStartedAtMs, isLate),
    requestId: `${attemptPrefix}.${attempt}`,
    method,
    target,
    headers,
    body,
    deadlineAtMs,
    callerNode: services.machineId,
    isRepeatable: match.repeatable,
    retriesLeft,
  };
}

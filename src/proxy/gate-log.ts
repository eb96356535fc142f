/** Log entries for requests that an endpoint's gate refused or that failed at the endpoint. Pure. */
import type { Refusal } from '../admission/admission-effect.js';
import type { EndpointStatement } from '../routing/endpoint-statement.js';
import type { Call } from './call.js';
import { fingerprintField, type RequestDecision } from './request-log.js';

/** A refusal as written to the log. */
export type RecordedRefusal = Omit<Refusal, 'reason'> & {
  readonly reason: Refusal['reason'] | 'contained';
};

/** State of the gate when the entry is written. */
export interface GateLogState {
  readonly endpoint: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** A refused request, with the time until its latest start; absent if the gate no longer has the request. */
export interface RefusedCall {
  readonly call: Call;
  readonly latestStartAtMs: number;
  readonly fingerprintOf: () => string;
}

export function refusalEntry(
  { requestId, reason, retryAfterMs }: RecordedRefusal,
  refused: RefusedCall | undefined,
  { isLimited, maxRatePerS }: EndpointStatement,
  { endpoint, ...load }: GateLogState,
  nowMs: number,
): RequestDecision {
  return {
    event: 'attempt-refused',
    request: requestId,
    endpoint,
    code: reason,
    retryAfterMs: Math.round(retryAfterMs),
    ...(refused && {
      deadlineLeftMs: Math.round(refused.call.deadlineAtMs - nowMs),
      startLeftMs: Math.round(refused.latestStartAtMs - nowMs),
      travelLostMs: Math.round(refused.call.travelLostMs ?? 0),
      ...fingerprintField(reason, refused.fingerprintOf),
    }),
    ...(isLimited && { maxRatePerS }),
    ...load,
  };
}

/** A request that failed at the endpoint `elapsedMs` after it was sent. */
export interface FailedCall {
  readonly requestId: string;
  readonly code: string;
  readonly elapsedMs: number;
  readonly detail: string;
  readonly fingerprintOf: () => string;
}

export function failureEntry(
  { requestId, code, elapsedMs, detail, fingerprintOf }: FailedCall,
  { endpoint, ...load }: GateLogState,
): RequestDecision {
  return {
    event: 'endpoint-failed',
    request: requestId,
    endpoint,
    code,
    ...fingerprintField(code, fingerprintOf),
    elapsedMs: Math.round(elapsedMs),
    detail,
    ...load,
  };
}

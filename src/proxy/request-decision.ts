/** The line of the log for a decision on a request at its caller's node. Pure. */
import type { Verdict } from '../model/verdict.js';
import type { LoadReport } from './call.js';
import type { RequestContext } from './request-context.js';
import type { RequestFailure } from './request-error.js';
import type { AwaitedThing, RequestDecision, RequestDecisionName } from './request-log.js';

/** How far a request has come. Moments are on the node's clock, in milliseconds. */
export interface RequestProgress {
  readonly attempt: number;
  readonly endpoint: string | undefined;
  readonly startedAtMs: number;
  readonly attemptStartedAtMs: number;
  readonly isLate: boolean;
  readonly nowMs: number;
}

/** What some decisions tell besides. */
export interface DecisionDetails {
  readonly load?: LoadReport | undefined;
  readonly waitedFor?: AwaitedThing;
  /** What the request is known by at all machines. */
  readonly fingerprint?: string | undefined;
}

/** What was decided, and why. */
export interface DecidedOutcome extends DecisionDetails {
  readonly event: RequestDecisionName;
  readonly failure: RequestFailure;
  readonly verdict: Verdict;
}

export function requestDecision(
  { requestId, match, snapshot, deadlineAtMs }: RequestContext,
  progress: RequestProgress,
  { event, failure, verdict, load, waitedFor, fingerprint }: DecidedOutcome,
): RequestDecision {
  const { attempt, endpoint, startedAtMs, attemptStartedAtMs, isLate, nowMs } = progress;
  const { code, retryAfterMs } = failure;
  return {
    event,
    request: requestId,
    service: match.service,
    attempt,
    ...(endpoint !== undefined && { endpoint }),
    code,
    verdict,
    elapsedMs: Math.round(nowMs - startedAtMs),
    ...(event === 'attempt-failed' && { attemptMs: Math.round(nowMs - attemptStartedAtMs) }),
    ...(isLate && { isLate }),
    deadlineLeftMs: Math.round(deadlineAtMs - nowMs),
    configuration: snapshot.version.source.number,
    ...(retryAfterMs !== undefined && { retryAfterMs: Math.round(retryAfterMs) }),
    ...(waitedFor && { waitedFor }),
    ...(fingerprint !== undefined && { fingerprint }),
    ...(load && { running: load.inFlight, slots: load.slots }),
  };
}

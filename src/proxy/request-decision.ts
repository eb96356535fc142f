/** The line of the log for a decision on a request at its caller's node. Pure. */
import type { Verdict } from '../model/verdict.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { LoadReport, AttemptSuspicion } from './call.js';
import type { RequestContext } from './request-context.js';
import type { RequestFailure } from './request-error.js';
import type {
  AwaitedThing,
  RequestDecision,
  RequestDecisionName,
  SuspicionOutcome,
} from './request-log.js';

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
  /** Why the attempt's answer was in doubt. */
  readonly sign?: AttemptSuspicion | undefined;
  readonly next?: SuspicionOutcome;
  /** Why the connection of its caller ended. */
  readonly endedBy?: ConnectionEndReason | undefined;
}

/** What was decided, and why. */
export interface DecidedOutcome extends DecisionDetails {
  readonly event: RequestDecisionName;
  readonly failure: RequestFailure;
  readonly verdict: Verdict;
}

/** Decisions on one attempt, which tell the time that it took. */
const ATTEMPT_EVENTS: ReadonlySet<RequestDecisionName> = new Set([
  'attempt-failed',
  'attempt-suspected',
  'attempt-cancelled',
]);

export function requestDecision(
  { requestId, match, snapshot, deadlineAtMs }: RequestContext,
  progress: RequestProgress,
  { event, failure, verdict, load, waitedFor, fingerprint, sign, next, endedBy }: DecidedOutcome,
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
    ...(ATTEMPT_EVENTS.has(event) && { attemptMs: Math.round(nowMs - attemptStartedAtMs) }),
    ...(isLate && { isLate }),
    deadlineLeftMs: Math.round(deadlineAtMs - nowMs),
    configuration: snapshot.version.source.number,
    ...(retryAfterMs !== undefined && { retryAfterMs: Math.round(retryAfterMs) }),
    ...(sign && { silent: sign.silent }),
    ...(sign?.quietMs !== undefined && { quietMs: Math.round(sign.quietMs) }),
    ...(next && { next }),
    ...(endedBy && { endedBy }),
    ...(waitedFor && { waitedFor }),
    ...(fingerprint !== undefined && { fingerprint }),
    ...(load && { running: load.inFlight, slots: load.slots }),
  };
}

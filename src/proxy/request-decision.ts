/** Builds the log entry for a decision on a request at its caller's node. Pure. */
import type { Verdict } from '../model/verdict.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { LoadReport, AttemptSuspicion } from './call.js';
import type { RequestContext } from './request-context.js';
import type { RequestFailure } from './request-error.js';
import type {
  AnswerState,
  AwaitedResource,
  RequestDecision,
  RequestDecisionName,
  SuspicionOutcome,
} from './request-log.js';

/** State of a request at the time of a decision. Times are on the node's clock, in milliseconds. */
export interface RequestProgress {
  readonly attempt: number;
  readonly endpoint: string | undefined;
  readonly startedAtMs: number;
  readonly attemptStartedAtMs: number;
  readonly isLate: boolean;
  readonly nowMs: number;
}

/** Details that only some decisions have. */
export interface DecisionDetails {
  readonly load?: LoadReport | undefined;
  readonly waitedFor?: AwaitedResource;
  /** How far the answer was. */
  readonly answer?: AnswerState;
  /** Time since bytes of the answer last arrived, in milliseconds. */
  readonly answerQuietMs?: number;
  /** Identifies the request on all machines. */
  readonly fingerprint?: string | undefined;
  /** Why the attempt was suspected. */
  readonly suspicion?: AttemptSuspicion | undefined;
  readonly next?: SuspicionOutcome;
  /** Why the caller's connection ended. */
  readonly endedBy?: ConnectionEndReason | undefined;
  /** Longest time for which the event may have been unread, in milliseconds. */
  readonly unreadMs?: number;
}

/** A decision and its cause. */
export interface DecidedOutcome extends DecisionDetails {
  readonly event: RequestDecisionName;
  readonly failure: RequestFailure;
  readonly verdict: Verdict;
}

/** The fields that tell how far the answer was. */
function answerFields(
  answer: AnswerState | undefined,
  answerQuietMs: number | undefined,
): Pick<RequestDecision, 'answer' | 'quietMs'> {
  return {
    ...(answer && { answer }),
    ...(answerQuietMs !== undefined && { quietMs: Math.round(answerQuietMs) }),
  };
}

/** Decisions on a single attempt; their log entries contain its duration. */
const ATTEMPT_EVENTS: ReadonlySet<RequestDecisionName> = new Set([
  'attempt-failed',
  'attempt-suspected',
  'attempt-cancelled',
]);

export function requestDecision(
  { requestId, match, snapshot, deadlineAtMs }: RequestContext,
  progress: RequestProgress,
  {
    event,
    failure,
    verdict,
    load,
    waitedFor,
    fingerprint,
    suspicion,
    next,
    endedBy,
    unreadMs,
    answer,
    answerQuietMs,
  }: DecidedOutcome,
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
    ...(suspicion && { silent: suspicion.silent }),
    ...(suspicion?.quietMs !== undefined && { quietMs: Math.round(suspicion.quietMs) }),
    ...(next && { next }),
    ...(endedBy && { endedBy }),
    ...(unreadMs !== undefined && { unreadMs: Math.round(unreadMs) }),
    ...(waitedFor && { waitedFor }),
    ...answerFields(answer, answerQuietMs),
    ...(fingerprint !== undefined && { fingerprint }),
    ...(load && { running: load.inFlight, slots: load.slots }),
  };
}

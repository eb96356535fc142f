/**
 * Log entries for decisions on requests: the decision, its inputs and its outcome. Both nodes on a request's path
 * log it under the same id, so that one search finds the complete path.
 */
import type { UnresponsiveTarget } from './call.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { RequestTimes } from './request-times.js';

export type RequestDecisionName =
  /** An attempt ended without an answer. */
  | 'attempt-failed'
  /** An attempt may not be answered; `silent` and `quietMs` give the cause, `next` the reaction. */
  | 'attempt-suspected'
  /** A suspected attempt was cancelled: another one was answered, or the answer is no longer needed. */
  | 'attempt-cancelled'
  /** An answer missed the target latency of its route; the entry has the request's time in each place. */
  | 'answer-late'
  /** The request waits for a slot after refusals for lack of capacity; `code` is that of the latest one. */
  | 'request-waiting'
  /** An error was reported to the caller. */
  | 'request-failed'
  /** The request was given up during the node's planned stop. */
  | 'request-given-up'
  /**
   * The caller's connection ended before the answer arrived; `endedBy` gives the reason, `waitedFor` how far the request
   * was, and `unreadMs` for how long the end may have been unread.
   */
  | 'request-abandoned'
  /** The caller's connection ended before an available answer was sent in full; `endedBy` gives the reason. */
  | 'answer-cut'
  /**
   * The answer had begun, but was not complete soon after the deadline, so that the request ended; `quietMs` tells for how
   * long nothing of it had arrived.
   */
  | 'answer-overdue'
  /** The endpoint's node did not forward the attempt to the endpoint. */
  | 'attempt-refused'
  /** The endpoint received the attempt but did not answer it. */
  | 'endpoint-failed'
  /**
   * The endpoint's node cancelled the attempt because its answer is no longer awaited; `waitedFor` tells whether it was
   * already running.
   */
  | 'attempt-abandoned';

/** Why an answer is no longer awaited: the caller's node cancelled the attempt, or its connection was closed. */
export type AbandonCause = 'cancelled' | 'connection-closed';

/**
 * What a request is waiting for: the `claim` on its idempotency key, the remainder of its `body`, a `slot` of an
 * endpoint or a connection, an answer from the `peer` that owns the endpoint or from the `endpoint`, or the delay
 * before the next attempt (`back-off`).
 */
export type AwaitedResource = 'claim' | 'body' | 'slot' | 'peer' | 'endpoint' | 'back-off';

/**
 * Reaction to the suspicion of an attempt: only that attempt is awaited (`wait`), another one begins in parallel
 * (`hedge`), or another one begins instead because it has provably not reached its endpoint (`replace`).
 */
export type SuspicionOutcome = 'wait' | 'hedge' | 'replace';

/**
 * How far the answer to a request is: nothing of it has arrived (`none`), its head has arrived but nothing was forwarded
 * (`begun`), or a part of it was forwarded (`forwarded`).
 */
export type AnswerState = 'none' | 'begun' | 'forwarded';

/** One decision. Times are in milliseconds. */
export interface RequestDecision {
  readonly event: RequestDecisionName;
  /** Id of the request, or of the attempt, which begins with that of its request. */
  readonly request: string;
  readonly service?: string;
  readonly endpoint?: string;
  readonly attempt?: number;
  readonly code?: string;
  readonly verdict?: string;
  /** What was unresponsive when the attempt was suspected. */
  readonly silent?: UnresponsiveTarget;
  /** Time since anything was last received: of the overdue answer, or from the unresponsive peer or connection. */
  readonly quietMs?: number;
  readonly next?: SuspicionOutcome;
  readonly cause?: AbandonCause;
  /** Why the caller's connection ended. */
  readonly endedBy?: ConnectionEndReason;
  readonly deadlineLeftMs?: number;
  readonly elapsedMs?: number;
  readonly retryAfterMs?: number;
  /** Number of the configuration under which the request was routed. */
  readonly configuration?: number;
  /** Numbers of requests running and waiting at the endpoint, and of its slots. */
  readonly running?: number;
  readonly waiting?: number;
  readonly slots?: number;
  /** Rate limit that the endpoint names, in requests per second. */
  readonly maxRatePerS?: number | undefined;
  /** Whether the request is late: no endpoint had capacity to answer it within its target latency. */
  readonly isLate?: boolean;
  /** Duration of this attempt. */
  readonly attemptMs?: number;
  /** Time left until the latest possible start of the request; negative if that had passed. */
  readonly startLeftMs?: number;
  /** Longest time for which the handled event may have been unread in its socket. */
  readonly unreadMs?: number;
  /** By how much the transit time of the request between the nodes exceeded the usual one. */
  readonly travelLostMs?: number;
  readonly waitedFor?: AwaitedResource;
  /** How far the answer was. */
  readonly answer?: AnswerState;
  /** Number of the caller's tries for the request that this node has received, including this one. */
  readonly tries?: number;
  /** Time that the request spent in each place; see {@link RequestPlace}. */
  readonly times?: RequestTimes;
  /** Identifies the request on all machines, if endpoint processes ended while running it. */
  readonly fingerprint?: string;
  readonly detail?: string;
}

/** Codes of failures for which the request's fingerprint is logged, since copies of the request have other ids. */
const FINGERPRINTED_CODES: ReadonlySet<string> = new Set([
  'ENDPOINT_ENDED',
  'CONTAINED',
  'contained',
]);

/** The fingerprint field of a log entry; empty if the failure is unrelated to the fingerprint. */
export function fingerprintField(
  code: string,
  fingerprintOf: () => string,
): Pick<RequestDecision, 'fingerprint'> {
  return FINGERPRINTED_CODES.has(code) ? { fingerprint: fingerprintOf() } : {};
}

/** Receives decisions; `record` must not block. */
export interface RequestLog {
  record(decision: RequestDecision): void;
}

/** Discards all decisions. */
export const NO_REQUEST_LOG: RequestLog = { record: () => undefined };

/** Separates the caller's request id from the node's own id in the prefix of attempt ids. */
export const ATTEMPT_SEPARATOR = '/';

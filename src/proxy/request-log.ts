/**
 * Decisions that touch a request, for the log: what was decided, the inputs that decided it, and the
 * outcome. Both nodes of a request's path name it alike, so that one search gives its whole path.
 */
import type { UnresponsiveTarget } from './call.js';
import type { ConnectionEndReason } from './connection-end.js';

/** What was decided. */
export type RequestDecisionName =
  /** An attempt did not bring an answer. */
  | 'attempt-failed'
  /** The answer of an attempt is in doubt; `silent` and `quietMs` say why, `next` what follows. */
  | 'attempt-suspected'
  /** An attempt that was in doubt was given up: another one was answered, or nobody waits any more. */
  | 'attempt-cancelled'
  /** The caller was told an error. */
  | 'request-failed'
  /** The planned stop of the node gave the request up. */
  | 'request-given-up'
  /** The connection of the caller ended before its answer; `endedBy` says why. */
  | 'request-abandoned'
  /** The connection of the caller ended before an answer that was there had gone out; `endedBy` says why. */
  | 'answer-cut'
  /** The node beside the endpoint did not send the attempt on. */
  | 'attempt-refused'
  /** The endpoint got the attempt and did not answer it. */
  | 'endpoint-failed'
  /** The node beside the endpoint ended the attempt at work there, since nobody waits for it. */
  | 'attempt-abandoned';

/** Why nobody waits: the caller's node said so, or its connection is over. */
export type AbandonCause = 'cancelled' | 'connection-closed';

/**
 * What a request waits for: the `claim` on its key, the rest of its `body`, a `slot` of an endpoint or a
 * connection, the `peer` beside the endpoint, the `endpoint`, or a pause before the next attempt
 * (`back-off`).
 */
export type AwaitedThing = 'claim' | 'body' | 'slot' | 'peer' | 'endpoint' | 'back-off';

/**
 * What follows on the suspicion of an attempt: it is waited for alone (`wait`), another one begins beside
 * it (`hedge`), or in its place since it has provably not reached its endpoint (`replace`).
 */
export type SuspicionOutcome = 'wait' | 'hedge' | 'replace';

/** One decision. Times are in milliseconds. */
export interface RequestDecision {
  readonly event: RequestDecisionName;
  /** The request, or the attempt, whose name begins with that of its request. */
  readonly request: string;
  readonly service?: string;
  readonly endpoint?: string;
  readonly attempt?: number;
  readonly code?: string;
  readonly verdict?: string;
  /** What was silent, where the attempt's answer was in doubt. */
  readonly silent?: UnresponsiveTarget;
  /** Time since anything was heard of it. */
  readonly quietMs?: number;
  readonly next?: SuspicionOutcome;
  readonly cause?: AbandonCause;
  /** Why the connection of its caller ended. */
  readonly endedBy?: ConnectionEndReason;
  readonly deadlineLeftMs?: number;
  readonly elapsedMs?: number;
  readonly retryAfterMs?: number;
  /** Number of the configuration that the request was routed under. */
  readonly configuration?: number;
  /** Requests that ran and waited at the endpoint, and its slots. */
  readonly running?: number;
  readonly waiting?: number;
  readonly slots?: number;
  /** Whether the request is late: it has failed to find room within its target latency. */
  readonly isLate?: boolean;
  /** Time that this attempt took. */
  readonly attemptMs?: number;
  /** Left until the request would have had to start; negative when that had passed. */
  readonly startLeftMs?: number;
  /** How much longer than usual the request was on its way between the nodes. */
  readonly travelLostMs?: number;
  /** What the request waited for. */
  readonly waitedFor?: AwaitedThing;
  /** What the request is known by at all machines, where endpoints ended under it. */
  readonly fingerprint?: string;
  readonly detail?: string;
}

/** Codes of failures for which the log names the request's fingerprint: its copies have other ids. */
const FINGERPRINTED_CODES: ReadonlySet<string> = new Set([
  'ENDPOINT_ENDED',
  'CONTAINED',
  'contained',
]);

/** The fingerprint for a line of the log; nothing where the failure has nothing to do with it. */
export function namedFingerprint(
  code: string,
  fingerprintOf: () => string,
): Pick<RequestDecision, 'fingerprint'> {
  return FINGERPRINTED_CODES.has(code) ? { fingerprint: fingerprintOf() } : {};
}

/** Takes decisions; must not block. */
export interface RequestLog {
  record(decision: RequestDecision): void;
}

/** Keeps nothing. */
export const NO_REQUEST_LOG: RequestLog = { record: () => undefined };

/** Separates the caller's name for a request from the node's name for an attempt at it. */
export const ATTEMPT_SEPARATOR = '/';

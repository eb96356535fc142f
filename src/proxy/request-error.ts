/**
 * Errors of the request path: one class per failure. Each carries the verdict that may be told to
 * the caller, and whether another attempt may help.
 */
import type { Verdict } from '../model/verdict.js';

/** What the decision logic needs to know of a failure. */
export interface RequestFailure {
  /** Stable, upper-case identifier of the failure. */
  readonly code: string;
  readonly verdict: Verdict;
  /** Whether another endpoint, or the same one a little later, may succeed. */
  readonly retryable: boolean;
  /** When the caller should come back, in milliseconds; absent where coming back does not help. */
  readonly retryAfterMs?: number;
}

/** Base of every error of the request path. */
export abstract class RequestError extends Error implements RequestFailure {
  abstract readonly code: string;
  abstract readonly verdict: Verdict;
  /** HTTP status of the answer that reports it. */
  abstract readonly status: number;
  readonly retryable: boolean = false;
  readonly retryAfterMs?: number;

  constructor(message: string, retryAfterMs?: number) {
    super(message);
    this.name = new.target.name;
    if (retryAfterMs !== undefined) {
      this.retryAfterMs = retryAfterMs;
    }
  }
}

/** Base of errors after which the request has provably not run. */
abstract class NotRunError extends RequestError {
  override readonly verdict = 'not-run';
}

/** Base of errors after which the request may have run. */
abstract class MayHaveRunError extends RequestError {
  override readonly verdict = 'may-have-run';
}

/** The caller's request can't be understood or is not supported. */
export class BadRequestError extends NotRunError {
  override readonly code = 'BAD_REQUEST';

  constructor(
    message: string,
    override readonly status: number = 400,
  ) {
    super(message);
  }
}

/** The request body is larger than the node takes. */
export class BodyTooLargeError extends NotRunError {
  override readonly code = 'BODY_TOO_LARGE';
  override readonly status = 413;
}

/** The request body did not arrive before the deadline; nothing was sent on. */
export class BodyTooSlowError extends NotRunError {
  override readonly code = 'BODY_TOO_SLOW';
  override readonly status = 408;
}

/** No route matches the request. */
export class RouteNotFoundError extends NotRunError {
  override readonly code = 'ROUTE_NOT_FOUND';
  override readonly status = 404;
}

/** The node holds no configuration yet. */
export class NotConfiguredError extends NotRunError {
  override readonly code = 'NOT_CONFIGURED';
  override readonly status = 503;
}

/** The caller's deadline had passed before the request was sent on. */
export class DeadlinePassedError extends NotRunError {
  override readonly code = 'DEADLINE_PASSED';
  override readonly status = 504;
}

/** The node is about to stop and takes no new work. */
export class NodeStoppingError extends NotRunError {
  override readonly code = 'NODE_STOPPING';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The service has no endpoint that takes new work. */
export class NoEndpointError extends NotRunError {
  override readonly code = 'NO_ENDPOINT';
  override readonly status = 503;
}

/** Nobody could tell whether the idempotency key has been used: nothing was sent on. */
export class ClaimUnavailableError extends NotRunError {
  override readonly code = 'CLAIM_UNAVAILABLE';
  override readonly status = 503;
}

/** Another request with the same idempotency key came first. */
export class DuplicateRequestError extends RequestError {
  override readonly code = 'DUPLICATE_REQUEST';
  override readonly status = 409;

  /** `verdict` is that of the request that came first. */
  constructor(
    message: string,
    override readonly verdict: 'ran' | 'may-have-run',
  ) {
    super(message);
  }
}

/** Endpoints ended while they ran the same request: it is not sent on for a while. */
export class ContainedError extends NotRunError {
  override readonly code = 'CONTAINED';
  override readonly status = 503;
}

/** The endpoint's node does not know the endpoint, or does not own it. */
export class UnknownEndpointError extends NotRunError {
  override readonly code = 'UNKNOWN_ENDPOINT';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The endpoint's queue is full. */
export class OverloadedError extends NotRunError {
  override readonly code = 'OVERLOADED';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The request can't finish before its deadline at the endpoint's measured pace. */
export class CannotFinishInTimeError extends NotRunError {
  override readonly code = 'CANNOT_FINISH_IN_TIME';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The endpoint takes no new work. */
export class EndpointDrainingError extends NotRunError {
  override readonly code = 'ENDPOINT_DRAINING';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The endpoint's zone is evacuated: it gets no new work until that ends. */
export class EndpointEvacuatedError extends NotRunError {
  override readonly code = 'ENDPOINT_EVACUATED';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The endpoint refused the request before it started. */
export class EndpointRefusedError extends NotRunError {
  override readonly code = 'ENDPOINT_REFUSED';
  override readonly status = 503;
  override readonly retryable = true;
}

/** Another process answers at the endpoint's address. */
export class EndpointGoneError extends NotRunError {
  override readonly code = 'ENDPOINT_GONE';
  override readonly status = 503;
  override readonly retryable = true;
}

/** No connection could be opened, so nothing was sent. */
export class UnreachableError extends NotRunError {
  override readonly code = 'UNREACHABLE';
  override readonly status = 502;
  override readonly retryable = true;
}

/** A peer refused the relayed request as not coming from a member of the fleet. */
export class RelayForbiddenError extends NotRunError {
  override readonly code = 'RELAY_FORBIDDEN';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The endpoint confirmed that the request was cancelled before it had any effect. */
export class CancelledError extends NotRunError {
  override readonly code = 'CANCELLED';
  override readonly status = 504;
}

/** The connection died, and the endpoint then confirmed that the request has not run and never will. */
export class LostBeforeStartError extends NotRunError {
  override readonly code = 'LOST_BEFORE_START';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The deadline passed after the request was sent on. */
export class TimedOutError extends MayHaveRunError {
  override readonly code = 'TIMED_OUT';
  override readonly status = 504;
}

/** The connection died after the request, or a part of it, was sent. */
export class ConnectionLostError extends MayHaveRunError {
  override readonly code = 'CONNECTION_LOST';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The endpoint's process ended while the request was at work there. */
export class EndpointEndedError extends MayHaveRunError {
  override readonly code = 'ENDPOINT_ENDED';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The node had to stop before the answer to a request that it had sent on. */
export class StoppedBeforeAnswerError extends MayHaveRunError {
  override readonly code = 'STOPPED_BEFORE_ANSWER';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The answer is not valid HTTP, or its end can't be checked. */
export class MalformedAnswerError extends MayHaveRunError {
  override readonly code = 'MALFORMED_ANSWER';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The answer ended before it was whole, before any of it was passed on. */
export class TruncatedAnswerError extends MayHaveRunError {
  override readonly code = 'TRUNCATED_ANSWER';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The endpoint answered, and its answer reports a fault of its own. */
export class EndpointFaultError extends MayHaveRunError {
  override readonly code = 'ENDPOINT_FAULT';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The caller went away before the answer. */
export class CallerGoneError extends MayHaveRunError {
  override readonly code = 'CALLER_GONE';
  override readonly status = 499;
}

/** A fault of the node itself; where it struck is not known. */
export class InternalError extends MayHaveRunError {
  override readonly code = 'INTERNAL';
  override readonly status = 500;
}

/** A failure that the endpoint's own node reported. */
export class RelayedError extends RequestError {
  override readonly code: string;
  override readonly verdict: Verdict;
  override readonly retryable: boolean;

  constructor(
    failure: RequestFailure,
    override readonly status: number,
    message: string,
  ) {
    super(message, failure.retryAfterMs);
    this.code = failure.code;
    this.verdict = failure.verdict;
    this.retryable = failure.retryable;
  }
}

/** Codes of failures after which nothing has run although the endpoint itself got the request. */
const REFUSED_BY_ENDPOINT: ReadonlySet<string> = new Set([
  'ENDPOINT_REFUSED',
  'ENDPOINT_GONE',
  'CANCELLED',
  'LOST_BEFORE_START',
]);

/**
 * Codes of failures at endpoints that are not there, whose node is about to stop or whose zone is evacuated,
 * before anything arrived at one: an arrival that is refused counts among a service's retries, like one that runs.
 */
const ABSENT_ENDPOINT: ReadonlySet<string> = new Set([
  'UNREACHABLE',
  'UNKNOWN_ENDPOINT',
  'NODE_STOPPING',
  'ENDPOINT_EVACUATED',
]);

/** Whether the endpoint is absent, which says nothing of the load of others. */
export function isEndpointAbsent({ verdict, code }: RequestFailure): boolean {
  return verdict === 'not-run' && ABSENT_ENDPOINT.has(code);
}

/** Whether the endpoint itself may have got the request, so that another attempt adds to its load. */
export function reachedEndpoint({ verdict, code }: RequestFailure): boolean {
  return verdict !== 'not-run' || REFUSED_BY_ENDPOINT.has(code);
}

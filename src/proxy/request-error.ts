/**
 * Errors of the request path: one class per failure. Each carries the verdict to report to the caller,
 * and whether another attempt may succeed.
 */
import type { Verdict } from '../model/verdict.js';

/** Properties of a failure that retry decisions depend on. */
export interface RequestFailure {
  /** Stable, upper-case identifier of the failure. */
  readonly code: string;
  readonly verdict: Verdict;
  /** Whether another endpoint, or the same one a little later, may succeed. */
  readonly retryable: boolean;
  /** Delay after which the caller should retry, in milliseconds; absent if a retry does not help. */
  readonly retryAfterMs?: number;
  /** For endpoint errors: their share of the recent answers of the request's class, from 0 to 1. */
  readonly faultShare?: number;
  /** Expected time until the endpoint's node offers a slot, in milliseconds; absent if it will not. */
  readonly slotWaitMs?: number;
}

/** Base of every error of the request path. */
export abstract class RequestError extends Error implements RequestFailure {
  abstract readonly code: string;
  abstract readonly verdict: Verdict;
  /** HTTP status of the answer that reports the error. */
  abstract readonly status: number;
  readonly retryable: boolean = false;
  readonly retryAfterMs?: number;
  readonly slotWaitMs?: number;

  constructor(message: string, retryAfterMs?: number, slotWaitMs?: number) {
    super(message);
    this.name = new.target.name;
    if (retryAfterMs !== undefined) {
      this.retryAfterMs = retryAfterMs;
    }
    if (slotWaitMs !== undefined) {
      this.slotWaitMs = slotWaitMs;
    }
  }
}

/** Base of errors that prove that the request has not run. */
abstract class NotRunError extends RequestError {
  override readonly verdict = 'not-run';
}

/** Base of errors after which the request may have run. */
abstract class MayHaveRunError extends RequestError {
  override readonly verdict = 'may-have-run';
}

/** The caller's request is malformed or not supported. */
export class BadRequestError extends NotRunError {
  override readonly code = 'BAD_REQUEST';

  constructor(
    message: string,
    override readonly status: number = 400,
  ) {
    super(message);
  }
}

/** The request body exceeds the node's size limit. */
export class BodyTooLargeError extends NotRunError {
  override readonly code = 'BODY_TOO_LARGE';
  override readonly status = 413;
}

/** The request body did not arrive before the deadline; nothing was forwarded. */
export class BodyTooSlowError extends NotRunError {
  override readonly code = 'BODY_TOO_SLOW';
  override readonly status = 408;
}

/** No route matches the request. */
export class RouteNotFoundError extends NotRunError {
  override readonly code = 'ROUTE_NOT_FOUND';
  override readonly status = 404;
}

/** The node has not received a configuration yet. */
export class NotConfiguredError extends NotRunError {
  override readonly code = 'NOT_CONFIGURED';
  override readonly status = 503;
}

/** The caller's deadline passed before the request was forwarded. */
export class DeadlinePassedError extends NotRunError {
  override readonly code = 'DEADLINE_PASSED';
  override readonly status = 504;
}

/** The node is about to stop and accepts no new requests. */
export class NodeStoppingError extends NotRunError {
  override readonly code = 'NODE_STOPPING';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The service has no endpoint that accepts new requests. */
export class NoEndpointError extends NotRunError {
  override readonly code = 'NO_ENDPOINT';
  override readonly status = 503;
}

/** Endpoints have refused most of the recent work of this class, so that none was asked. */
export class ThrottledError extends NotRunError {
  override readonly code = 'THROTTLED';
  override readonly status = 503;
}

/** It could not be determined whether the idempotency key was used before; nothing was forwarded. */
export class ClaimUnavailableError extends NotRunError {
  override readonly code = 'CLAIM_UNAVAILABLE';
  override readonly status = 503;
}

/** Another request with the same idempotency key was received earlier. */
export class DuplicateRequestError extends RequestError {
  override readonly code = 'DUPLICATE_REQUEST';
  override readonly status = 409;

  /** `verdict` is that of the earlier request. */
  constructor(
    message: string,
    override readonly verdict: 'ran' | 'may-have-run',
  ) {
    super(message);
  }
}

/** Endpoint processes ended while running the same request, which is therefore not forwarded for some time. */
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

/** The endpoint's own rate limit allows the request only too late. */
export class RateLimitedError extends NotRunError {
  override readonly code = 'RATE_LIMITED';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The request can't finish before its deadline, given the endpoint's measured service times. */
export class CannotFinishInTimeError extends NotRunError {
  override readonly code = 'CANNOT_FINISH_IN_TIME';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The endpoint is draining and accepts no new requests. */
export class EndpointDrainingError extends NotRunError {
  override readonly code = 'ENDPOINT_DRAINING';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The endpoint's zone is evacuated; the endpoint gets no new requests until the evacuation ends. */
export class EndpointEvacuatedError extends NotRunError {
  override readonly code = 'ENDPOINT_EVACUATED';
  override readonly status = 503;
  override readonly retryable = true;
}

/** The endpoint refused the request without starting it. */
export class EndpointRefusedError extends NotRunError {
  override readonly code = 'ENDPOINT_REFUSED';
  override readonly status = 503;
  override readonly retryable = true;
}

/** Another process now answers at the endpoint's address. */
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

/** A peer refused the relayed request because it was not authenticated as coming from a fleet member. */
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

/** The connection was lost, and the endpoint then confirmed that the request has not run and never will. */
export class LostBeforeStartError extends NotRunError {
  override readonly code = 'LOST_BEFORE_START';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The deadline passed after the request was forwarded. */
export class TimedOutError extends MayHaveRunError {
  override readonly code = 'TIMED_OUT';
  override readonly status = 504;
}

/** The connection was lost after all or part of the request was sent. */
export class ConnectionLostError extends MayHaveRunError {
  override readonly code = 'CONNECTION_LOST';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The endpoint's process ended while it was running the request. */
export class EndpointEndedError extends MayHaveRunError {
  override readonly code = 'ENDPOINT_ENDED';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The node stopped before a forwarded request was answered. */
export class StoppedBeforeAnswerError extends MayHaveRunError {
  override readonly code = 'STOPPED_BEFORE_ANSWER';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The answer is not valid HTTP, or its completeness can't be checked. */
export class MalformedAnswerError extends MayHaveRunError {
  override readonly code = 'MALFORMED_ANSWER';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The answer was truncated, and no part of it had been forwarded. */
export class TruncatedAnswerError extends MayHaveRunError {
  override readonly code = 'TRUNCATED_ANSWER';
  override readonly status = 502;
  override readonly retryable = true;
}

/** The endpoint's answer reports an error of the endpoint itself. */
export class EndpointFaultError extends MayHaveRunError {
  override readonly code = 'ENDPOINT_FAULT';
  override readonly status = 502;
  override readonly retryable = true;

  constructor(
    message: string,
    readonly faultShare = 0,
  ) {
    super(message);
  }
}

/** The caller's connection ended before the answer was sent. */
export class CallerGoneError extends MayHaveRunError {
  override readonly code = 'CALLER_GONE';
  override readonly status = 499;
}

/** An unexpected error in the node, at an unknown stage of the request. */
export class InternalError extends MayHaveRunError {
  override readonly code = 'INTERNAL';
  override readonly status = 500;
}

/** A failure reported by the node that owns the endpoint. */
export class RelayedError extends RequestError {
  override readonly code: string;
  override readonly verdict: Verdict;
  override readonly retryable: boolean;

  constructor(
    failure: RequestFailure,
    override readonly status: number,
    message: string,
  ) {
    super(message, failure.retryAfterMs, failure.slotWaitMs);
    this.code = failure.code;
    this.verdict = failure.verdict;
    this.retryable = failure.retryable;
  }
}

/** Codes of failures where the endpoint received the request but did not run it. */
const ENDPOINT_REFUSAL_CODES: ReadonlySet<string> = new Set([
  'ENDPOINT_REFUSED',
  'ENDPOINT_GONE',
  'CANCELLED',
  'LOST_BEFORE_START',
]);

/**
 * Codes of failures where the request did not reach the endpoint because the endpoint is absent, its node is about
 * to stop or its zone is evacuated. A request that reaches an endpoint counts towards the service's retries, whether
 * the endpoint refuses or runs it.
 */
const ABSENT_ENDPOINT_CODES: ReadonlySet<string> = new Set([
  'UNREACHABLE',
  'UNKNOWN_ENDPOINT',
  'NODE_STOPPING',
  'ENDPOINT_EVACUATED',
]);

/** Codes of refusals for lack of capacity. */
const CAPACITY_REFUSAL_CODES: ReadonlySet<string> = new Set([
  'CANNOT_FINISH_IN_TIME',
  'OVERLOADED',
]);

/** Whether the endpoint's node refused the request for lack of capacity or time. */
export function isCapacityRefusal({ code }: RequestFailure): boolean {
  return CAPACITY_REFUSAL_CODES.has(code);
}

/** Whether the request failed for lack of capacity, at an endpoint's node or before it was sent to one. */
export function isLackOfCapacity(failure: RequestFailure): boolean {
  return (
    isCapacityRefusal(failure) || failure.code === 'THROTTLED' || failure.code === 'NO_ENDPOINT'
  );
}

/** Whether the endpoint is absent; this does not indicate that other endpoints are overloaded. */
export function isEndpointAbsent({ verdict, code }: RequestFailure): boolean {
  return verdict === 'not-run' && ABSENT_ENDPOINT_CODES.has(code);
}

/** Whether the endpoint itself may have received the request, so that another attempt adds load. */
export function reachedEndpoint({ verdict, code }: RequestFailure): boolean {
  return verdict !== 'not-run' || ENDPOINT_REFUSAL_CODES.has(code);
}

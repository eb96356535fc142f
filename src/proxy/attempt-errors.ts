/** Maps refusals by admission and failures of attempts to errors. */
import type { RefusalReason } from '../admission/endpoint-admission.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import type { AttemptReport } from './endpoint-attempt.js';
import {
  CancelledError,
  CannotFinishInTimeError,
  ConnectionLostError,
  ContainedError,
  DeadlinePassedError,
  EndpointDrainingError,
  EndpointEndedError,
  EndpointEvacuatedError,
  EndpointRefusedError,
  LostBeforeStartError,
  MalformedAnswerError,
  OverloadedError,
  RateLimitedError,
  TimedOutError,
  UnreachableError,
  type RequestError,
} from './request-error.js';

/** Retry delay after a refusal that names none, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/** The error for the failure of a dispatched request, other than a refusal. */
export function attemptError(
  report: Exclude<AttemptReport, 'refused'>,
  name: string,
): RequestError {
  switch (report) {
    case 'unreachable':
      return new UnreachableError(`no connection to endpoint ${name}`, DEFAULT_RETRY_AFTER_MS);
    case 'deadline-passed':
      return new DeadlinePassedError('the deadline passed before the request was sent');
    case 'cancelled':
      return new CancelledError('the deadline passed; the endpoint cancelled the request');
    case 'lost-before-start':
      return new LostBeforeStartError(
        `the connection to endpoint ${name} was lost before the endpoint started the request`,
      );
    case 'timed-out':
      return new TimedOutError(`endpoint ${name} did not answer before the deadline`);
    case 'ended':
      return new EndpointEndedError(`endpoint ${name} exited while running the request`);
    case 'lost':
      return new ConnectionLostError(`the connection to endpoint ${name} was lost`);
    case 'malformed':
      return new MalformedAnswerError(`endpoint ${name} sent a malformed answer`);
  }
}

/** The error for a refusal by the endpoint itself, before it started the request. */
export function endpointRefusedError(
  name: string,
  draining: boolean,
  retryAfterMs: number = DEFAULT_RETRY_AFTER_MS,
): RequestError {
  return draining
    ? new EndpointDrainingError(`endpoint ${name} is draining`, retryAfterMs)
    : new EndpointRefusedError(`endpoint ${name} refused the request`, retryAfterMs);
}

/** The error for a refusal by admission; `slotWaitMs` as in {@link RequestError}. */
export function admissionError(
  reason: RefusalReason,
  retryAfterMs: number,
  slotWaitMs?: number,
): RequestError {
  switch (reason) {
    case 'queue-full':
      return new OverloadedError('the queue of the endpoint is full', retryAfterMs, slotWaitMs);
    case 'cannot-finish-in-time':
      return new CannotFinishInTimeError(
        'the request cannot finish in time',
        retryAfterMs,
        slotWaitMs,
      );
    case 'deadline-passed':
      return new DeadlinePassedError(
        'the deadline passed while the request was queued',
        retryAfterMs,
      );
    case 'rate-limited':
      return new RateLimitedError('the endpoint limits its rate of requests', retryAfterMs);
    case 'draining':
      return new EndpointDrainingError('the endpoint is draining', retryAfterMs);
    case 'evacuated':
      return new EndpointEvacuatedError('the zone of the endpoint is evacuated', retryAfterMs);
  }
}

/** The error for a request that is refused because endpoint processes exited while running it. */
export function containedError(retryAfterMs: number): RequestError {
  return new ContainedError('endpoint processes exited while running this request', retryAfterMs);
}

/** How a failed attempt counts in the record of its endpoint. */
export function outcomeOf(error: RequestError): AttemptOutcome {
  if (error.code === 'ENDPOINT_GONE' || error.code === 'ENDPOINT_ENDED') {
    return 'gone';
  }
  if (error.verdict !== 'not-run') {
    return 'failed';
  }
  return error.code === 'UNREACHABLE' ? 'unreachable' : 'refused';
}

/** Errors for what admission and endpoints did with a request. */
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
  TimedOutError,
  UnreachableError,
  type RequestError,
} from './request-error.js';

/** When to come back after a refusal that does not say, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/** The error for what is known of a dispatched request; refusals apart. */
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
      return new LostBeforeStartError(`endpoint ${name} had not started the request`);
    case 'timed-out':
      return new TimedOutError(`endpoint ${name} did not answer before the deadline`);
    case 'ended':
      return new EndpointEndedError(`endpoint ${name} ended while it ran the request`);
    case 'lost':
      return new ConnectionLostError(`the connection to endpoint ${name} was lost`);
    case 'malformed':
      return new MalformedAnswerError(`the answer of endpoint ${name} is malformed`);
  }
}

/** The error for a refusal by the endpoint itself, before the start. */
export function endpointRefusedError(
  name: string,
  draining: boolean,
  retryAfterMs: number = DEFAULT_RETRY_AFTER_MS,
): RequestError {
  return draining
    ? new EndpointDrainingError(`endpoint ${name} is draining`, retryAfterMs)
    : new EndpointRefusedError(`endpoint ${name} refused`, retryAfterMs);
}

/** The error for a refusal by admission. */
export function admissionError(reason: RefusalReason, retryAfterMs: number): RequestError {
  switch (reason) {
    case 'queue-full':
      return new OverloadedError('the queue of the endpoint is full', retryAfterMs);
    case 'cannot-finish-in-time':
      return new CannotFinishInTimeError('the deadline is too near', retryAfterMs);
    case 'deadline-passed':
      return new DeadlinePassedError('the deadline passed while the request waited', retryAfterMs);
    case 'draining':
      return new EndpointDrainingError('the endpoint is draining', retryAfterMs);
    case 'evacuated':
      return new EndpointEvacuatedError('the zone of the endpoint is evacuated', retryAfterMs);
  }
}

/** The refusal of a request under which endpoints ended. */
export function containedError(retryAfterMs: number): RequestError {
  return new ContainedError('endpoints ended while they ran this request', retryAfterMs);
}

/** What a failed attempt says of its endpoint. */
export function outcomeOf(error: RequestError): AttemptOutcome {
  if (error.code === 'ENDPOINT_GONE' || error.code === 'ENDPOINT_ENDED') {
    return 'gone';
  }
  if (error.verdict !== 'not-run') {
    return 'failed';
  }
  return error.code === 'UNREACHABLE' ? 'unreachable' : 'refused';
}

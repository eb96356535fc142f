/** Errors for requests that run out of time. */
import {
  BodyTooSlowError,
  CannotFinishInTimeError,
  DeadlinePassedError,
  TimedOutError,
  type RequestError,
} from './request-error.js';

/** `hasBody`: the body has arrived; `isUnsent`: the endpoint has provably not received the request. */
export function expiryFailure(hasBody: boolean, isUnsent: boolean): RequestError {
  if (!hasBody) {
    return new BodyTooSlowError('the request body did not arrive before the deadline');
  }
  return isUnsent
    ? new DeadlinePassedError('the deadline passed before the request was forwarded')
    : new TimedOutError('no answer was received before the deadline');
}

/** The error for a request that has reached no endpoint shortly before its deadline. */
export function unsentFailure(retryAfterMs: number): RequestError {
  return new CannotFinishInTimeError('no endpoint was reached in time', retryAfterMs);
}

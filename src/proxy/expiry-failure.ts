/** What a request is told whose deadline has passed. */
import {
  BodyTooSlowError,
  DeadlinePassedError,
  TimedOutError,
  type RequestError,
} from './request-error.js';

/** `hasBody` says that its body arrived, `isUnsent` that the endpoint has provably not got it. */
export function expiryFailure(hasBody: boolean, isUnsent: boolean): RequestError {
  if (!hasBody) {
    return new BodyTooSlowError('the body did not arrive before the deadline');
  }
  return isUnsent
    ? new DeadlinePassedError('the deadline passed before the request was sent on')
    : new TimedOutError('no answer before the deadline');
}

/**
 * The delay after which refused callers come back. Answers bursts after which all callers that were refused would
 * otherwise return at once. Pure.
 */
import type { RandomSource } from '../../control/control-event.js';
import { RelayedError, type RequestError } from '../request-error.js';

/** Share of the delay by which it is extended at most, at random. */
const SPREAD_SHARE = 0.5;

/** Returns the error with the time at which room is expected, spread over callers; never less than it states. */
export function withRoomExpected(
  error: RequestError,
  roomInMs: number,
  random: RandomSource,
): RequestError {
  const expectedMs = Math.max(roomInMs, error.retryAfterMs ?? 0);
  const retryAfterMs = expectedMs * (1 + random() * SPREAD_SHARE);
  const { code, verdict, retryable, status, message } = error;
  return new RelayedError({ code, verdict, retryable, retryAfterMs }, status, message);
}

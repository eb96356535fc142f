/** The error of an attempt whose response is in doubt, and the outcome of the suspicion. Pure. */
import { ConnectionLostError, UnreachableError, type RequestError } from './request-error.js';
import type { RequestEffect } from './request-event.js';
import type { SuspicionOutcome } from './request-log.js';

/** Returns what follows on the suspicion of an attempt. */
export function suspicionOutcomeOf([first]: readonly RequestEffect[]): SuspicionOutcome {
  if (first === undefined) {
    return 'wait';
  }
  return first.type === 'abort-attempt' ? 'replace' : 'hedge';
}

/** `isUnsent` is true when the attempt has provably not reached its endpoint. */
export function unresponsiveNodeError(isUnsent: boolean): RequestError {
  const message = 'the node of the endpoint is unresponsive';
  return isUnsent ? new UnreachableError(message) : new ConnectionLostError(message);
}

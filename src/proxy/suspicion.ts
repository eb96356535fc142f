/** What an attempt in doubt would have failed with, and what followed on the doubt. Pure. */
import { ConnectionLostError, UnreachableError, type RequestError } from './request-error.js';
import type { RequestEffect } from './request-event.js';
import type { SuspicionOutcome } from './request-log.js';

/** What follows on the suspicion of an attempt. */
export function suspicionOutcomeOf([first]: readonly RequestEffect[]): SuspicionOutcome {
  if (first === undefined) {
    return 'wait';
  }
  return first.type === 'abort-attempt' ? 'replace' : 'hedge';
}

/** `isUnsent` says that the attempt has provably not reached its endpoint. */
export function unresponsiveNodeError(isUnsent: boolean): RequestError {
  const message = 'nothing is heard of the node of the endpoint';
  return isUnsent ? new UnreachableError(message) : new ConnectionLostError(message);
}

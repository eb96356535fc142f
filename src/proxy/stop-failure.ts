/** What a request is told that a planned stop gives up. */
import { NodeStoppingError, StoppedBeforeAnswerError, type RequestError } from './request-error.js';

/** When to come back after a node has given the request up, in milliseconds: it has ended by then. */
const STOPPED_RETRY_MS = 500;

/** `isUnsent` says that the endpoint has provably not got the request. */
export function stopFailure(isUnsent: boolean): RequestError {
  return isUnsent
    ? new NodeStoppingError('the node stops before the request was sent on', STOPPED_RETRY_MS)
    : new StoppedBeforeAnswerError('the node stops before the answer');
}

/** The error for a request that a planned stop gives up. */
import { NodeStoppingError, StoppedBeforeAnswerError, type RequestError } from './request-error.js';

/**
 * When a caller should retry after a node has given up its request, in milliseconds: the node has
 * ended by then.
 */
const STOPPED_RETRY_MS = 500;

/** `isUnsent` is true when the endpoint has provably not received the request. */
export function stopFailure(isUnsent: boolean): RequestError {
  return isUnsent
    ? new NodeStoppingError(
        'the node is stopping and did not forward the request',
        STOPPED_RETRY_MS,
      )
    : new StoppedBeforeAnswerError('the node stopped before the endpoint answered');
}

/** Ends of callers' connections: the reason for each, and the requests and bytes that it lost. */

/**
 * Why a caller's connection ended:
 *
 * - `caller`: its caller closed or reset it, or the network failed.
 * - `last-answer`: it was closed after an answer that was passed to the operating system in full.
 * - `broken-answer`: an answer could not be completed after a part of it had been sent.
 * - `malformed`: the caller sent bytes that are not a valid request.
 * - `idle`: nothing was received on it for the idle timeout.
 * - `stop`: it was idle when the node stopped.
 * - `stop-bound`: the time limit of the planned stop was reached, or the process exited.
 */
export type ConnectionEndReason =
  'caller' | 'last-answer' | 'broken-answer' | 'malformed' | 'idle' | 'stop' | 'stop-bound';

/** The end of one connection. */
export interface ConnectionEnd {
  readonly reason: ConnectionEndReason;
  /** Requests on it without a complete answer. */
  readonly cutCount: number;
  /** Bytes of answers that were still buffered for it when closing started. */
  readonly unsentBytes: number;
}

/** Called at the end of each caller's connection. */
export type ConnectionEndListener = (end: ConnectionEnd) => void;

/** Ends of callers' connections: why each came, and what it cut. */

/**
 * Why a caller's connection ended:
 *
 * - `caller`: its caller closed or reset it, or it broke.
 * - `last-answer`: an answer closed it, and was handed to the system in full.
 * - `broken-answer`: an answer could not be completed after a part of it had gone out.
 * - `malformed`: bytes came that are no request.
 * - `idle`: nothing came on it for the idle time-out.
 * - `stop`: nothing was under way on it as the node stopped.
 * - `stop-bound`: the planned stop, or the process, ended.
 */
export type ConnectionEndReason =
  'caller' | 'last-answer' | 'broken-answer' | 'malformed' | 'idle' | 'stop' | 'stop-bound';

/** One end of a connection. */
export interface ConnectionEnd {
  readonly reason: ConnectionEndReason;
  /** Requests on it that had no whole answer. */
  readonly cutCount: number;
  /** Bytes of answers that the node still held for it when the end began. */
  readonly unsentBytes: number;
}

/** Told of the end of each connection of callers. */
export type ConnectionEndListener = (end: ConnectionEnd) => void;

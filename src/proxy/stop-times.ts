/**
 * The times of the phases of a planned stop, on the node's monotonic clock in milliseconds. Pure.
 */

/** Time limits of a planned stop, in milliseconds since its signal. */
export interface StopLimits {
  /** Maximum time for which new requests are accepted. */
  readonly stopAcceptMs: number;
  /** Time for which requests in flight are awaited. */
  readonly stopTimeoutMs: number;
  /** Time after `stopTimeoutMs` in which the responses to requests that were given up are sent. */
  readonly stopAnswerMs: number;
  /** Time for closing connections, after all other time limits; 0 when absent. */
  readonly stopCloseMs?: number;
  /**
   * Minimum time for which requests in flight are awaited, as far as the rest of the stop can be
   * shortened for it; `stopTimeoutMs` when absent.
   */
  readonly stopMinTimeoutMs?: number;
}

/** Delays of the process, in milliseconds. */
export interface StopDelays {
  /** Maximum age of the signal when it is handled. */
  readonly signalAgeMs: number;
  /** Recent event loop lag. */
  readonly eventLoopLagMs: number;
}

/** When the phases of a planned stop begin. */
export interface StopTimes {
  /** New requests are refused, because their responses would come too late. */
  readonly refusesFromMs: number;
  /** Every request that is still in flight gets its final response. */
  readonly givesUpAtMs: number;
  /** All remaining connections are closed. */
  readonly closesAtMs: number;
  /** The stop is over, even if connections are still open. */
  readonly endsByMs: number;
}

/** Times while no stop has begun. */
export const NO_STOP: StopTimes = {
  refusesFromMs: Infinity,
  givesUpAtMs: Infinity,
  closesAtMs: Infinity,
  endsByMs: Infinity,
};
/** Delays of a process that runs without delay. */
export const NO_DELAYS: StopDelays = { signalAgeMs: 0, eventLoopLagMs: 0 };

/**
 * Deadlines are limited to this long after the moment at which requests are given up, in
 * milliseconds: the error given at that moment is more specific than an expired deadline. A refusal
 * for lack of a slot is sent 60 ms before a deadline, so it still precedes that moment.
 */
const DEADLINE_LAG_MS = 20;
/**
 * Minimum share of `stopAnswerMs` that remains when requests in flight are awaited at its expense.
 */
const MIN_ANSWER_SHARE = 0.5;

/**
 * Computes the times of a stop whose signal is handled now. The signal may be as old as
 * `signalAgeMs`, which limits the end of the stop, or new, which determines the minimum time for
 * which requests are awaited. The stop ends earlier by the event loop lag, because the process may
 * be late by as much.
 */
export function stopTimes(
  nowMs: number,
  limits: StopLimits,
  { signalAgeMs, eventLoopLagMs }: StopDelays = NO_DELAYS,
): StopTimes {
  const { stopTimeoutMs, stopAnswerMs, stopCloseMs = 0 } = limits;
  const { stopMinTimeoutMs = stopTimeoutMs } = limits;
  const earliestSignalAtMs = nowMs - signalAgeMs;
  const endsByMs = Math.max(
    nowMs,
    earliestSignalAtMs + stopTimeoutMs + stopAnswerMs + stopCloseMs - eventLoopLagMs,
  );
  const plannedGiveUpAtMs = endsByMs - stopCloseMs - stopAnswerMs;
  const latestGiveUpAtMs = endsByMs - stopAnswerMs * MIN_ANSWER_SHARE;
  const givesUpAtMs = Math.max(
    nowMs,
    plannedGiveUpAtMs,
    Math.min(nowMs + stopMinTimeoutMs, latestGiveUpAtMs),
  );
  return {
    refusesFromMs: Math.max(nowMs, Math.min(earliestSignalAtMs + limits.stopAcceptMs, givesUpAtMs)),
    givesUpAtMs,
    closesAtMs: Math.min(givesUpAtMs + stopAnswerMs, endsByMs),
    endsByMs,
  };
}

/**
 * Returns the deadline of an arriving request, limited to the time for which the stop can wait.
 * Admission then refuses requests that can't finish in that time immediately, instead of accepting
 * requests that would be given up.
 */
export function deadlineWithin(deadlineAtMs: number, { givesUpAtMs }: StopTimes): number {
  return Math.min(deadlineAtMs, givesUpAtMs + DEADLINE_LAG_MS);
}

/** The moments of a planned stop, on the node's monotonic clock in milliseconds. Pure. */

/** Bounds of a planned stop, in milliseconds since its signal. */
export interface StopLimits {
  /** Time for which new requests are taken at most. */
  readonly stopAcceptMs: number;
  /** Time for which requests in flight are waited for. */
  readonly stopTimeoutMs: number;
  /** Time after that in which the answers to requests that were given up go out. */
  readonly stopAnswerMs: number;
  /** Time for connections to close in, after all other bounds; none when absent. */
  readonly stopCloseMs?: number;
  /**
   * Time for which requests in flight are waited for at least, wherever the rest of the stop can be made shorter for
   * it; `stopTimeoutMs` when absent.
   */
  readonly stopMinTimeoutMs?: number;
}

/** What makes a process late. Times are in milliseconds. */
export interface StopDelays {
  /** Longest time for which the signal may have waited for the process. */
  readonly signalAgeMs: number;
  /** How late the process has lately been. */
  readonly eventLoopLagMs: number;
}

/** When the phases of a planned stop begin. */
export interface StopTimes {
  /** New requests are refused: their answers would come too late. */
  readonly refusesFromMs: number;
  /** Every request that is still under way gets its final answer. */
  readonly givesUpAtMs: number;
  /** What is still open is closed. */
  readonly closesAtMs: number;
  /** The stop is over, whatever is still open. */
  readonly endsByMs: number;
}

/** No stop has begun. */
export const NO_STOP: StopTimes = {
  refusesFromMs: Infinity,
  givesUpAtMs: Infinity,
  closesAtMs: Infinity,
  endsByMs: Infinity,
};
/** A process that runs at once. */
export const NO_DELAYS: StopDelays = { signalAgeMs: 0, eventLoopLagMs: 0 };

/**
 * Deadlines lie this much after the moment at which requests are given up, in milliseconds: what is
 * known of a request at that moment tells more than that its time is over. A refusal for want of a slot
 * comes 60 ms before a deadline, so it still comes before that moment.
 */
const DEADLINE_LAG_MS = 20;
/** Part of the time for answers that is kept where requests are waited for at its cost. */
const MIN_ANSWER_SHARE = 0.5;

/**
 * The moments of a stop that is heard of now. The signal may be as old as `signalAgeMs`, which bounds the end, or new,
 * which bounds from below how long requests are waited for. A late process ends earlier by as much as it may be late.
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
 * The deadline of a request that arrives: no later than the stop can wait. So admission refuses at once
 * what can't finish before, instead of taking what would be given up.
 */
export function deadlineWithin(deadlineAtMs: number, { givesUpAtMs }: StopTimes): number {
  return Math.min(deadlineAtMs, givesUpAtMs + DEADLINE_LAG_MS);
}

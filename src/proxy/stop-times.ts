/** The moments of a planned stop, on the node's monotonic clock in milliseconds. Pure. */

/** Bounds of a planned stop, in milliseconds since it began. */
export interface StopLimits {
  /** Time for which new requests are taken at most. */
  readonly stopAcceptMs: number;
  /** Time for which requests in flight are waited for. */
  readonly stopTimeoutMs: number;
  /** Time after that in which the answers to requests that were given up go out. */
  readonly stopAnswerMs: number;
}

/** When the phases of a planned stop begin. */
export interface StopTimes {
  /** New requests are refused: their answers would come too late. */
  readonly refusesFromMs: number;
  /** Every request that is still under way gets its final answer. */
  readonly givesUpAtMs: number;
  /** What is still open is closed. */
  readonly closesAtMs: number;
}

/** No stop has begun. */
export const NO_STOP: StopTimes = {
  refusesFromMs: Infinity,
  givesUpAtMs: Infinity,
  closesAtMs: Infinity,
};

/**
 * Deadlines lie this much after the moment at which requests are given up, in milliseconds: what is
 * known of a request at that moment tells more than that its time is over. A refusal for want of a slot
 * comes 60 ms before a deadline, so it still comes before that moment.
 */
const DEADLINE_LAG_MS = 20;

/** The moments of a stop that begins now. */
export function stopTimes(nowMs: number, limits: StopLimits): StopTimes {
  const givesUpAtMs = nowMs + limits.stopTimeoutMs;
  return {
    refusesFromMs: Math.min(nowMs + limits.stopAcceptMs, givesUpAtMs),
    givesUpAtMs,
    closesAtMs: givesUpAtMs + limits.stopAnswerMs,
  };
}

/**
 * The deadline of a request that arrives: no later than the stop can wait. So admission refuses at once
 * what can't finish before, instead of taking what would be given up.
 */
export function deadlineWithin(deadlineAtMs: number, { givesUpAtMs }: StopTimes): number {
  return Math.min(deadlineAtMs, givesUpAtMs + DEADLINE_LAG_MS);
}

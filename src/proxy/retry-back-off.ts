/**
 * Delay before a request is sent again. Answers bursts in which endpoints fail because calls of their own are refused:
 * a request that is repeated at once fails again and takes the room that the calls lack. Pure.
 */
import type { RandomSource } from '../control/control-event.js';

/** Upper bound of the first back-off, in milliseconds; doubles with each attempt. */
const FIRST_BACK_OFF_MS = 10;
/** Largest share of the remaining time for which a request is delayed after an endpoint error. */
const MAX_FAULT_DELAY_SHARE = 0.25;
/** Longest such delay, in milliseconds; a retry is taken off its budget before it. */
const MAX_FAULT_DELAY_MS = 450;

/** The failed attempt. */
export interface FailedAttempt {
  /** Counts from 1. */
  readonly attempt: number;
  /** Share of recent answers of the class that report an endpoint error, from 0 to 1; 0 when absent. */
  readonly faultShare?: number | undefined;
  /** Time to the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Returns the delay in milliseconds, spread at random. */
export function retryBackOffMs(
  { attempt, faultShare = 0, remainingMs }: FailedAttempt,
  random: RandomSource,
): number {
  const backOffMs = random() * FIRST_BACK_OFF_MS * 2 ** (attempt - 1);
  if (faultShare === 0) {
    return backOffMs;
  }
  const maxFaultDelayMs = faultShare * MAX_FAULT_DELAY_SHARE * Math.max(0, remainingMs);
  return backOffMs + (Math.min(MAX_FAULT_DELAY_MS, maxFaultDelayMs) * (1 + random())) / 2;
}

/**
 * Time source of the request path: the machine's clock in production, a virtual clock in the
 * fuzzer.
 */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { SuspensionAwareTimers } from '../clock/suspension-aware-timers.js';

/** A monotonic clock with timers. */
export interface Scheduler {
  /** Milliseconds on a monotonic clock. */
  now(): number;
  /**
   * Runs `action` after `delayMs`, or as soon as possible if that is not positive; returns a
   * function that cancels the timer.
   */
  schedule(delayMs: number, action: () => void): CancelTimer;
}

/** Cancels a timer; has no effect once the timer has run. */
export type CancelTimer = () => void;

const MACHINE_TIMERS = new SuspensionAwareTimers(() => MACHINE_CLOCK.now());
MACHINE_CLOCK.onSuspension(() => MACHINE_TIMERS.reschedule());

/** The clock and timers of the machine. */
export const MACHINE_TIME: Scheduler = {
  now: () => MACHINE_CLOCK.now(),
  schedule: (delayMs, action) => MACHINE_TIMERS.schedule(delayMs, action),
};

/** Time for the request path: the machine's in the product, a virtual one under the fuzzer. */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { SuspensionAwareTimers } from '../clock/suspension-aware-timers.js';

/** A monotonic clock with timers. */
export interface Scheduler {
  /** Milliseconds on a monotonic clock. */
  now(): number;
  /** Runs `action` after `delayMs`, at once when that is not positive; returns what cancels it. */
  schedule(delayMs: number, action: () => void): CancelTimer;
}

/** Cancels a timer; nothing happens when it has run. */
export type CancelTimer = () => void;

const MACHINE_TIMERS = new SuspensionAwareTimers(() => MACHINE_CLOCK.now());
MACHINE_CLOCK.onSuspension(() => MACHINE_TIMERS.reschedule());

/** The machine's time. */
export const MACHINE_TIME: Scheduler = {
  now: () => MACHINE_CLOCK.now(),
  schedule: (delayMs, action) => MACHINE_TIMERS.schedule(delayMs, action),
};

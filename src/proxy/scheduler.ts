/** Time for the request path: the machine's in the product, a virtual one under the fuzzer. */

/** A monotonic clock with timers. */
export interface Scheduler {
  /** Milliseconds on a monotonic clock. */
  now(): number;
  /** Runs `action` after `delayMs`, at once when that is not positive; returns what cancels it. */
  schedule(delayMs: number, action: () => void): CancelTimer;
}

/** Cancels a timer; nothing happens when it has run. */
export type CancelTimer = () => void;

/** The machine's time. */
export const MACHINE_TIME: Scheduler = {
  now: () => performance.now(),
  schedule: (delayMs, action) => {
    const timer = setTimeout(action, delayMs);
    return () => clearTimeout(timer);
  },
};

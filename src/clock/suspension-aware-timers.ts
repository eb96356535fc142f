/**
 * Timers that follow a clock which includes suspensions. Native timers follow the monotonic clock and would be
 * delayed by the whole duration of a suspension.
 */
import type { TimeSource } from './machine-clock.js';

interface PendingTimer {
  readonly dueAtMs: number;
  readonly action: () => void;
  handle: NodeJS.Timeout;
}

/** The pending timers of one clock. */
export class SuspensionAwareTimers {
  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly now: TimeSource) {}

  /** Runs `action` after `delayMs`, immediately if that is not positive; returns a function that cancels it. */
  schedule(delayMs: number, action: () => void): () => void {
    const run = (): void => {
      this.pending.delete(timer);
      action();
    };
    const timer = {
      dueAtMs: this.now() + delayMs,
      action: run,
      handle: setTimeout(run, delayMs),
    };
    this.pending.add(timer);
    return () => {
      clearTimeout(timer.handle);
      this.pending.delete(timer);
    };
  }

  /** Reschedules all timers after the clock has advanced further than the monotonic clock. */
  reschedule(): void {
    const nowMs = this.now();
    for (const timer of this.pending) {
      clearTimeout(timer.handle);
      timer.handle = setTimeout(timer.action, Math.max(0, timer.dueAtMs - nowMs));
    }
  }
}

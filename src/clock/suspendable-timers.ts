/**
 * Timers that are due by a clock which counts suspensions. The system's own timers go by the monotonic
 * clock: after a suspension they would be late by all of it.
 */
import type { TimeSource } from './machine-clock.js';

interface PendingTimer {
  readonly dueAtMs: number;
  readonly action: () => void;
  handle: NodeJS.Timeout;
}

/** The timers of one clock. */
export class SuspendableTimers {
  private readonly pending = new Set<PendingTimer>();

  constructor(private readonly now: TimeSource) {}

  /** Runs `action` after `delayMs`, at once when that is not positive; returns what cancels it. */
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

  /** The clock has gone on by more than the monotonic one: timers are set anew. */
  setAnew(): void {
    const nowMs = this.now();
    for (const timer of this.pending) {
      clearTimeout(timer.handle);
      timer.handle = setTimeout(timer.action, Math.max(0, timer.dueAtMs - nowMs));
    }
  }
}

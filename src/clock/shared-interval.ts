/**
 * Periodic actions that share a timer: all actions of one interval run in the same turn of the event loop. A
 * wake-up of an idle process costs more than most of the actions.
 */
import { PROCESSOR_TIME } from './processor-time.js';

/** Stops a periodic action; has no effect when it is already stopped. */
export type StopAction = () => void;

/** A shared timer, which runs only while there are actions. */
export class SharedInterval {
  private readonly actions = new Set<() => void>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly intervalMs: number) {}

  /** Runs `action` at each interval, starting with the next one, until the returned function is called. */
  add(action: () => void): StopAction {
    // The wrapper makes each call a separate entry, even for a function that was added before.
    const entry = (): void => action();
    this.actions.add(entry);
    this.timer ??= setInterval(() => this.run(), this.intervalMs);
    return () => this.end(entry);
  }

  private run(): void {
    this.actions.forEach((action) => action());
    PROCESSOR_TIME.workEnded('periodic');
  }

  private end(action: () => void): void {
    this.actions.delete(action);
    if (this.actions.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }
}

/**
 * Interval of the periodic checks of peers, sources, connections and gates, in milliseconds. Short enough that an
 * unresponsive peer is detected within a second.
 */
export const CHECK_INTERVAL_MS = 150;

/** Periodic checks of this process. */
export const PERIODIC_CHECKS = new SharedInterval(CHECK_INTERVAL_MS);

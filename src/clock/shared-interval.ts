/**
 * Regular actions that share their wake-ups: all of one interval run in one turn of the event loop. Each
 * wake-up of an idle process costs more than most of what it is woken for.
 */

/** Ends a regular action; nothing happens when it has ended. */
export type EndAction = () => void;

/** One interval of a process; its timer runs while there are actions. */
export class SharedInterval {
  private readonly actions = new Set<() => void>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly intervalMs: number) {}

  /** Runs `action` at each interval, from the next one on, until the returned function is called. */
  add(action: () => void): EndAction {
    // The same function may be added twice: each addition is an action of its own.
    const own = (): void => action();
    this.actions.add(own);
    this.timer ??= setInterval(() => this.run(), this.intervalMs);
    return () => this.end(own);
  }

  private run(): void {
    this.actions.forEach((action) => action());
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
 * Time between two looks at peers, sources, connections and gates, in milliseconds. A silent peer is known
 * in a second at this pace.
 */
export const LOOK_INTERVAL_MS = 150;

/** The looks of this process. */
export const LOOKS = new SharedInterval(LOOK_INTERVAL_MS);

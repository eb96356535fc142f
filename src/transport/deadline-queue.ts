/** One timer for many things that all get the same time. */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';

/** Items in the order in which they were added, each ended after `durationMs` unless removed. */
export class DeadlineQueue<T> {
  private readonly deadlines = new Map<T, number>();
  private timer: NodeJS.Timeout | undefined;

  /** `onExpired` is called once for an item whose time is over, after it was removed. */
  constructor(
    private readonly durationMs: number,
    private readonly onExpired: (item: T) => void,
  ) {}

  get size(): number {
    return this.deadlines.size;
  }

  /** The item that was added first. */
  oldest(): T | undefined {
    return this.deadlines.keys().next().value;
  }

  add(item: T): void {
    this.deadlines.set(item, MACHINE_CLOCK.now() + this.durationMs);
    this.arm();
  }

  remove(item: T): void {
    this.deadlines.delete(item);
    if (this.deadlines.size === 0) {
      clearTimeout(this.timer);
      this.timer = undefined;
    }
  }

  /** Removes all items and gives them back. */
  drain(): T[] {
    const items = [...this.deadlines.keys()];
    items.forEach((item) => {
      this.remove(item);
    });
    return items;
  }

  private arm(): void {
    const [next] = this.deadlines.values();
    if (this.timer !== undefined || next === undefined) {
      return;
    }
    const delayMs = Math.max(0, Math.ceil(next - MACHINE_CLOCK.now()));
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.expire();
      this.arm();
    }, delayMs);
  }

  private expire(): void {
    const now = MACHINE_CLOCK.now();
    for (const [item, deadline] of this.deadlines) {
      if (deadline > now) {
        return;
      }
      this.remove(item);
      this.onExpired(item);
    }
  }
}

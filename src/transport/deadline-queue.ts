/** A single timer for many items that share the same timeout. */
import { MACHINE_CLOCK } from '../clock/machine-clock.js';

/** Items in insertion order, each of which expires after `durationMs` unless it is removed. */
export class DeadlineQueue<T> {
  private readonly deadlines = new Map<T, number>();
  private timer: NodeJS.Timeout | undefined;

  /** `onExpired` is called once for an expired item, after its removal. */
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

  /** Removes and returns all items. */
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

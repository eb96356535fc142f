/** Counts the events of the last seconds. Pure: time is passed in. */

const SLOT_MS = 500;

/** Events by slots of half a second; the current slot counts in full. */
export class RecentCount {
  private readonly slots = new Map<number, number>();

  constructor(private readonly windowMs: number) {}

  record(nowMs: number): void {
    const slot = Math.floor(nowMs / SLOT_MS);
    const count = this.slots.get(slot);
    this.slots.set(slot, (count ?? 0) + 1);
    if (count === undefined) {
      this.dropOld(slot);
    }
  }

  /** Number of events in the window that ends at `nowMs`. */
  at(nowMs: number): number {
    this.dropOld(Math.floor(nowMs / SLOT_MS));
    return [...this.slots.values()].reduce((sum, count) => sum + count, 0);
  }

  private dropOld(current: number): void {
    for (const slot of this.slots.keys()) {
      if (slot <= current - this.windowMs / SLOT_MS) {
        this.slots.delete(slot);
      }
    }
  }
}

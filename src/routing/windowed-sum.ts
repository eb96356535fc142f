/** Sum of the amounts recorded within a sliding window, in slots of half a second. Pure: time is passed in. */

const SLOT_MS = 500;

/** Bounds of the sum over a window that ends now; the window begins within a slot. */
export interface SumBounds {
  /** Without the slot in which the window begins. */
  readonly min: number;
  /** With the slot in which the window begins. */
  readonly max: number;
}

export class WindowedSum {
  /** Sums by the number of their slot; the oldest first. */
  private readonly slots = new Map<number, number>();

  constructor(private readonly windowMs: number) {}

  add(amount: number, nowMs: number): void {
    const slot = slotOf(nowMs);
    this.slots.set(slot, (this.slots.get(slot) ?? 0) + amount);
    this.dropOld(slot);
  }

  at(nowMs: number): SumBounds {
    const current = slotOf(nowMs);
    this.dropOld(current);
    const oldest = this.oldestSlot(current);
    let max = 0;
    this.slots.forEach((sum) => (max += sum));
    return { min: max - (this.slots.get(oldest) ?? 0), max };
  }

  private oldestSlot(current: number): number {
    return current - Math.ceil(this.windowMs / SLOT_MS);
  }

  private dropOld(current: number): void {
    const oldest = this.oldestSlot(current);
    for (const slot of this.slots.keys()) {
      if (slot >= oldest) {
        return;
      }
      this.slots.delete(slot);
    }
  }
}

function slotOf(nowMs: number): number {
  return Math.floor(nowMs / SLOT_MS);
}

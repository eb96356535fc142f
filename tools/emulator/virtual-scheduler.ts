/** Virtual time: tasks in a binary heap, run in order of time and, within one time, of scheduling. */

/** Something that happens at a virtual time. */
export interface ScheduledTask {
  run(): void;
}

interface HeapSlot {
  readonly atMs: number;
  readonly order: number;
  readonly task: ScheduledTask;
}

/** The clock and the queue of what is to come. */
export class VirtualScheduler {
  private readonly heap: HeapSlot[] = [];
  private scheduled = 0;
  private currentMs = 0;

  /** Virtual time in milliseconds since the start of the run. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Tasks that have not run yet. */
  get pending(): number {
    return this.heap.length;
  }

  /** Runs `task` at `atMs`, or now when that has passed. */
  schedule(atMs: number, task: ScheduledTask): void {
    const slot = { atMs: Math.max(atMs, this.currentMs), order: this.scheduled, task };
    this.scheduled += 1;
    this.heap.push(slot);
    this.siftUp(this.heap.length - 1);
  }

  /** Runs every task up to and including `untilMs`, then sets the clock there. */
  runUntil(untilMs: number): void {
    for (let next = this.heap[0]; next !== undefined && next.atMs <= untilMs; next = this.heap[0]) {
      this.removeFirst();
      this.currentMs = next.atMs;
      next.task.run();
    }
    this.currentMs = Math.max(this.currentMs, untilMs);
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
  }

  private siftUp(from: number): void {
    const { heap } = this;
    const moving = heap[from] as HeapSlot;
    let index = from;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex] as HeapSlot;
      if (!isBefore(moving, parent)) {
        break;
      }
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = moving;
  }

  private siftDown(): void {
    const { heap } = this;
    const moving = heap[0] as HeapSlot;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (childIndex >= heap.length) {
        break;
      }
      const right = heap[childIndex + 1];
      if (right !== undefined && isBefore(right, heap[childIndex] as HeapSlot)) {
        childIndex += 1;
      }
      const child = heap[childIndex] as HeapSlot;
      if (!isBefore(child, moving)) {
        break;
      }
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = moving;
  }
}

function isBefore(left: HeapSlot, right: HeapSlot): boolean {
  return left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs;
}

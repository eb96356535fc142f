/** The baseline's dispatcher: one first-come-first-served queue before the slots of all targets. */

/** Runs tasks on targets with a bound on tasks at once for each target. */
export class FirstComeQueue<Target> {
  private readonly free: Target[] = [];
  private readonly waiting: ((target: Target) => void)[] = [];

  constructor(targets: readonly Target[], slots: number) {
    for (let slot = 0; slot < slots; slot += 1) {
      this.free.push(...targets);
    }
  }

  /** Waits for a slot, however long, and runs `task` on its target. */
  async run<Result>(task: (target: Target) => Promise<Result>): Promise<Result> {
    const target = await this.acquire();
    try {
      return await task(target);
    } finally {
      this.release(target);
    }
  }

  private acquire(): Promise<Target> {
    const target = this.free.shift();
    return target === undefined
      ? new Promise((resolve) => this.waiting.push(resolve))
      : Promise.resolve(target);
  }

  private release(target: Target): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.free.push(target);
    } else {
      next(target);
    }
  }
}

/** The processor of a machine: handles messages one after the other, each for the same time. */
import type { VirtualScheduler } from '../emulator/virtual-scheduler.js';

export class EmulatedProcessor {
  private busyUntilMs = 0;

  constructor(
    private readonly clock: VirtualScheduler,
    private readonly messageCostMs: number,
  ) {}

  /** Handles a message once those before it have been handled; at once if messages cost nothing. */
  handle(message: () => void): void {
    if (this.messageCostMs === 0) {
      message();
      return;
    }
    this.busyUntilMs = Math.max(this.busyUntilMs, this.clock.nowMs) + this.messageCostMs;
    this.clock.schedule(this.busyUntilMs, { run: message });
  }
}

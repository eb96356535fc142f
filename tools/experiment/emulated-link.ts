/** The link of a machine: what is sent waits for what was sent before. */
import type { VirtualScheduler } from '../emulator/virtual-scheduler.js';

/** Time on the way besides that for the bytes, in milliseconds. */
const LATENCY_MS = 0.5;

/** One machine's link, the same width in both directions. */
export class EmulatedLink {
  /** Bytes that left the machine. */
  sentBytes = 0;
  private sendsUntilMs = 0;
  private receivesUntilMs = 0;
  private silentUntilMs = 0;

  constructor(
    private readonly clock: VirtualScheduler,
    public bytesPerMs: number,
  ) {}

  /** Nothing passes until then. */
  silence(untilMs: number): void {
    this.silentUntilMs = untilMs;
  }

  isSilent(): boolean {
    return this.clock.nowMs < this.silentUntilMs;
  }

  /** Carries a message to the machine of `to`; messages between two machines keep their order. */
  carry(to: EmulatedLink, bytes: number, deliver: () => void): void {
    this.sentBytes += bytes;
    const beginsAtMs = Math.max(this.clock.nowMs, this.sendsUntilMs, this.silentUntilMs);
    this.sendsUntilMs = beginsAtMs + bytes / this.bytesPerMs;
    this.clock.schedule(this.sendsUntilMs + LATENCY_MS, { run: () => to.receive(bytes, deliver) });
  }

  private receive(bytes: number, deliver: () => void): void {
    const beginsAtMs = Math.max(this.clock.nowMs, this.receivesUntilMs, this.silentUntilMs);
    this.receivesUntilMs = beginsAtMs + bytes / this.bytesPerMs;
    this.clock.schedule(this.receivesUntilMs, { run: deliver });
  }
}

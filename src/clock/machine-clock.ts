/**
 * The clock by which a node measures time. The monotonic clock stands still while the whole machine is
 * suspended: states, leases and deadlines would look younger than they are. The time since boot counts on,
 * and so does the wall clock, which may also be set; a suspension is what both of them show alike.
 */
import { uptime } from 'node:os';

/** Reads a time in milliseconds; its zero is arbitrary. */
export type TimeSource = () => number;

/** The clocks of the machine. */
export interface ClockSources {
  readonly monotonic: TimeSource;
  readonly wall: TimeSource;
  /** Counts suspensions, and is never set; coarse, and too dear to be read each time. */
  readonly sinceBoot: TimeSource;
}

/** Advance of the wall clock beyond the monotonic one from which on a suspension is considered, in ms. */
const LEAST_SUSPENSION_MS = 250;
/** By how much the two may differ in what they show: their grain, and the time between two reads. */
const TOLERANCE_MS = 100;
const TOLERANCE_SHARE = 0.01;
const MS_PER_SECOND = 1_000;

/** What the machine offers. */
const MACHINE_SOURCES: ClockSources = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

/** A clock that never goes back. */
export class MachineClock {
  private wallLeadMs: number;
  private bootLeadMs: number;
  private suspendedMs = 0;
  private readonly listeners = new Set<(suspendedMs: number) => void>();

  constructor(private readonly sources: ClockSources = MACHINE_SOURCES) {
    const steadyMs = sources.monotonic();
    this.wallLeadMs = sources.wall() - steadyMs;
    this.bootLeadMs = sources.sinceBoot() - steadyMs;
  }

  /** Milliseconds, suspensions included. */
  now(): number {
    const steadyMs = this.sources.monotonic();
    const wallLeadMs = this.sources.wall() - steadyMs;
    if (Math.abs(wallLeadMs - this.wallLeadMs) >= LEAST_SUSPENSION_MS) {
      this.compare(steadyMs, wallLeadMs);
    }
    return steadyMs + this.suspendedMs;
  }

  /** Calls `listener` after each suspension that is noticed, before {@link now} returns. */
  onSuspension(listener: (suspendedMs: number) => void): void {
    this.listeners.add(listener);
  }

  private compare(steadyMs: number, wallLeadMs: number): void {
    const bootLeadMs = this.sources.sinceBoot() - steadyMs;
    const byWallMs = wallLeadMs - this.wallLeadMs;
    const byBootMs = bootLeadMs - this.bootLeadMs;
    this.wallLeadMs = wallLeadMs;
    this.bootLeadMs = bootLeadMs;
    const toleranceMs = TOLERANCE_MS + TOLERANCE_SHARE * byWallMs;
    if (byWallMs > 0 && Math.abs(byWallMs - byBootMs) <= toleranceMs) {
      this.suspendedMs += byBootMs;
      this.listeners.forEach((listener) => listener(byBootMs));
    }
  }
}

/** The clock of this process. */
export const MACHINE_CLOCK = new MachineClock();

/**
 * The clock by which a node measures time, which includes suspensions. The monotonic clock stops while the whole
 * machine is suspended, so that states, leases and deadlines would appear younger than they are. The time since
 * boot and the wall clock advance during a suspension, but the wall clock can also be set; an advance that both
 * of them show is taken as a suspension.
 */
import { uptime } from 'node:os';

/** Reads a time in milliseconds from an arbitrary origin. */
export type TimeSource = () => number;

/** The clocks of the machine. */
export interface ClockSources {
  readonly monotonic: TimeSource;
  readonly wall: TimeSource;
  /** Includes suspensions and is never set; coarse, and too expensive to read on every call. */
  readonly sinceBoot: TimeSource;
}

/** Minimum change of the offset between wall clock and monotonic clock that triggers a comparison, in ms. */
const MIN_SUSPENSION_MS = 250;
/** Allowed difference between the advances of the two clocks: their resolution, and the time between two reads. */
const TOLERANCE_MS = 100;
const TOLERANCE_RATIO = 0.01;
const MS_PER_SECOND = 1_000;

const MACHINE_SOURCES: ClockSources = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
  sinceBoot: () => uptime() * MS_PER_SECOND,
};

/** A clock that never goes backwards. */
export class MachineClock {
  private wallOffsetMs: number;
  private bootOffsetMs: number;
  private suspendedMs = 0;
  private readonly listeners = new Set<(suspendedMs: number) => void>();

  constructor(private readonly sources: ClockSources = MACHINE_SOURCES) {
    const monotonicMs = sources.monotonic();
    this.wallOffsetMs = sources.wall() - monotonicMs;
    this.bootOffsetMs = sources.sinceBoot() - monotonicMs;
  }

  /** Time in milliseconds, including suspensions. */
  now(): number {
    const monotonicMs = this.sources.monotonic();
    const wallOffsetMs = this.sources.wall() - monotonicMs;
    if (Math.abs(wallOffsetMs - this.wallOffsetMs) >= MIN_SUSPENSION_MS) {
      this.detectSuspension(monotonicMs, wallOffsetMs);
    }
    return monotonicMs + this.suspendedMs;
  }

  /** Calls `listener` for each detected suspension, before {@link now} returns. */
  onSuspension(listener: (suspendedMs: number) => void): void {
    this.listeners.add(listener);
  }

  private detectSuspension(monotonicMs: number, wallOffsetMs: number): void {
    const bootOffsetMs = this.sources.sinceBoot() - monotonicMs;
    const wallAdvanceMs = wallOffsetMs - this.wallOffsetMs;
    const bootAdvanceMs = bootOffsetMs - this.bootOffsetMs;
    this.wallOffsetMs = wallOffsetMs;
    this.bootOffsetMs = bootOffsetMs;
    const toleranceMs = TOLERANCE_MS + TOLERANCE_RATIO * wallAdvanceMs;
    if (wallAdvanceMs > 0 && Math.abs(wallAdvanceMs - bootAdvanceMs) <= toleranceMs) {
      this.suspendedMs += bootAdvanceMs;
      this.listeners.forEach((listener) => listener(bootAdvanceMs));
    }
  }
}

/** The clock of this process. */
export const MACHINE_CLOCK = new MachineClock();

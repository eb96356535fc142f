/**
 * A clock for leases. Node's monotonic clock may not advance while the machine is suspended, and the wall
 * clock may be set back; this clock follows the monotonic clock and adds each forward jump of the wall clock
 * relative to it. After a suspension, or after the wall clock was set forward, a lease holder can overestimate
 * the elapsed time but never underestimate it. A lease that expires early is harmless. A request that expired
 * early would be refused because a clock was set, so everything else uses `clock/machine-clock.ts`.
 */
import type { TimeSource } from '../clock/machine-clock.js';

/** Advance of the wall clock beyond the monotonic clock that is treated as a suspension, in milliseconds. */
export const SUSPENSION_THRESHOLD_MS = 250;

/** Creates a clock that never goes back; its origin is arbitrary. */
export function createElapsedClock(
  monotonic: TimeSource = () => performance.now(),
  wall: TimeSource = () => Date.now(),
): TimeSource {
  let wallOffset = wall() - monotonic();
  let suspended = 0;
  return () => {
    const now = monotonic();
    const offset = wall() - now;
    const change = offset - wallOffset;
    if (Math.abs(change) >= SUSPENSION_THRESHOLD_MS) {
      suspended += Math.max(0, change);
      wallOffset = offset;
    }
    return now + suspended;
  };
}

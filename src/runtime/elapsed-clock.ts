/**
 * A clock for leases. Node's monotonic clock may stand still while a whole machine is suspended, and the wall
 * clock may be set back; this one follows the monotonic clock and adds any jump by which the wall clock runs
 * ahead of it. A holder that slept, or whose wall clock was set forward, can only believe that more time has
 * passed, never less: a lease that ends too soon does no harm, while requests that did would be refused for
 * a clock that was set, so that all else goes by `clock/machine-clock.ts`.
 */
import type { TimeSource } from '../clock/machine-clock.js';

/** Advance of the wall clock beyond the monotonic one that is taken for a suspension, in ms. */
export const SUSPENSION_THRESHOLD_MS = 250;

/** Makes a clock that never goes back; its zero is arbitrary. */
export function createElapsedClock(
  monotonic: TimeSource = () => performance.now(),
  wall: TimeSource = () => Date.now(),
): TimeSource {
  let wallLead = wall() - monotonic();
  let suspended = 0;
  return () => {
    const now = monotonic();
    const lead = wall() - now;
    const change = lead - wallLead;
    if (Math.abs(change) >= SUSPENSION_THRESHOLD_MS) {
      suspended += Math.max(0, change);
      wallLead = lead;
    }
    return now + suspended;
  };
}

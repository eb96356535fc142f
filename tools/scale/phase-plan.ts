/** The phases of a run: how long, how much, and by how much a day is compressed. */
import { TARGET } from './scale-plan.js';

const SECONDS_PER_DAY = 86_400;

/** Times in milliseconds. */
export const PHASE_TIMES = {
  /** A cold start is given up after this. */
  coldStartLimitMs: 90_000,
  /** A group of a ramp is waited for so long at most. */
  rampStepLimitMs: 15_000,
  /** From the cold start to the first measured phase: links and leases settle. */
  settleMs: 20_000,
  quietMs: 20_000,
  changesMs: 24_000,
  changeIntervalMs: 2_000,
  restartsMs: 24_000,
  restartDownMs: 500,
  /** Silence of a dying zone before its processes end: neighbours find out by missed heartbeats. */
  zoneSilentMs: 12_000,
  zoneDownMs: 24_000,
  /** Stands for an hour: the lists of members do not grow with the length of a cut. */
  regionCutMs: 30_000,
  /** A recovery is given up after this. */
  recoveryLimitMs: 60_000,
  /** After a recovery: links are put right again, which costs too. */
  afterRecoveryMs: 12_000,
  /** Time in which a change must have reached everyone before the phase is closed. */
  tailMs: 4_000,
} as const;

/** Nodes restarted in the restart phase: 4% of the fleet, at least 6 and at most 40. */
export function restartsFor(nodes: number): number {
  return Math.min(40, Math.max(6, Math.round(nodes * 0.04)));
}

/** How many times faster than in a day of the target size things happen in a run. */
export function compressions(nodes: number): { changes: number; restarts: number } {
  const changesPerSecond = 1_000 / PHASE_TIMES.changeIntervalMs;
  const restartsPerNodeSecond = restartsFor(nodes) / nodes / (PHASE_TIMES.restartsMs / 1_000);
  return {
    changes: (changesPerSecond * SECONDS_PER_DAY) / TARGET.changesPerDay,
    restarts: (restartsPerNodeSecond * SECONDS_PER_DAY) / (TARGET.restartsPerDay / TARGET.nodes),
  };
}

/**
 * Scales the cost of a busy phase back to a day: what it cost above quiet, divided by the
 * compression. Never negative.
 */
export function scaledBack(busy: number, quiet: number, compression: number): number {
  return Math.max(0, busy - quiet) / compression;
}

/** The longest that a run can take, in milliseconds; it ends itself after that. */
export function longestRunMs(): number {
  const times = PHASE_TIMES;
  const phases =
    times.coldStartLimitMs +
    times.settleMs +
    times.quietMs +
    times.changesMs +
    times.restartsMs +
    times.zoneSilentMs +
    times.zoneDownMs +
    times.regionCutMs +
    2 * (times.recoveryLimitMs + times.afterRecoveryMs);
  return 1.5 * phases + 240_000;
}

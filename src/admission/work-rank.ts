/**
 * Ranks of requests that wait for an endpoint: 0 goes first; within a priority, what will be answered late goes after
 * what can be in time. Pure.
 */

/** Ranks between two priorities: among equals, what has the shorter target latency goes first. */
const RANKS_PER_PRIORITY = 2_000_000;
/** Added to the rank of a request that will be answered late. */
const LATE_RANK_OFFSET = 1_000_000;

/** The rank of work that can be answered within its target latency, in milliseconds. */
export function rankOfWork(priority: number, targetLatencyMs: number): number {
  return priority * RANKS_PER_PRIORITY + Math.round(targetLatencyMs);
}

/** The same for work that will be answered late. */
export function lateRank(rank: number): number {
  return rank + LATE_RANK_OFFSET;
}

/** Whether the rank is that of late work. */
export function isLateRank(rank: number): boolean {
  return rank % RANKS_PER_PRIORITY >= LATE_RANK_OFFSET;
}

/** The rank that a request would have if it were not late. */
export function rankInTime(rank: number): number {
  return isLateRank(rank) ? rank - LATE_RANK_OFFSET : rank;
}

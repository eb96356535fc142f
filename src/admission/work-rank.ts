/**
 * Ranks of requests waiting for an endpoint: 0 is the most urgent. Within a priority, requests that will miss their
 * target latency rank after those that can meet it. Pure.
 */

/** Ranks per priority; within a priority, a shorter target latency ranks first. */
const RANKS_PER_PRIORITY = 2_000_000;
/** Added to the rank of a request that will miss its target latency. */
const LATE_RANK_OFFSET = 1_000_000;

/**
 * The rank of a request that can meet its target latency, which is in milliseconds. Target latencies of 1,000 s and more
 * rank alike, so that they fall into no other priority.
 */
export function rankOfWork(priority: number, targetLatencyMs: number): number {
  const latencyMs = Math.min(LATE_RANK_OFFSET - 1, Math.round(targetLatencyMs));
  return priority * RANKS_PER_PRIORITY + latencyMs;
}

/** Returns the late rank that corresponds to an on-time rank. */
export function lateRank(rank: number): number {
  return rank + LATE_RANK_OFFSET;
}

export function isLateRank(rank: number): boolean {
  return rank % RANKS_PER_PRIORITY >= LATE_RANK_OFFSET;
}

/** The rank that the request would have if it were on time. */
export function onTimeRank(rank: number): number {
  return isLateRank(rank) ? rank - LATE_RANK_OFFSET : rank;
}

/** The priority of a rank; 0 is the most urgent. */
export function priorityOf(rank: number): number {
  return Math.floor(rank / RANKS_PER_PRIORITY);
}

/** The target latency of a rank, in milliseconds. */
export function targetLatencyOf(rank: number): number {
  return onTimeRank(rank) % RANKS_PER_PRIORITY;
}

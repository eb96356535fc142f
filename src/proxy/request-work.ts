/** Rank, class and times that admission goes by for a request of a route. Pure. */
import type { Route } from '../model/resource.js';
import type { Call } from './call.js';

/** The part of a call that admission goes by. */
export type CallWork = Pick<Call, 'priority' | 'workClass' | 'targetAtMs' | 'startByMs'>;

/** Ranks between two priorities: among equals, what has the shorter target latency goes first. */
const RANKS_PER_PRIORITY = 1_000_000;
/** Added to the rank of a request that will be answered late, so that it goes after all others. */
const LATE_RANK_OFFSET = 1_000_000_000;
/** Part of the target latency that such a request waits for a slot at most. */
const LATE_START_SHARE = 0.2;
/** Ends the class of work that is answered late; measured apart, since it waits longer. */
const LATE_CLASS_SUFFIX = ' late';

/** The class of work; late work is one of its own, since it has room where work in time has none. */
export function workClassOf({ name }: Route, isLate: boolean): string {
  return isLate ? `${name}${LATE_CLASS_SUFFIX}` : name;
}

/** `isLate` when every endpoint has refused: a late answer is better than none, where there is room. */
export function workOf({ name, spec }: Route, startedAtMs: number, isLate: boolean): CallWork {
  const { priority = 0, targetLatencyMs } = spec;
  if (targetLatencyMs === undefined) {
    return { priority, workClass: name };
  }
  const rank = priority * RANKS_PER_PRIORITY + Math.round(targetLatencyMs);
  return isLate
    ? {
        priority: rank + LATE_RANK_OFFSET,
        workClass: name,
        startByMs: startedAtMs + targetLatencyMs * LATE_START_SHARE,
      }
    : { priority: rank, workClass: name, targetAtMs: startedAtMs + targetLatencyMs };
}

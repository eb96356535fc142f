/** Rank, class and times that admission goes by for a request of a route. Pure. */
import type { Route } from '../model/resource.js';
import type { Call } from './call.js';

/** The part of a call that admission goes by. */
export type CallWork = Pick<Call, 'priority' | 'workClass' | 'targetAtMs' | 'startByMs'>;

/** Ranks between two priorities: among equals, what has the shorter target latency goes first. */
const RANKS_PER_PRIORITY = 1_000_000;
/** Added to the rank of a request that will be answered late, so that it goes after all others. */
const LATE_RANK_OFFSET = 1_000_000_000;
/**
 * How long such a request waits for a slot at one endpoint at most, in milliseconds: two turns of an
 * endpoint with 8 slots and 200 ms of work. It takes a slot that is free without regard to this bound.
 */
const LATE_WAIT_MS = 50;
/** Ends the class of work that is answered late; measured apart, since it waits longer. */
const LATE_CLASS_SUFFIX = ' late';

/** The class of work; late work is one of its own, since it has room where work in time has none. */
export function workClassOf({ name }: Route, isLate: boolean): string {
  return isLate ? `${name}${LATE_CLASS_SUFFIX}` : name;
}

/**
 * What admission goes by for an attempt that begins now. The target latency decides the order of work,
 * and whether an attempt is made for an answer in time; one that `isLate` is refused by its deadline
 * only, or for lack of a slot.
 */
export function workOf(
  { name, spec }: Route,
  startedAtMs: number,
  nowMs: number,
  isLate: boolean,
): CallWork {
  const { priority = 0, targetLatencyMs } = spec;
  if (targetLatencyMs === undefined) {
    return { priority, workClass: name };
  }
  const rank = priority * RANKS_PER_PRIORITY + Math.round(targetLatencyMs);
  return isLate
    ? { priority: rank + LATE_RANK_OFFSET, workClass: name, startByMs: nowMs + LATE_WAIT_MS }
    : { priority: rank, workClass: name, targetAtMs: startedAtMs + targetLatencyMs };
}

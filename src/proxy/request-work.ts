/** Rank, class and times that admission goes by for a request of a route. Pure. */
import type { Route } from '../model/resource.js';
import type { WorkProfile } from '../routing/endpoint-strategy.js';
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
/** Ends the name by which endpoints turn late work away: it has room where work in time has none. */
const LATE_CLASS_SUFFIX = ' late';

/** The class by which endpoints turn work of the route away. */
export function refusalClassOf({ name }: Route, isLate: boolean): string {
  return isLate ? `${name}${LATE_CLASS_SUFFIX}` : name;
}

/** What the choice of an endpoint goes by; undefined for a route without a target. */
export function workProfileOf(route: Route, isLate: boolean): WorkProfile | undefined {
  const { targetLatencyMs } = route.spec;
  return targetLatencyMs === undefined
    ? undefined
    : {
        workClass: route.name,
        targetLatencyMs,
        refusalClass: refusalClassOf(route, isLate),
        isLate,
      };
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

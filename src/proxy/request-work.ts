/** Rank, class and times that admission goes by for a request of a route. Pure. */
import { lateRank, rankOfWork } from '../admission/work-rank.js';
import type { Route } from '../model/resource.js';
import type { WorkProfile } from '../routing/endpoint-strategy.js';
import type { Call } from './call.js';

/** The part of a call that admission goes by. */
export type CallWork = Pick<Call, 'priority' | 'workClass' | 'targetAtMs' | 'startByMs'>;

/** Part of its target latency for which late work waits for a slot at one endpoint; more where its pace says so. */
const LATE_WAIT_PART = 0.4;
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
 * What admission goes by for an attempt. The target latency decides the order of work, and whether an attempt is
 * made for an answer in time; one that `isLate` waits behind what can be in time of its priority, and is refused by
 * its deadline only, or for lack of room.
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
  const rank = rankOfWork(priority, targetLatencyMs);
  return isLate
    ? {
        priority: lateRank(rank),
        workClass: name,
        startByMs: nowMs + targetLatencyMs * LATE_WAIT_PART,
      }
    : { priority: rank, workClass: name, targetAtMs: startedAtMs + targetLatencyMs };
}

/** Priority, work class and time limits that a route's requests have in admission. Pure. */
import { lateRank, rankOfWork } from '../admission/work-rank.js';
import type { Route } from '../model/resource.js';
import type { WorkProfile } from '../routing/endpoint-strategy.js';
import type { Call } from './call.js';

/** The properties of a call that admission depends on. */
export type CallWork = Pick<Call, 'priority' | 'workClass' | 'targetAtMs' | 'startByMs'>;

/**
 * Share of its target latency for which a late request waits for a slot at one endpoint. Admission waits longer if the
 * endpoint's service times suggest it.
 */
const LATE_SLOT_WAIT_SHARE = 0.4;
/** Suffix of the refusal class of late work, which may be admitted where work in time is refused. */
const LATE_CLASS_SUFFIX = ' late';

/** Class under which endpoints' refusals of the route's requests are recorded. */
export function refusalClassOf({ name }: Route, isLate: boolean): string {
  return isLate ? `${name}${LATE_CLASS_SUFFIX}` : name;
}

/** Work profile for endpoint selection; undefined for a route without a target latency. */
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
 * The work of a request for which a slot is on offer: it is refused only because of its deadline, or if work in time has
 * taken the slot.
 */
export function offeredWork(work: CallWork, { spec }: Route, nowMs: number): CallWork {
  const { targetLatencyMs = 0 } = spec;
  return {
    ...work,
    targetAtMs: undefined,
    startByMs: nowMs + targetLatencyMs * LATE_SLOT_WAIT_SHARE,
  };
}

/**
 * Priority, work class and time limits of an attempt for admission. The target latency determines the order of requests
 * and whether an attempt must be answered in time. An attempt that `isLate` waits behind requests of its priority that
 * can still be in time, and is refused only because of its deadline or a lack of capacity.
 */
export function workOf(
  { name, spec }: Route,
  firstArrivedAtMs: number,
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
        startByMs: nowMs + targetLatencyMs * LATE_SLOT_WAIT_SHARE,
      }
    : { priority: rank, workClass: name, targetAtMs: firstArrivedAtMs + targetLatencyMs };
}

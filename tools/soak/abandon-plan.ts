/**
 * Draws faults under which callers leave in numbers: processes that are late, connections that are slow, back ends that
 * are slow, so that requests wait. Pure: the same seed gives the same plan.
 */
import { between, pick } from './draws.js';
import type { PlannedFault, PlanParams, SoakFault } from './fault-plan.js';

/** Mean time between two faults. */
const MEAN_GAP_MS = 700;
const MIN_FAULT_MS = 800;
const MAX_FAULT_MS = 3_000;
/** Time for which a late process does not run at a time: less than what callers notice. */
const MIN_REST_MS = 150;
const MAX_REST_MS = 420;
const RUN_MS = 8;
const MAX_STALL_MS = 400;

const KINDS = ['late', 'late', 'late', 'stall', 'backend-slow', 'narrow', 'configure'] as const;
/** What a narrow link passes each way. */
const NARROW_BYTES_PER_S = 200_000;

/** Draws the plan; its faults are ordered by time. */
export function planAbandons(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const fault = drawFault(params);
    plan.push({ atMs, fault });
    // One process is late at a time: two on the way of a request may add up to more than the bound.
    atMs += fault.kind === 'late' ? fault.forMs : 0;
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return plan;
}

function drawFault({ machines, random }: PlanParams): SoakFault {
  const kind = pick(KINDS, random);
  const forMs = between(MIN_FAULT_MS, MAX_FAULT_MS, random);
  const struck = [Math.floor(random() * machines)];
  switch (kind) {
    case 'late': {
      const restMs = between(MIN_REST_MS, MAX_REST_MS, random);
      return { kind, machines: struck, runMs: RUN_MS, restMs, forMs };
    }
    case 'stall': {
      const way = pick(['there', 'back', 'both'] as const, random);
      const delayMs = random() * MAX_STALL_MS;
      return { kind, machines: struck, way, rank: random(), delayMs, forMs };
    }
    case 'backend-slow':
      return { kind: 'backend-fault', machines: struck, fault: 'slow', share: 1, forMs };
    case 'narrow':
      return { kind, machines: struck, bytesPerS: NARROW_BYTES_PER_S, forMs };
    case 'configure':
      return { kind, forMs };
  }
}

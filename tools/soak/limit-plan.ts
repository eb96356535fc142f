/**
 * Draws times in which a back end names a rate limit. The limit may change meanwhile, and the node beside the back end
 * may be stopped, killed, frozen or cut off. Pure: the same seed gives the same plan.
 */
import { between, pick } from './draws.js';
import type { PlannedFault, PlanParams, SoakFault } from './fault-plan.js';

/** Limits in requests per second, all of them below what a back end of the soak gets. */
const RATES_PER_S = [0, 0.4, 1, 3.3, 8, 15];
const MIN_LIMITED_MS = 4_000;
const MAX_LIMITED_MS = 9_000;
/** Share of the times in which the limit changes once. */
const CHANGE_SHARE = 0.4;
/** Share of the times in which a fault strikes the node beside the back end. */
const NODE_FAULT_SHARE = 0.7;
/** Time from the first limit to the fault of the node, at most. */
const MAX_FAULT_DELAY_MS = 5_000;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 1_500;
/** Mean time between two limits. */
const MEAN_GAP_MS = 1_500;

const NODE_FAULTS = ['kill', 'stop', 'freeze', 'relay-link'] as const;

/** Draws the plan; its faults are ordered by time. */
export function planLimits(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    plan.push(...drawLimit(atMs, params));
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return plan.sort((left, right) => left.atMs - right.atMs);
}

function drawLimit(atMs: number, { machines, random }: PlanParams): PlannedFault[] {
  const struck = [Math.floor(random() * machines)];
  const count = random() < CHANGE_SHARE ? 2 : 1;
  const ratesPerS = Array.from({ length: count }, () => pick(RATES_PER_S, random));
  const forMs = between(MIN_LIMITED_MS, MAX_LIMITED_MS, random);
  const plan: PlannedFault[] = [
    { atMs, fault: { kind: 'backend-limit', machines: struck, ratesPerS, forMs } },
  ];
  if (random() < NODE_FAULT_SHARE) {
    plan.push({ atMs: atMs + random() * MAX_FAULT_DELAY_MS, fault: drawNodeFault(struck, random) });
  }
  return plan;
}

function drawNodeFault(machines: readonly number[], random: PlanParams['random']): SoakFault {
  const kind = pick(NODE_FAULTS, random);
  const forMs = between(MIN_FAULT_MS, MAX_FAULT_MS, random);
  return kind === 'relay-link'
    ? { kind, machines, state: 'silence', delayMs: 0, forMs }
    : { kind, machines, forMs };
}

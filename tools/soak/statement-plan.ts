/**
 * Draws what back ends state about themselves: rate limits, which may change, and that they leave. The node beside the
 * back end may be stopped, killed, frozen or cut off meanwhile. Pure: the same seed gives the same plan.
 */
import { between, pick } from './draws.js';
import type { PlannedFault, PlanParams, SoakFault } from './fault-plan.js';

/** Limits in requests per second, all of them below what a back end of the soak gets. */
const RATES_PER_S = [0, 0.4, 1, 3.3, 8, 15];
const MIN_LIMITED_MS = 4_000;
const MAX_LIMITED_MS = 9_000;
/** Share of the times in which the limit changes once. */
const CHANGE_SHARE = 0.4;
/** Share of the statements in which a fault strikes the node beside the back end. */
const NODE_FAULT_SHARE = 0.7;
/** Time from the statement to the fault of the node, at most. */
const MAX_FAULT_DELAY_MS = 5_000;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 1_500;
/** Mean time between two statements. */
const MEAN_GAP_MS = 1_500;
/** Share of the statements by which a back end leaves. */
const LEAVE_SHARE = 0.3;
/** Time for which a back end that leaves serves on. */
const MIN_SERVES_MS = 3_000;
const MAX_SERVES_MS = 6_000;
const MIN_GONE_MS = 200;
const MAX_GONE_MS = 1_500;

const NODE_FAULTS = ['kill', 'stop', 'freeze', 'relay-link'] as const;

/** Draws the plan; its faults are ordered by time. */
export function planStatements(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    plan.push(...drawStatement(atMs, params));
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return plan.sort((left, right) => left.atMs - right.atMs);
}

function drawStatement(atMs: number, { machines, random }: PlanParams): PlannedFault[] {
  const struck = [Math.floor(random() * machines)];
  const fault = random() < LEAVE_SHARE ? drawLeave(struck, random) : drawLimit(struck, random);
  const plan: PlannedFault[] = [{ atMs, fault }];
  if (random() < NODE_FAULT_SHARE) {
    plan.push({ atMs: atMs + random() * MAX_FAULT_DELAY_MS, fault: drawNodeFault(struck, random) });
  }
  return plan;
}

function drawLimit(machines: readonly number[], random: PlanParams['random']): SoakFault {
  const count = random() < CHANGE_SHARE ? 2 : 1;
  const ratesPerS = Array.from({ length: count }, () => pick(RATES_PER_S, random));
  const forMs = between(MIN_LIMITED_MS, MAX_LIMITED_MS, random);
  return { kind: 'backend-limit', machines, ratesPerS, forMs };
}

function drawLeave(machines: readonly number[], random: PlanParams['random']): SoakFault {
  const servesMs = between(MIN_SERVES_MS, MAX_SERVES_MS, random);
  const forMs = between(MIN_GONE_MS, MAX_GONE_MS, random);
  return { kind: 'backend-leave', machines, servesMs, forMs };
}

function drawNodeFault(machines: readonly number[], random: PlanParams['random']): SoakFault {
  const kind = pick(NODE_FAULTS, random);
  const forMs = between(MIN_FAULT_MS, MAX_FAULT_MS, random);
  return kind === 'relay-link'
    ? { kind, machines, state: 'silence', delayMs: 0, forMs }
    : { kind, machines, forMs };
}

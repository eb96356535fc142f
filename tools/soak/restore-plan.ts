/**
 * Draws restores of the store from backups. Configuration changes, drains of back ends and planned stops of
 * nodes take place between each backup and its outage, so that the restore loses the store's record of them,
 * and again after nodes have reconnected. Pure: the same seed gives the same plan.
 */
import { between } from './draws.js';
import type { PlannedFault, PlanParams, SoakFault } from './fault-plan.js';
import { SOAK_TERMS } from './soak-terms.js';

/** Time from the backup to the outage; writes in between are lost. */
const MIN_LOST_MS = 500;
const MAX_LOST_MS = 4_000;
const MIN_OUTAGE_MS = 200;
const MAX_OUTAGE_MS = 2_500;
const MAX_REWRITE_MS = 1_000;
/** Time from the rewrite until nodes are in touch again, with a margin. */
const IN_TOUCH_MS = SOAK_TERMS.contactMs + 300;
/** Number of changes before each outage, and again once nodes are in touch. */
const CHANGES = 5;
/** Time per change once nodes are in touch. */
const MS_PER_CHANGE = 800;
/** Share of the changes that stop a node or drain a back end; the others configure. */
const STOP_OR_DRAIN_SHARE = 0.4;
/** Share of stops among these. */
const STOP_SHARE = 0.5;
const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 1_500;

/** Draws the plan; its faults are ordered by time. */
export function planRestores(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const lostMs = between(MIN_LOST_MS, MAX_LOST_MS, random);
    const forMs = between(MIN_OUTAGE_MS, MAX_OUTAGE_MS, random);
    const rewriteMs = random() * MAX_REWRITE_MS;
    plan.push({ atMs, fault: { kind: 'store-restore', lostMs, forMs, rewriteMs } });
    plan.push(...drawChanges(atMs, lostMs, params));
    const inTouchAtMs = atMs + lostMs + forMs + rewriteMs + IN_TOUCH_MS;
    const changesMs = CHANGES * MS_PER_CHANGE;
    plan.push(...drawChanges(inTouchAtMs, changesMs, params));
    atMs = inTouchAtMs + changesMs + SOAK_TERMS.drainMs;
  }
  return plan.sort((left, right) => left.atMs - right.atMs);
}

function drawChanges(fromMs: number, forMs: number, params: PlanParams): PlannedFault[] {
  const { random } = params;
  return Array.from({ length: CHANGES }, () => ({
    atMs: fromMs + random() * forMs,
    fault: drawChange(params),
  }));
}

function drawChange({ machines, random }: PlanParams): SoakFault {
  const struck = [Math.floor(random() * machines)];
  if (random() >= STOP_OR_DRAIN_SHARE) {
    return { kind: 'configure', forMs: 0 };
  }
  const forMs = between(MIN_DOWN_MS, MAX_DOWN_MS, random);
  const kind = random() < STOP_SHARE ? 'stop' : 'backend-drain';
  return { kind, machines: struck, forMs };
}

/**
 * Draws restores of the store whose lost writes are repeated late, with nodes that start between the return of the store
 * and that rewrite; several nodes that fall silent at once, with a configuration in that moment; and configurations that
 * are not valid. Pure: the same seed gives the same plan.
 */
import { between, pick, shuffled } from './draws.js';
import type { PlannedFault, PlanParams } from './fault-plan.js';
import { INVALID_VARIANTS } from './soak-configuration.js';
import { SOAK_TERMS } from './soak-terms.js';

/** Time from the backup to the outage; writes in between are lost. */
const MIN_LOST_MS = 1_500;
const MAX_LOST_MS = 3_000;
const MIN_OUTAGE_MS = 600;
const MAX_OUTAGE_MS = 2_000;
/** Time from the return of the store until the lost writes are repeated. */
const MIN_REWRITE_MS = 4_000;
const MAX_REWRITE_MS = 7_000;
/** Share of the lost time after which the configurations are in force before the outage. */
const WRITTEN_BY = 0.3;
/** Time for which a back end serves on that drains, in milliseconds: beyond the rewrite. */
const SERVES_MS = 16_000;
const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 1_000;
/** Share of restores between whose return and rewrite another configuration is written. */
const CONFIGURED_MEANWHILE = 0.3;
const MAX_STARTED_SHARE = 0.75;
/** Share of the nodes that are killed before they start again; the others are stopped. */
const KILLED_SHARE = 0.8;
/** Time until nodes are in touch, with a margin. */
const IN_TOUCH_MS = SOAK_TERMS.contactMs + 300;
/** Time for which nodes are silent: the bound of a configuration and time to see it broken. */
const SILENT_MS = SOAK_TERMS.configApplyMs + 1_500;
const MAX_CONFIGURED_AFTER_MS = 400;
const MAX_SILENT_SHARE = 0.8;
/** Time from a configuration that is not valid to the next valid one. */
const CORRECTED_AFTER_MS = 1_200;

/** Draws the plan; its faults are ordered by time. */
export function planRestarts(params: PlanParams): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < params.durationMs) {
    for (const draw of [drawRestore, drawSilence, drawMisconfiguration]) {
      const { faults, endMs } = draw(atMs, params);
      plan.push(...faults);
      atMs = endMs;
    }
  }
  return plan.sort((left, right) => left.atMs - right.atMs);
}

/** Faults that belong together, and the time from which the next ones may follow. */
interface Episode {
  readonly faults: readonly PlannedFault[];
  readonly endMs: number;
}

/** Two configurations and the draining of a back end are lost; nodes start before they are written again. */
function drawRestore(fromMs: number, { machines, random }: PlanParams): Episode {
  const lostMs = between(MIN_LOST_MS, MAX_LOST_MS, random);
  const forMs = between(MIN_OUTAGE_MS, MAX_OUTAGE_MS, random);
  const rewriteMs = between(MIN_REWRITE_MS, MAX_REWRITE_MS, random);
  const outageAtMs = fromMs + lostMs;
  const backAtMs = outageAtMs + forMs;
  const rewrittenAtMs = backAtMs + rewriteMs;
  const drained = Math.floor(random() * machines);
  const startCount = 1 + Math.floor(random() * machines * MAX_STARTED_SHARE);
  const started = shuffled(machines, random).slice(0, startCount);
  const faults: PlannedFault[] = [
    { atMs: fromMs, fault: { kind: 'store-restore', lostMs, forMs, rewriteMs } },
    ...[0.1, WRITTEN_BY].map((share): PlannedFault => ({
      atMs: fromMs + lostMs * share,
      fault: { kind: 'configure', forMs: 0 },
    })),
    {
      atMs: fromMs + lostMs * WRITTEN_BY,
      fault: {
        kind: 'backend-drain',
        machines: [drained],
        servesMs: SERVES_MS,
        forMs: MIN_DOWN_MS,
      },
    },
  ];
  for (const machine of started) {
    const downMs = between(MIN_DOWN_MS, MAX_DOWN_MS, random);
    const startAtMs = between(outageAtMs + downMs, backAtMs + rewriteMs / 2, random);
    const kind = random() < KILLED_SHARE ? 'kill' : 'stop';
    faults.push({
      atMs: startAtMs - downMs,
      fault: { kind, machines: [machine], forMs: downMs },
    });
  }
  if (random() < CONFIGURED_MEANWHILE) {
    const atMs = between(backAtMs, rewrittenAtMs, random);
    faults.push({ atMs, fault: { kind: 'configure', forMs: 0 } });
  }
  return { faults, endMs: rewrittenAtMs + IN_TOUCH_MS };
}

/** Some nodes fall silent at once, a configuration comes in that moment, and they wake after its bound. */
function drawSilence(fromMs: number, { machines, random }: PlanParams): Episode {
  const most = Math.max(2, Math.floor(machines * MAX_SILENT_SHARE));
  const count = 2 + Math.floor(random() * (most - 1));
  const silent = shuffled(machines, random).slice(0, count);
  const configuredAtMs = fromMs + random() * MAX_CONFIGURED_AFTER_MS;
  return {
    faults: [
      { atMs: fromMs, fault: { kind: 'freeze', machines: silent, forMs: SILENT_MS } },
      { atMs: configuredAtMs, fault: { kind: 'configure', forMs: 0 } },
    ],
    endMs: fromMs + SILENT_MS + IN_TOUCH_MS,
  };
}

function drawMisconfiguration(fromMs: number, { random }: PlanParams): Episode {
  const variant = pick(INVALID_VARIANTS, random);
  return {
    faults: [
      { atMs: fromMs, fault: { kind: 'misconfigure', variant, forMs: 0 } },
      { atMs: fromMs + CORRECTED_AFTER_MS, fault: { kind: 'configure', forMs: 0 } },
    ],
    endMs: fromMs + CORRECTED_AFTER_MS + SOAK_TERMS.configApplyMs,
  };
}

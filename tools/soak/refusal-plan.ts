/**
 * Draws times in which the store refuses, throttles, drops or delays the reads of some machines while it serves the others,
 * each with a configuration in the moment that it begins; in some of them nodes start, or the store is restored from a
 * backup. Pure: the same seed gives the same plan.
 */
import type { RandomSource } from '../../src/control/control-event.js';
import { between, pick, shuffled } from './draws.js';
import type { PlannedFault, PlanParams, StoreRefusal } from './fault-plan.js';
import { SOAK_TERMS } from './soak-terms.js';

const REFUSALS: readonly StoreRefusal[] = ['throttled', 'busy', 'reset', 'silent', 'slow'];
/** Time for which machines are refused: the bound of a configuration and time to see it broken. */
const MIN_REFUSED_MS = SOAK_TERMS.configApplyMs + 1_500;
const MAX_REFUSED_MS = 7_000;
const MAX_PAUSE_MS = 1_500;
/** Time from the beginning to the configuration, at most. */
const MAX_CONFIGURED_AFTER_MS = 400;
const CUT_SHARE = 0.5;
/** Shares of the episodes in which all machines but one are refused, nodes start, and the store is restored. */
const ONE_SERVED_SHARE = 0.4;
const START_SHARE = 0.5;
const RESTORE_SHARE = 0.15;
const MAX_STARTED_SHARE = 0.3;
const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 1_000;
/** Writes of the last so many milliseconds before a restore are lost, and repeated after it. */
const LOST_MS = 500;
const OUTAGE_MS = 400;
const MAX_REWRITE_MS = 2_000;

/** Draws the plan; its faults are ordered by time. */
export function planRefusals(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const forMs = between(MIN_REFUSED_MS, MAX_REFUSED_MS, random);
    plan.push(...drawEpisode(atMs, forMs, params));
    atMs += forMs + random() * MAX_PAUSE_MS;
  }
  return plan.sort((left, right) => left.atMs - right.atMs);
}

function drawEpisode(fromMs: number, forMs: number, params: PlanParams): PlannedFault[] {
  const { machines, random } = params;
  const most = machines - 1;
  const count = random() < ONE_SERVED_SHARE ? most : 1 + Math.floor(random() * most);
  const order = shuffled(machines, random);
  const refused = order.slice(0, count);
  const refusal = pick(REFUSALS, random);
  const cutsWatches = random() < CUT_SHARE;
  const configuredAtMs = fromMs + random() * MAX_CONFIGURED_AFTER_MS;
  return [
    {
      atMs: fromMs,
      fault: { kind: 'store-refusal', machines: refused, refusal, cutsWatches, forMs },
    },
    { atMs: configuredAtMs, fault: { kind: 'configure', forMs: 0 } },
    ...(random() < START_SHARE ? drawStarts(fromMs, order.slice(0, most), random) : []),
    ...(random() < RESTORE_SHARE ? drawRestore(fromMs, forMs, params) : []),
  ];
}

/**
 * Nodes among `machines` end before machines are refused, and start about then. They leave out one that is served: if the
 * only one ends, nobody has the configuration.
 */
function drawStarts(
  fromMs: number,
  machines: readonly number[],
  random: RandomSource,
): PlannedFault[] {
  const count = 1 + Math.floor(random() * machines.length * MAX_STARTED_SHARE);
  return shuffled(machines.length, random)
    .slice(0, count)
    .flatMap((idx) => machines[idx] ?? [])
    .map((machine) => {
      const forMs = between(MIN_DOWN_MS, MAX_DOWN_MS, random);
      const atMs = Math.max(0, fromMs - random() * forMs);
      return { atMs, fault: { kind: 'kill', machines: [machine], forMs } };
    });
}

/** The store is restored while machines are refused; a configuration comes once all machines are in touch again. */
function drawRestore(fromMs: number, forMs: number, { random }: PlanParams): PlannedFault[] {
  const rewriteMs = random() * MAX_REWRITE_MS;
  const atMs = fromMs + MAX_CONFIGURED_AFTER_MS + random() * (forMs / 2);
  const configuredAtMs = atMs + LOST_MS + OUTAGE_MS + rewriteMs + 100;
  return [
    { atMs, fault: { kind: 'store-restore', lostMs: LOST_MS, forMs: OUTAGE_MS, rewriteMs } },
    { atMs: configuredAtMs, fault: { kind: 'configure', forMs: 0 } },
  ];
}

/**
 * Draws silences on each kind of link, both ways and each way alone, and what strikes machines while they
 * stop: silences of their own links, reloads, configurations, and the next stop while they start again.
 * Pure: the same seed gives the same plan, and leaves other plans as they are.
 */
import { between, pick } from './draws.js';
import {
  drawMachines,
  type LinkFaultKind,
  type PlannedFault,
  type PlanParams,
  type SoakFault,
} from './fault-plan.js';
import type { LinkState } from './link-proxy.js';

/** Mean time between two silences outside of stops, in milliseconds. */
const MEAN_GAP_MS = 2_500;
/** Shares of the stops that have each thing beside them. */
const SILENCE_SHARE = 0.6;
const RELOAD_SHARE = 0.4;
const CONFIGURE_SHARE = 0.3;
const STOP_AGAIN_SHARE = 0.3;
/** Time from a stop to what comes beside it, at most: within the stop. */
const MAX_BESIDE_MS = 3_000;
/** Time from a stop to the next of the same machine: it ends, is gone, and starts meanwhile. */
const MIN_STOP_AGAIN_MS = 3_000;
const MAX_STOP_AGAIN_MS = 8_000;

/** Each as often as it is to be drawn. */
const SILENCED_LINKS: readonly LinkFaultKind[] = [
  'relay-link',
  'store-link',
  'backend-link',
  'caller-link',
  'caller-link',
];
const SILENCES: readonly LinkState[] = ['open-silence', 'open-one-way', 'open-other-way'];

/** Draws what comes beside the planned faults, which are not changed. */
export function planSilences(params: PlanParams, planned: readonly PlannedFault[]): PlannedFault[] {
  const { durationMs, random } = params;
  const plan: PlannedFault[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += -Math.log(1 - random()) * MEAN_GAP_MS) {
    plan.push({ atMs, fault: drawSilence(drawMachines(params.machines, random), params) });
  }
  for (const { atMs, fault } of planned) {
    if (fault.kind === 'stop') {
      plan.push(...drawBeside(atMs, fault.machines, params));
    }
  }
  return plan.filter(({ atMs }) => atMs < durationMs).sort((left, right) => left.atMs - right.atMs);
}

function drawBeside(
  stopAtMs: number,
  machines: readonly number[],
  params: PlanParams,
): PlannedFault[] {
  const { random } = params;
  const beside = (fault: SoakFault): PlannedFault => ({
    atMs: stopAtMs + random() * MAX_BESIDE_MS,
    fault,
  });
  const plan: PlannedFault[] = [];
  if (random() < SILENCE_SHARE) {
    plan.push(beside(drawSilence(machines, params)));
  }
  if (random() < RELOAD_SHARE) {
    plan.push(beside({ kind: 'reload', machines, forMs: 0 }));
  }
  if (random() < CONFIGURE_SHARE) {
    plan.push(beside({ kind: 'configure', forMs: 0 }));
  }
  if (random() < STOP_AGAIN_SHARE) {
    const againMs = between(MIN_STOP_AGAIN_MS, MAX_STOP_AGAIN_MS, random);
    plan.push({ atMs: stopAtMs + againMs, fault: { kind: 'stop', machines, forMs: 0 } });
  }
  return plan;
}

function drawSilence(machines: readonly number[], { random }: PlanParams): SoakFault {
  const kind = pick(SILENCED_LINKS, random);
  return { kind, machines, state: pick(SILENCES, random), delayMs: 0, forMs: 0 };
}

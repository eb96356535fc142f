/**
 * Draws planned work alone, all kinds of it, overlapping: rolls, nodes that are told to stop again just after
 * their start, reloads, releases, scale-ins, storms and large configurations. Nothing fails, so nothing
 * excuses a request that is lost, until the end: right after a configuration, all nodes lose power. Pure: the
 * same seed gives the same plan.
 */
import { between } from './draws.js';
import type { PlannedFault, PlanParams } from './fault-plan.js';
import { drawBeside, drawRoll, drawTimes } from './roll-plan.js';

const MAX_ROLL_GAP_MS = 4_000;
/** Share of the stops after which the node is told to stop again, and when at most. */
const AGAIN_SHARE = 0.25;
const MAX_AGAIN_AFTER_MS = 1_500;
const MEAN_RELOAD_GAP_MS = 2_000;
const MEAN_LARGE_GAP_MS = 10_000;
const MOST_FILLERS = 1_400;
/** Time from the last planned work to the loss of power: the longest stop, twice. */
const POWER_AFTER_MS = 15_000;
/** Time from the last configuration to the loss of power, at most, and how long it lasts. */
const MAX_POWER_DELAY_MS = 100;
const POWER_MS = 1_000;

/** Draws the plan; it is in the order of its times. */
export function planPlannedWork(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan = [...drawReloads(params), ...drawLargeConfigurations(params)];
  let atMs = between(0, MAX_ROLL_GAP_MS, random);
  while (atMs < durationMs) {
    const stops = drawRoll(atMs, params, 0).map((stop) => stopAgain(stop, params));
    plan.push(...stops, ...drawBeside(atMs, params));
    const lastAtMs = Math.max(...stops.map((stop) => stop.atMs));
    atMs = lastAtMs + between(0, MAX_ROLL_GAP_MS, random);
  }
  return [
    ...plan
      .filter((planned) => planned.atMs < durationMs)
      .sort((left, right) => left.atMs - right.atMs),
    ...drawLossOfPower(params),
  ];
}

function stopAgain({ atMs, fault }: PlannedFault, { random }: PlanParams): PlannedFault {
  if (fault.kind !== 'stop' || random() >= AGAIN_SHARE) {
    return { atMs, fault };
  }
  return { atMs, fault: { ...fault, againAfterMs: random() * MAX_AGAIN_AFTER_MS } };
}

function drawReloads(params: PlanParams): PlannedFault[] {
  const { machines, random } = params;
  return drawTimes(MEAN_RELOAD_GAP_MS, params).map((atMs) => {
    const struck = [Math.floor(random() * machines)];
    return { atMs, fault: { kind: 'reload', machines: struck, forMs: 0 } };
  });
}

function drawLargeConfigurations(params: PlanParams): PlannedFault[] {
  return drawTimes(MEAN_LARGE_GAP_MS, params).map((atMs) => {
    const fillers = Math.round(params.random() * MOST_FILLERS);
    return { atMs, fault: { kind: 'configure', fillers, forMs: 0 } };
  });
}

function drawLossOfPower({ machines, durationMs, random }: PlanParams): PlannedFault[] {
  const atMs = durationMs + POWER_AFTER_MS;
  const all = Array.from({ length: machines }, (_, idx) => idx);
  return [
    { atMs, fault: { kind: 'configure', fillers: 0, forMs: 0 } },
    {
      atMs: atMs + random() * MAX_POWER_DELAY_MS,
      fault: { kind: 'kill', machines: all, forMs: POWER_MS },
    },
  ];
}

/**
 * Draws rolls: planned stops of a large share of the machines, several at a time, each of which starts
 * again. Beside them back ends are released or leave for a while, configurations come in storms, single
 * connections between nodes are slow without losing a byte, and processes stand still for a moment. Nothing
 * is killed, reset or lost. Pure: the same seed gives the same plan.
 */
import { between, pick, shuffled } from './draws.js';
import type { PlannedFault, PlanParams, SoakFault } from './fault-plan.js';
import type { StalledWay } from './link-proxy.js';

/** Share of the machines that a roll stops, at least and at most. */
const MIN_ROLLED_SHARE = 0.43;
const MAX_ROLLED_SHARE = 0.8;
/** Machines that are told to stop at once: two, or one of so many. */
const LEAST_AT_ONCE = 2;
const MACHINES_PER_STOP = 20;
/** Time between two machines that are told at once, at most, and between two groups of them. */
const MAX_APART_MS = 400;
const MIN_GROUP_GAP_MS = 700;
const MAX_GROUP_GAP_MS = 2_000;
/** Time from the last stop of a roll to the next roll, at least and at most. */
const MIN_ROLL_GAP_MS = 3_000;
const MAX_ROLL_GAP_MS = 7_000;
/** Time for which a process that was ended is not there. */
const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 1_500;
/** Time from a stop to the stalls beside it, at most: within the stop. */
const MAX_BESIDE_MS = 3_000;
const STALLS_BESIDE_STOP = 2;
/** Mean time between two stalls of one machine's connections outside of stops. */
const MEAN_STALL_GAP_MS = 4_000;
const MIN_STALL_MS = 300;
const MAX_STALL_MS = 2_500;
/** Of the stalls, those that hold all back until their end; the others delay each piece. */
const HELD_SHARE = 0.7;
const MIN_DELAY_MS = 200;
const MAX_DELAY_MS = 900;
/** Mean time between two processes that stand still, and for how long. */
const MEAN_FREEZE_GAP_MS = 6_000;
const MIN_FREEZE_MS = 100;
const MAX_FREEZE_MS = 2_000;
/** Shares of the rolls that have each thing beside them. */
const RELEASE_SHARE = 0.7;
const SCALE_IN_SHARE = 0.5;
const STORM_SHARE = 0.7;
/** Share of the machines whose back ends a release replaces, and that a scale-in takes away. */
const RELEASED_SHARE = 0.5;
const LEAVING_SHARE = 0.2;
const MOVING_SHARE = 0.5;
const MIN_RELEASE_GAP_MS = 200;
const MAX_RELEASE_GAP_MS = 1_200;
const MIN_AWAY_MS = 3_000;
const MAX_AWAY_MS = 6_000;
/** Configurations of a storm, and the time between two of them. */
const MIN_STORM = 5;
const MAX_STORM = 15;
const MIN_STORM_GAP_MS = 50;
const MAX_STORM_GAP_MS = 300;

const WAYS: readonly StalledWay[] = ['there', 'back', 'both'];

/** Draws the rolls and what comes beside them; the faults are in the order of their times. */
export function planRolls(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan = [...drawStalls(params), ...drawFreezes(params)];
  let atMs = between(0, MIN_ROLL_GAP_MS, random);
  while (atMs < durationMs) {
    const stops = drawRoll(atMs, params);
    plan.push(...stops, ...drawBeside(atMs, params));
    const lastAtMs = Math.max(...stops.map((stop) => stop.atMs));
    atMs = lastAtMs + between(MIN_ROLL_GAP_MS, MAX_ROLL_GAP_MS, random);
  }
  return plan
    .filter((planned) => planned.atMs < durationMs)
    .sort((left, right) => left.atMs - right.atMs);
}

/** Stops groups of machines one after the other, with slow connections to each of these meanwhile. */
export function drawRoll(
  fromMs: number,
  params: PlanParams,
  stallsBeside = STALLS_BESIDE_STOP,
): PlannedFault[] {
  const { machines, random } = params;
  const share = between(MIN_ROLLED_SHARE, MAX_ROLLED_SHARE, random);
  const struck = shuffled(machines, random).slice(0, Math.ceil(machines * share));
  const atOnce = Math.max(LEAST_AT_ONCE, Math.ceil(machines / MACHINES_PER_STOP));
  const plan: PlannedFault[] = [];
  let groupAtMs = fromMs;
  struck.forEach((idx, place) => {
    if (place > 0 && place % atOnce === 0) {
      groupAtMs += between(MIN_GROUP_GAP_MS, MAX_GROUP_GAP_MS, random);
    }
    const atMs = groupAtMs + random() * MAX_APART_MS;
    const forMs = between(MIN_DOWN_MS, MAX_DOWN_MS, random);
    plan.push({ atMs, fault: { kind: 'stop', machines: [idx], forMs } });
    for (let count = 0; count < stallsBeside; count += 1) {
      plan.push({ atMs: atMs + random() * MAX_BESIDE_MS, fault: drawStall([idx], params) });
    }
  });
  return plan;
}

/** What comes beside a roll: back ends that are released or leave, and a storm of configurations. */
export function drawBeside(fromMs: number, params: PlanParams): PlannedFault[] {
  const { random } = params;
  return [
    ...(random() < RELEASE_SHARE ? drawRelease(fromMs, params) : []),
    ...(random() < SCALE_IN_SHARE ? drawScaleIn(fromMs, params) : []),
    ...(random() < STORM_SHARE ? drawStorm(fromMs, params) : []),
  ];
}

/** Back ends leave one after the other and come back as new ones, some at another address. */
function drawRelease(fromMs: number, { machines, random }: PlanParams): PlannedFault[] {
  let atMs = fromMs;
  return shuffled(machines, random)
    .slice(0, Math.ceil(machines * RELEASED_SHARE))
    .map((idx) => {
      atMs += between(MIN_RELEASE_GAP_MS, MAX_RELEASE_GAP_MS, random);
      const forMs = between(MIN_DOWN_MS, MAX_DOWN_MS, random);
      const moves = random() < MOVING_SHARE;
      return { atMs, fault: { kind: 'backend-drain', machines: [idx], moves, forMs } };
    });
}

/** Back ends leave together and stay away for a while. */
function drawScaleIn(fromMs: number, { machines, random }: PlanParams): PlannedFault[] {
  const struck = shuffled(machines, random).slice(0, Math.ceil(machines * LEAVING_SHARE));
  const forMs = between(MIN_AWAY_MS, MAX_AWAY_MS, random);
  const atMs = fromMs + random() * MAX_BESIDE_MS;
  return [{ atMs, fault: { kind: 'backend-drain', machines: struck, forMs } }];
}

function drawStorm(fromMs: number, { random }: PlanParams): PlannedFault[] {
  const count = Math.round(between(MIN_STORM, MAX_STORM, random));
  let atMs = fromMs + random() * MAX_BESIDE_MS;
  return Array.from({ length: count }, () => {
    atMs += between(MIN_STORM_GAP_MS, MAX_STORM_GAP_MS, random);
    return { atMs, fault: { kind: 'configure', forMs: 0 } };
  });
}

function drawStalls(params: PlanParams): PlannedFault[] {
  const { machines, random } = params;
  return drawTimes(MEAN_STALL_GAP_MS / machines, params).map((atMs) => ({
    atMs,
    fault: drawStall([Math.floor(random() * machines)], params),
  }));
}

function drawStall(machines: readonly number[], { random }: PlanParams): SoakFault {
  const delayMs = random() < HELD_SHARE ? Infinity : between(MIN_DELAY_MS, MAX_DELAY_MS, random);
  const way = pick(WAYS, random);
  const forMs = between(MIN_STALL_MS, MAX_STALL_MS, random);
  return { kind: 'stall', machines, way, rank: random(), delayMs, forMs };
}

function drawFreezes(params: PlanParams): PlannedFault[] {
  const { machines, random } = params;
  return drawTimes(MEAN_FREEZE_GAP_MS, params).map((atMs) => {
    const struck = [Math.floor(random() * machines)];
    const forMs = between(MIN_FREEZE_MS, MAX_FREEZE_MS, random);
    return { atMs, fault: { kind: 'freeze', machines: struck, forMs } };
  });
}

/** Times by chance, so far apart on the mean. */
export function drawTimes(meanGapMs: number, { durationMs, random }: PlanParams): number[] {
  const times: number[] = [];
  let atMs = -Math.log(1 - random()) * meanGapMs;
  while (atMs < durationMs) {
    times.push(atMs);
    atMs += -Math.log(1 - random()) * meanGapMs;
  }
  return times;
}

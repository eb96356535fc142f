/**
 * Draws what comes in series during a soak: stops of one machine after the other, reloads, releases of
 * back ends, changes of configuration, connections that go silent and links that get narrow. Pure: the
 * same seed gives the same plan. It has random numbers of its own, so that it leaves the plan of single
 * faults as it is.
 */
import { between, pick, shuffled } from './draws.js';
import {
  drawMachines,
  type LinkFaultKind,
  type PlannedFault,
  type PlanParams,
  type SoakFault,
} from './fault-plan.js';
import type { LinkState } from './link-proxy.js';

/** Mean time from the start of one series to that of the next; a rolling stop takes longer. */
const MEAN_SERIES_GAP_MS = 4_000;
/** Time between two stops of a series: below the time that a stop takes under traffic. */
const MIN_STOP_GAP_MS = 200;
const MAX_STOP_GAP_MS = 2_000;
/** Time between the leaving of two back ends of a release. */
const MIN_RELEASE_GAP_MS = 200;
const MAX_RELEASE_GAP_MS = 1_500;
/** Time for which a process that was ended is not there. */
const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 1_500;
/** Time from a stop to what comes beside it, at most: within the stop. */
const MAX_BESIDE_MS = 4_000;
const RELOAD_SHARE = 0.4;
const CONFIGURE_SHARE = 0.3;
const RELEASE_SHARE = 0.5;
const SILENCE_SHARE = 0.3;
/** A narrow link passes 1.6 to 3.2 Mbit/s. */
const MIN_NARROW_BYTES_PER_S = 200_000;
const MAX_NARROW_BYTES_PER_S = 400_000;
const MIN_NARROW_MS = 2_000;
const MAX_NARROW_MS = 6_000;

const SILENCED_LINKS: readonly LinkFaultKind[] = ['relay-link', 'store-link', 'backend-link'];
const SILENCES: readonly LinkState[] = ['open-silence', 'open-one-way'];
const SERIES = ['rolling-stop', 'rolling-stop', 'release', 'silence', 'narrow'] as const;

/** Draws the series; their faults are in the order of their times and overlap. */
export function planSeries(params: PlanParams): PlannedFault[] {
  const { durationMs, random } = params;
  const plan: PlannedFault[] = [];
  let atMs = random() * MEAN_SERIES_GAP_MS;
  while (atMs < durationMs) {
    plan.push(...drawSeries(atMs, params));
    atMs += -Math.log(1 - random()) * MEAN_SERIES_GAP_MS;
  }
  return plan
    .filter((planned) => planned.atMs < durationMs)
    .sort((left, right) => left.atMs - right.atMs);
}

function drawSeries(atMs: number, params: PlanParams): PlannedFault[] {
  const { machines, random } = params;
  switch (pick(SERIES, random)) {
    case 'rolling-stop':
      return drawRollingStop(atMs, params);
    case 'release':
      return drawRelease(atMs, params);
    case 'silence':
      return [{ atMs, fault: drawSilence(params) }];
    case 'narrow': {
      const bytesPerS = between(MIN_NARROW_BYTES_PER_S, MAX_NARROW_BYTES_PER_S, random);
      const forMs = between(MIN_NARROW_MS, MAX_NARROW_MS, random);
      const struck = drawMachines(machines, random);
      return [{ atMs, fault: { kind: 'narrow', machines: struck, bytesPerS, forMs } }];
    }
  }
}

/** Stops two machines or more, one after the other; other things happen beside each stop. */
function drawRollingStop(fromMs: number, params: PlanParams): PlannedFault[] {
  const { machines, random } = params;
  const plan: PlannedFault[] = [];
  const count = Math.min(machines, 2 + Math.floor(random() * (machines - 1)));
  let atMs = fromMs;
  for (const idx of shuffled(machines, random).slice(0, count)) {
    const forMs = between(MIN_DOWN_MS, MAX_DOWN_MS, random);
    plan.push({ atMs, fault: { kind: 'stop', machines: [idx], forMs } });
    plan.push(...drawBeside(atMs, params));
    atMs += between(MIN_STOP_GAP_MS, MAX_STOP_GAP_MS, random);
  }
  return random() < RELEASE_SHARE ? plan.concat(drawRelease(fromMs, params)) : plan;
}

/** What happens while a machine stops, each at a time of its own. */
function drawBeside(stopAtMs: number, params: PlanParams): PlannedFault[] {
  const { machines, random } = params;
  const faults: SoakFault[] = [];
  if (random() < RELOAD_SHARE) {
    faults.push({ kind: 'reload', machines: drawMachines(machines, random), forMs: 0 });
  }
  if (random() < CONFIGURE_SHARE) {
    faults.push({ kind: 'configure', forMs: 0 });
  }
  if (random() < SILENCE_SHARE) {
    faults.push(drawSilence(params));
  }
  return faults.map((fault) => ({ atMs: stopAtMs + random() * MAX_BESIDE_MS, fault }));
}

/** Back ends of half of the machines leave, one after the other, and come back as new ones. */
function drawRelease(fromMs: number, { machines, random }: PlanParams): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let atMs = fromMs;
  for (const idx of shuffled(machines, random).slice(0, Math.ceil(machines / 2))) {
    const forMs = between(MIN_DOWN_MS, MAX_DOWN_MS, random);
    plan.push({ atMs, fault: { kind: 'backend-drain', machines: [idx], forMs } });
    atMs += between(MIN_RELEASE_GAP_MS, MAX_RELEASE_GAP_MS, random);
  }
  return plan;
}

function drawSilence({ machines, random }: PlanParams): SoakFault {
  const kind = pick(SILENCED_LINKS, random);
  const state = pick(SILENCES, random);
  return { kind, machines: drawMachines(machines, random), state, delayMs: 0, forMs: 0 };
}

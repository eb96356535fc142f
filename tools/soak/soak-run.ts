/** One soak: start, faults under traffic, a calm end, and the verdict. */
import { setTimeout as delay } from 'node:timers/promises';
import { seededRandom } from '../emulator/seeded-random.js';
import { AbandonTraffic } from './abandon-traffic.js';
import { planAbandons } from './abandon-plan.js';
import { BackendCalls } from './backend-calls.js';
import { CoreWatch } from './core-watch.js';
import { CrashTraffic } from './crash-traffic.js';
import { planSoak, type PlannedFault, type PlanParams } from './fault-plan.js';
import { SoakFaultInjector } from './fault-injector.js';
import { PauseWatch } from './pause-watch.js';
import { PipelinedTraffic } from './pipelined-traffic.js';
import { planStatements } from './statement-plan.js';
import { planPlannedWork } from './planned-plan.js';
import { ProcessorTurns } from './processor-turns.js';
import type { SoakShape } from './soak-shape.js';
import type { BrokenPromise } from './broken-promise.js';
import { judgeSoak } from './promises.js';
import { planRestarts } from './restart-plan.js';
import { planRefusals } from './refusal-plan.js';
import { planRestores } from './restore-plan.js';
import { planRolls } from './roll-plan.js';
import { planSeries } from './series-plan.js';
import { planSilences } from './silence-plan.js';
import { serviceOf, SoakFleet } from './soak-fleet.js';
import { SOAK_TERMS } from './soak-terms.js';
import type { SoakArrival, SoakCall, SoakRecord } from './soak-record.js';
import { SoakTraffic } from './soak-traffic.js';
import { UploadTraffic } from './upload-traffic.js';

/** Traffic before the first fault: the programs start meanwhile. */
const WARM_UP_MS = 4_000;
/** Traffic after the recovery from the last fault. */
const CALM_MS = 3_000;
/** Streams of random numbers under one seed. */
const PLAN_STREAM = 0;
const TRAFFIC_STREAM = 1;
const BACKEND_STREAM = 2;
const SERIES_STREAM = 3;
const UPLOAD_STREAM = 4;
const SILENCE_STREAM = 5;
const CRASH_STREAM = 6;
const ROLL_STREAM = 7;
const PLANNED_STREAM = 8;
const PIPELINE_STREAM = 9;
const PROCESSOR_STREAM = 10;
const RESTORE_STREAM = 11;
const STATEMENT_STREAM = 12;
const ABANDON_STREAM = 13;
const ABANDON_TRAFFIC_STREAM = 14;
const RESTART_STREAM = 15;
const REFUSAL_STREAM = 16;
/** Share of the short requests that work for long, beside rolls. */
const LONG_SHARE = 0.1;
/** Share of the short requests on the route that moves, and on routes that no valid configuration has. */
const MOVED_SHARE = 0.15;
const INVALID_SHARE = 0.05;
/** What the link to a node passes each way: 7 Mbit/s, as machines of the users' deployments have. */
const LINK_BYTES_PER_S = 875_000;

/**
 * What happens in a soak:
 *
 * - `faults`: single faults, under short requests.
 * - `series`: the same faults, and beside them what comes in series, under uploads and callers that keep
 *   their connections too, over links that pass only so much.
 * - `silences`: the same series, and beside them silences on every kind of link, callers' ones too, and on
 *   the links of machines that stop.
 * - `crashes`: the same series, and callers that send requests again and again which end back ends.
 * - `rolls`: planned stops of many machines at a time, beside releases, storms of configurations, single
 *   connections that are slow and processes that stand still for a moment, under uploads, long requests and
 *   callers that keep their connections. Nothing is killed or lost.
 * - `planned`: planned work alone, under the same callers: stops, also just after a start, reloads, releases,
 *   storms and large configurations; in the end all nodes lose power right after a configuration.
 * - `restores`: the store is restored from backups; configuration changes, drains of back ends and planned
 *   stops take place before and after each restore.
 * - `restarts`: the store is restored from backups, its lost writes are repeated late, and nodes start before that; several
 *   nodes are silent at once, with a configuration in that moment; and some configurations are not valid.
 * - `refusals`: the store refuses, throttles, drops or delays the reads of some machines while it serves the others, with
 *   configurations, starts and restores meanwhile.
 * - `statements`: back ends name rate limits, which change and end, and say that they leave; the nodes beside them are
 *   stopped, killed, frozen and cut off meanwhile.
 * - `abandons`: callers leave in groups before they are answered, at processes that are late, beside connections and back
 *   ends that are slow.
 */
export const SOAK_PLANS = [
  'faults',
  'series',
  'silences',
  'crashes',
  'rolls',
  'planned',
  'restores',
  'restarts',
  'refusals',
  'statements',
  'abandons',
] as const;

/** What happens in a soak. */
export type SoakPlan = (typeof SOAK_PLANS)[number];

/** How to run. */
export interface SoakParams {
  readonly seed: number;
  readonly faultsMs: number;
  readonly machines: number;
  /** Zones of about the same size; see {@link SoakFleetParams}. */
  readonly zones?: number | undefined;
  readonly perSecond: number;
  readonly plan: SoakPlan;
  /** Uploads a second, of all machines together, in a soak with series. */
  readonly uploadsPerSecond: number;
  /** The shape of a deployment; callers send one request at a time on a connection when it is absent. */
  readonly shape?: SoakShape | undefined;
  /** Whether the nodes run the bundle, started as it is deployed; the compiled program when absent. */
  readonly isDeployed?: boolean;
  /**
   * Whether back ends record their rate limits and that they leave, but do not state it, so that the promises break;
   * false when absent.
   */
  readonly hidesStatements?: boolean;
  /** Whether callers that leave keep their connections open, so that the promises break; false when absent. */
  readonly hidesLeaves?: boolean;
  /** The first two numbers of the loopback network. */
  readonly network: string;
  readonly say: (text: string) => void;
  readonly onLogLine?: (machine: number, line: string) => void;
  /** Gets the fleet once it is there, to end its processes in an emergency. */
  readonly onFleet?: (fleet: SoakFleet) => void;
}

/** What back ends have seen, and asked in turn. */
interface SeenAtBackends {
  readonly arrivals: readonly SoakArrival[];
  readonly backendCalls: BackendCalls;
}

/** What a soak came to. */
export interface SoakResult {
  readonly broken: readonly BrokenPromise[];
  readonly record: SoakRecord;
}

/** Runs a soak to its end; every process that it started has ended then. */
export async function runSoak(params: SoakParams): Promise<SoakResult> {
  const beganAtMs = performance.now();
  const nowMs = (): number => performance.now() - beganAtMs;
  const arrivals: SoakArrival[] = [];
  const backendCalls = new BackendCalls(nowMs);
  const fleet = await SoakFleet.start({
    network: params.network,
    machines: params.machines,
    zones: params.zones,
    linkBytesPerS: hasSeries(params) ? LINK_BYTES_PER_S : Infinity,
    // What stands before a back end that is gone takes connections in its place, which hides its end.
    hasBackendLinks: params.plan === 'series' || params.plan === 'silences',
    hasCallerLinks: params.plan === 'silences',
    isDeployed: params.isDeployed === true,
    onCalls: (machine, run) => backendCalls.make(machine, run),
    random: seededRandom(params.seed, BACKEND_STREAM),
    nowMs,
    onArrival: (arrival) => arrivals.push(arrival),
    onLogLine: params.onLogLine ?? (() => undefined),
  });
  params.onFleet?.(fleet);
  try {
    return await soakFleet(params, fleet, { arrivals, backendCalls }, nowMs);
  } finally {
    backendCalls.close();
    await fleet.close();
  }
}

async function soakFleet(
  params: SoakParams,
  fleet: SoakFleet,
  { arrivals, backendCalls }: SeenAtBackends,
  nowMs: () => number,
): Promise<SoakResult> {
  const { seed, say, machines, perSecond } = params;
  const random = seededRandom(seed, TRAFFIC_STREAM);
  const { hidesStatements = false } = params;
  const injector = new SoakFaultInjector({ fleet, nowMs, say, hidesStatements });
  const traffic = new SoakTraffic({
    ...{ fleet, random, nowMs, perSecond },
    longShare: hasLongRequests(params) ? LONG_SHARE : 0,
    movedShare: hasMovedRoutes(params) ? MOVED_SHARE : 0,
    invalidShare: params.plan === 'restarts' ? INVALID_SHARE : 0,
  });
  const uploads = new UploadTraffic({
    ...{ fleet, nowMs, perSecond: params.uploadsPerSecond },
    random: seededRandom(seed, UPLOAD_STREAM),
  });
  const crashing = new CrashTraffic({ fleet, nowMs, random: seededRandom(seed, CRASH_STREAM) });
  const abandoning = new AbandonTraffic({
    ...{ fleet, nowMs, hidesLeaves: params.hidesLeaves === true },
    random: seededRandom(seed, ABANDON_TRAFFIC_STREAM),
  });
  const shaped = startShape(params, fleet, nowMs);
  // Nodes that have just been started are no more in touch than those that start again.
  const startWindow = {
    kind: 'kill',
    machines: undefined,
    fromMs: 0,
    untilMs: WARM_UP_MS,
  } as const;
  injector.windows.push(startWindow);
  const pauseWatch = new PauseWatch(nowMs);
  const coreWatch = new CoreWatch({ processes: () => fleet.processes(), nowMs });
  const sending = [traffic.run(), ...(hasSeries(params) ? [uploads.run()] : [])];
  await delay(WARM_UP_MS);
  sending.push(...(params.plan === 'crashes' ? [crashing.run()] : []));
  sending.push(...(params.plan === 'abandons' ? [abandoning.run()] : []));
  await performAll(params, injector);
  await abandoning.stop();
  const calmFromMs = nowMs();
  say('nothing is harmed any more');
  await delay(SOAK_TERMS.recoveryMs + CALM_MS);
  await shaped?.stop();
  await Promise.all([traffic.stop(), uploads.stop(), crashing.stop()]);
  await Promise.all(sending);
  pauseWatch.stop();
  coreWatch.stop();
  const record: SoakRecord = {
    beganAt: new Date(Date.now() - nowMs()).toISOString(),
    calls: [
      ...traffic.calls,
      ...uploads.calls,
      ...crashing.calls,
      ...abandoning.calls,
      ...(shaped?.calls ?? []),
      ...backendCalls.calls,
    ],
    arrivals,
    windows: injector.windows,
    stops: injector.stops,
    reloads: injector.reloads,
    crashes: fleet.crashes,
    limits: injector.limits,
    configuredAtMs: fleet.configuredAtMs,
    drainedAtMs: fleet.drainedAtMs,
    serviceOfMachine: Array.from({ length: machines }, (_, idx) => serviceOf(idx)),
    silences: fleet.silences(),
    callerSilences: fleet.callerSilences(),
    ownEnds: fleet.ownEnds(),
    pauses: pauseWatch.pauses,
    coreTimes: coreWatch.times,
    calmFromMs,
    endedAtMs: nowMs(),
    terms: SOAK_TERMS,
  };
  return { record, broken: judgeSoak(record) };
}

function hasMovedRoutes({ plan }: SoakParams): boolean {
  return plan === 'restarts' || plan === 'refusals';
}

async function performAll(params: SoakParams, injector: SoakFaultInjector): Promise<void> {
  const beganAtMs = performance.now();
  const underWay: Promise<void>[] = [];
  for (const { atMs, fault } of planFaults(params)) {
    await delay(Math.max(0, atMs - (performance.now() - beganAtMs)));
    underWay.push(injector.perform(fault));
  }
  await Promise.all(underWay);
}

/** A plan of its own, and its stream of random numbers. */
interface Planner {
  readonly stream: number;
  readonly plan: (params: PlanParams) => PlannedFault[];
}

/** Plans that stand alone; all others add to single faults. */
const PLANNERS: Partial<Record<SoakPlan, Planner>> = {
  rolls: { stream: ROLL_STREAM, plan: planRolls },
  planned: { stream: PLANNED_STREAM, plan: planPlannedWork },
  restores: { stream: RESTORE_STREAM, plan: planRestores },
  restarts: { stream: RESTART_STREAM, plan: planRestarts },
  refusals: { stream: REFUSAL_STREAM, plan: planRefusals },
  statements: { stream: STATEMENT_STREAM, plan: planStatements },
  abandons: { stream: ABANDON_STREAM, plan: planAbandons },
};

function planFaults({ seed, faultsMs, machines, plan }: SoakParams): PlannedFault[] {
  const common = { machines, durationMs: faultsMs };
  const planner = PLANNERS[plan];
  if (planner !== undefined) {
    return planner.plan({ ...common, random: seededRandom(seed, planner.stream) });
  }
  const single = planSoak({ ...common, random: seededRandom(seed, PLAN_STREAM) });
  if (plan === 'faults') {
    return single;
  }
  const series = planSeries({ ...common, random: seededRandom(seed, SERIES_STREAM) });
  const both = [...single, ...series];
  const silences =
    plan === 'silences'
      ? planSilences({ ...common, random: seededRandom(seed, SILENCE_STREAM) }, both)
      : [];
  return [...both, ...silences].sort((left, right) => left.atMs - right.atMs);
}

/** What has the shape of a deployment, from its start until it is stopped. */
interface ShapedTraffic {
  readonly calls: readonly SoakCall[];
  readonly stop: () => Promise<void>;
}

function startShape(
  { seed, shape }: SoakParams,
  fleet: SoakFleet,
  nowMs: () => number,
): ShapedTraffic | undefined {
  if (shape === undefined) {
    return undefined;
  }
  const random = seededRandom(seed, PIPELINE_STREAM);
  const pipelined = new PipelinedTraffic({ fleet, nowMs, shape, random });
  const turns = new ProcessorTurns({
    fleet,
    processor: shape.processor,
    random: seededRandom(seed, PROCESSOR_STREAM),
  });
  const running = Promise.all([pipelined.run(), turns.run()]);
  return {
    calls: pipelined.calls,
    stop: async () => {
      await pipelined.stop();
      turns.stop();
      await running;
    },
  };
}

function hasLongRequests({ plan }: SoakParams): boolean {
  return plan === 'rolls' || plan === 'planned';
}

function hasSeries({ plan }: SoakParams): boolean {
  return plan !== 'faults';
}

/**
 * The requests of one run, drawn before it: when they come, what they carry, and how much work they and
 * their calls are. Both variants of a pair get the same plan, whatever they do with it.
 */
import type { RandomSource } from '../../src/control/control-event.js';
import { MAX_BUFFERED_BODY_BYTES } from '../../src/proxy/relay/collected-body.js';
import { seededRandom } from '../emulator/seeded-random.js';
import type { Fault, RequestClass, Scenario } from './scenario.js';

/** Streams of random numbers under one seed. */
export const PLAN_STREAM = 1;

/** One request with all that it leads to. */
export interface PlannedRequest {
  readonly id: string;
  readonly requestClass: RequestClass;
  /** Time of work at an endpoint that is well, in milliseconds. */
  readonly workMs: number;
  readonly uploadBytes: number;
  /** Calls that its work makes. */
  readonly calls: readonly PlannedRequest[];
}

/** One request of a caller. */
export interface Arrival {
  readonly atMs: number;
  /** Which of the nodes that have callers it arrives at, as a share of them from 0 to 1. */
  readonly place: number;
  readonly request: PlannedRequest;
}

/** Draws the arrivals of a run in order of time. */
export function planArrivals(scenario: Scenario, seed: number): Arrival[] {
  const random = seededRandom(seed, PLAN_STREAM);
  const callers = scenario.classes.filter(({ ratePerSecond }) => ratePerSecond > 0);
  return callers
    .flatMap((requestClass) => arrivalsOf(scenario, requestClass, random))
    .sort((left, right) => left.atMs - right.atMs);
}

function arrivalsOf(scenario: Scenario, caller: RequestClass, random: RandomSource): Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    const ratePerMs = (caller.ratePerSecond * rateFactor(scenario.faults, caller, atMs)) / 1_000;
    atMs += exponential(random) / ratePerMs;
    if (atMs >= scenario.durationMs) {
      return arrivals;
    }
    const place = random();
    const id = `${caller.name}-${arrivals.length}`;
    arrivals.push({ atMs, place, request: planRequest(scenario, caller, id, random) });
  }
}

function planRequest(
  scenario: Scenario,
  requestClass: RequestClass,
  id: string,
  random: RandomSource,
): PlannedRequest {
  const { workMs, uploadBytes, calls, callShare } = requestClass;
  const makesCalls = callShare === undefined || random() < callShare;
  return {
    id,
    requestClass,
    workMs: workMs * spread(random),
    uploadBytes: Math.min(MAX_BUFFERED_BODY_BYTES, Math.round(uploadBytes * spread(random))),
    calls: (makesCalls ? calls : []).map((name, index) =>
      planRequest(scenario, classOf(scenario, name), `${id}-${index}`, random),
    ),
  };
}

function classOf({ classes }: Scenario, name: string): RequestClass {
  const found = classes.find((one) => one.name === name);
  if (found === undefined) {
    throw new RangeError(`there is no class ${name}`);
  }
  return found;
}

function rateFactor(faults: readonly Fault[], { name }: RequestClass, atMs: number): number {
  return faults.reduce((factor, fault) => {
    const isBurst = fault.kind === 'burst' && fault.requestClass === name;
    return isBurst && fault.fromMs <= atMs && atMs < fault.untilMs ? factor * fault.factor : factor;
  }, 1);
}

function exponential(random: RandomSource): number {
  return -Math.log(1 - random());
}

/** Half constant, half exponential: a mean of 1, mostly near it, now and then several times that. */
function spread(random: RandomSource): number {
  return 0.5 + 0.5 * exponential(random);
}

/**
 * Judges which configurations nodes go by, from answers and arrivals on routes that differ between configurations. Pure:
 * records in, broken promises out. Times are in milliseconds on the clock of the soak.
 */
import type { BrokenPromise } from './broken-promise.js';
import { isInTouch } from './contact.js';
import { INVALID_PREFIX, movedTo, MOVED_PREFIX } from './soak-configuration.js';
import type { SoakArrival, SoakCall, SoakRecord } from './soak-record.js';

const NOT_FOUND = 404;
/** Also the status of a node that holds no configuration, so that it tells nothing of a route. */
const UNAVAILABLE = 503;
const SERVED = 200;
/** Factor of the slack for a regression on a machine whose process runs in short turns. */
const SLOWED_SLACK_FACTOR = 8;
/** Requests on added routes from which their share of answers is judged. */
const LEAST_ADDED_CALLS = 20;
/** Least share of added routes' requests that are served, relative to the routes that all configurations have. */
const LEAST_RELATIVE_SHARE = 0.25;

/** What one request shows of the configuration that its node went by. */
interface Sighting {
  readonly call: SoakCall;
  /** When the effect of the configuration was seen. */
  readonly seenAtMs: number;
  /** What was seen. */
  readonly text: string;
  /** Whether the node was sure to handle the request by its configuration; otherwise only regressions are judged by it. */
  readonly isCertain: boolean;
  /** Whether a configuration allows what was seen. */
  readonly allows: (number: number) => boolean;
}

/** Every promise about configurations that broke. */
export function judgeConfigurations(
  record: SoakRecord,
  arrivalsById: ReadonlyMap<string, readonly SoakArrival[]>,
): BrokenPromise[] {
  const sightings = record.calls.flatMap((call) =>
    sightingsOf(record, call, arrivalsById.get(call.id) ?? []),
  );
  return [
    ...sightings.flatMap((sighting) => judgeDelay(record, sighting)),
    ...judgeOrder(record, sightings),
    ...judgeInvalid(record.calls),
    ...judgeAddedRoutes(record),
  ];
}

function sightingsOf(
  { serviceOfMachine, terms }: SoakRecord,
  call: SoakCall,
  arrivals: readonly SoakArrival[],
): Sighting[] {
  const { status, addedBy, endedAtMs } = call;
  const firstArrivalMs = Math.min(...arrivals.map(({ headAtMs }) => headAtMs));
  const seenAtMs = Math.min(endedAtMs, firstArrivalMs);
  if (addedBy !== undefined) {
    const droppedBy = addedBy + terms.routeLifeInConfigurations;
    const hasRoute = (number: number): boolean => number >= addedBy && number < droppedBy;
    const isMissing = status === NOT_FOUND;
    const allows = (number: number): boolean => hasRoute(number) !== isMissing;
    const isCertain = isMissing || status === SERVED;
    const isTelling = status !== 0 && status !== UNAVAILABLE;
    return isTelling ? [{ call, seenAtMs, text: String(status), isCertain, allows }] : [];
  }
  if (!call.target.startsWith(MOVED_PREFIX)) {
    return [];
  }
  const runs = arrivals.filter(({ hasRun }) => hasRun);
  const sightings = runs.map((arrival): Sighting => {
    const service = serviceOfMachine[arrival.machine] ?? '';
    const allows = (number: number): boolean => movedTo(number) === service;
    return {
      call,
      seenAtMs: arrival.headAtMs,
      text: `run by ${service}`,
      isCertain: true,
      allows,
    };
  });
  return status === NOT_FOUND
    ? [...sightings, { call, seenAtMs, text: '404', isCertain: true, allows: () => false }]
    : sightings;
}

/** Whether a node in touch went by a configuration that should have been replaced. */
function judgeDelay(record: SoakRecord, sighting: Sighting): BrokenPromise[] {
  const { call, seenAtMs, isCertain } = sighting;
  const { machine, life, sentAtMs, endedAtMs } = call;
  const leastNumber = newestAt(record, sentAtMs - record.terms.configApplyMs);
  const isAllowed = allowsSince(record, sighting, leastNumber);
  const untilMs = Math.max(seenAtMs, endedAtMs);
  if (!isCertain || isAllowed || !isInTouch(record, machine, sentAtMs, untilMs)) {
    return [];
  }
  const detail =
    `${call.id} ${call.target}: ${sighting.text} at machine ${machine}, life ${life}, ` +
    `${Math.round(sentAtMs)} to ${Math.round(seenAtMs)} ms, though ${leastNumber} was known`;
  return [{ promise: 'in-force', detail }];
}

/** Within one life, a node goes by rising configurations, in touch or not. */
function judgeOrder(record: SoakRecord, sightings: readonly Sighting[]): BrokenPromise[] {
  const lives = new Map<string, Sighting[]>();
  for (const sighting of sightings) {
    const life = `${sighting.call.machine}/${sighting.call.life}`;
    const ofLife = lives.get(life) ?? [];
    ofLife.push(sighting);
    lives.set(life, ofLife);
  }
  return [...lives].flatMap(([life, ofLife]) => judgeOrderOfLife(record, life, ofLife));
}

function judgeOrderOfLife(
  record: SoakRecord,
  life: string,
  sightings: readonly Sighting[],
): BrokenPromise[] {
  const broken: BrokenPromise[] = [];
  const bySent = [...sightings].sort((left, right) => left.call.sentAtMs - right.call.sentAtMs);
  const bySeen = [...sightings].sort((left, right) => left.seenAtMs - right.seenAtMs);
  let leastNumber = 0;
  let evidence = '';
  for (const sighting of bySent) {
    const { call } = sighting;
    const slackMs = slackOf(record, call);
    let next = bySeen[0];
    while (next !== undefined && next.seenAtMs + slackMs < call.sentAtMs) {
      const shown = leastAllowed(record, next, leastNumber);
      if (shown !== undefined && shown > leastNumber) {
        leastNumber = shown;
        evidence = `${next.call.id} ${next.call.target} (${next.text})`;
      }
      bySeen.shift();
      next = bySeen[0];
    }
    if (!allowsSince(record, sighting, leastNumber)) {
      const detail = `${life}: ${call.id} ${call.target}: ${sighting.text} after ${evidence}`;
      broken.push({ promise: 'never-back', detail });
    }
  }
  return broken;
}

function slackOf({ windows, terms }: SoakRecord, { machine, sentAtMs }: SoakCall): number {
  const isSlowed = windows.some(
    ({ kind, machines, fromMs, untilMs }) =>
      kind === 'late' &&
      machines?.includes(machine) === true &&
      fromMs <= sentAtMs &&
      untilMs + terms.contactMs >= sentAtMs,
  );
  return terms.rollbackSlackMs * (isSlowed ? SLOWED_SLACK_FACTOR : 1);
}

/** Nothing may be handled as only a configuration allows that is not valid. */
function judgeInvalid(calls: readonly SoakCall[]): BrokenPromise[] {
  const taken = calls.filter(
    ({ target, status }) =>
      target.startsWith(INVALID_PREFIX) && ![0, NOT_FOUND, UNAVAILABLE].includes(status),
  );
  return taken.map(({ id, target, status, machine, life }) => ({
    promise: 'invalid-refused',
    detail: `${id} ${target}: ${status} at machine ${machine}, life ${life}`,
  }));
}

/** Machines in touch serve the routes that were added later as they serve the first ones. */
function judgeAddedRoutes(record: SoakRecord): BrokenPromise[] {
  const owed = record.calls.filter(
    (call) =>
      call.isSafe &&
      !call.isGivenUp &&
      !call.target.startsWith(INVALID_PREFIX) &&
      isInTouch(record, call.machine, call.sentAtMs, call.endedAtMs),
  );
  const added = owed.filter((call) => isKnownRoute(record, call));
  const first = owed.filter(({ addedBy }) => addedBy === undefined);
  const shares = [servedShare(added), servedShare(first)] as const;
  if (added.length < LEAST_ADDED_CALLS || shares[0] >= shares[1] * LEAST_RELATIVE_SHARE) {
    return [];
  }
  const [addedShare, firstShare] = shares.map((share) => share.toFixed(2));
  const detail = `${addedShare} of ${added.length} on added routes, ${firstShare} on the first ones`;
  return [{ promise: 'added-served', detail }];
}

/** Whether the request is on an added route that is known since the bound and not dropped yet. */
function isKnownRoute(record: SoakRecord, { addedBy, sentAtMs, endedAtMs }: SoakCall): boolean {
  const { configuredAtMs, terms } = record;
  const addedAtMs = configuredAtMs.get(addedBy ?? 0) ?? Infinity;
  const droppedBy = (addedBy ?? 0) + terms.routeLifeInConfigurations;
  const droppedAtMs = configuredAtMs.get(droppedBy) ?? Infinity;
  return sentAtMs > addedAtMs + terms.configApplyMs && endedAtMs < droppedAtMs;
}

function servedShare(calls: readonly SoakCall[]): number {
  return calls.filter(({ status }) => status === SERVED).length / Math.max(1, calls.length);
}

function allowsSince(record: SoakRecord, sighting: Sighting, leastNumber: number): boolean {
  return leastAllowed(record, sighting, leastNumber) !== undefined;
}

/** The oldest configuration, from `leastNumber`, that allows what was seen and had been written by then. */
function leastAllowed(
  record: SoakRecord,
  { allows, call, seenAtMs }: Sighting,
  leastNumber: number,
): number | undefined {
  const newest = newestAt(record, Math.max(call.endedAtMs, seenAtMs));
  for (let number = leastNumber; number <= newest; number += 1) {
    if (allows(number)) {
      return number;
    }
  }
  return undefined;
}

/** The newest configuration that was written by that time; 0 before the first one. */
function newestAt({ configuredAtMs }: SoakRecord, atMs: number): number {
  let newest = 0;
  for (const [number, writtenAtMs] of configuredAtMs) {
    if (writtenAtMs < atMs) {
      newest = Math.max(newest, number);
    }
  }
  return newest;
}

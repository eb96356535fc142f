/**
 * Judges a soak by what callers and back ends have seen. Pure: records in, broken promises out. Times
 * are in milliseconds on the clock of the soak.
 */
import { judgeAbandoned } from './abandon-promises.js';
import type { BrokenPromise, SoakPromise } from './broken-promise.js';
import { judgeCallerSilences } from './caller-promises.js';
import { isSilenced } from './caller-silence.js';
import { judgeConfigurations } from './configuration-promises.js';
import { isInTouch } from './contact.js';
import { judgeCrashes } from './crash-promises.js';
import { isCrashing } from './crash-traffic.js';
import { judgeConfigurationCuts, judgeCuts } from './cut-promises.js';
import { judgeDeliveries } from './delivery-promises.js';
import { judgeLeaving } from './leaving-promises.js';
import { judgeLimits } from './limit-promises.js';
import { INVALID_PREFIX } from './soak-configuration.js';
import type { SoakArrival, SoakCall, SoakRecord, SoakSilence } from './soak-record.js';
import { judgeReloads, judgeStops } from './stop-promises.js';
import { markBody } from './body-mark.js';
import { answerBody } from './work-demand.js';

/** Statuses that promise that the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);
/** Room for the two sides' clocks and turns, in milliseconds. */
const SLACK_MS = 500;
/**
 * Longest use of a connection that is silent for good: the time in which a machine is in touch again, and
 * one request that goes unanswered until its time-out.
 */
const SILENCE_NOTICED_MS = 5_000;
/** Least share of the requests of the calm end that are served. */
const CALM_SERVED_SHARE = 0.9;

/** Every promise that broke. */
export function judgeSoak(record: SoakRecord): BrokenPromise[] {
  const arrivalsById = groupBy(record.arrivals, ({ id }) => id);
  const callsById = new Map(record.calls.map((call) => [call.id, call]));
  return [
    ...record.calls.flatMap((call) => judgeCall(record, call, arrivalsById.get(call.id) ?? [])),
    ...record.arrivals.flatMap((arrival) =>
      judgeArrival(record, arrival, callsById.get(arrival.id)),
    ),
    ...judgeConfigurations(record, arrivalsById),
    ...judgeStops(record, arrivalsById),
    ...judgeReloads(record, arrivalsById),
    ...judgeCuts(record, arrivalsById),
    ...judgeConfigurationCuts(record, arrivalsById),
    ...judgeDeliveries(record, arrivalsById),
    ...judgeLimits(record),
    ...judgeLeaving(record),
    ...judgeAbandoned(record),
    ...record.silences.flatMap(judgeSilence),
    ...judgeCallerSilences(record, arrivalsById),
    ...judgeCrashes(record, (machine, fromMs, untilMs) =>
      isInTouch(record, machine, fromMs, untilMs),
    ),
    ...record.ownEnds.map((detail): BrokenPromise => ({ promise: 'no-own-end', detail })),
    ...judgeRecovery(record),
  ];
}

function judgeCall(
  record: SoakRecord,
  call: SoakCall,
  arrivals: readonly SoakArrival[],
): BrokenPromise[] {
  const broken: BrokenPromise[] = [];
  const say = (promise: SoakPromise, detail: string): void => {
    broken.push({ promise, detail: `${call.id} ${call.target}: ${detail}` });
  };
  const runs = arrivals.filter(({ hasRun }) => hasRun);
  if (!call.isSafe && runs.length > 1) {
    say('at-most-once', `ran ${runs.length} times`);
  }
  if (PROMISES.has(call.status) && runs.length > 0) {
    say('true-refusal', `${call.status}, yet it ran at ${runs[0]?.backend}`);
  }
  if (call.status === 200 && !isOwnWholeAnswer(call)) {
    say('own-whole-answer', `got ${JSON.stringify(call.answer)}`);
  }
  const backends = new Set(arrivals.map(({ backend }) => backend));
  if (backends.size > record.terms.maxAttempts) {
    say('attempt-limit', `reached ${[...backends].join(', ')}`);
  }
  if (isUnanswered(record, call)) {
    say('time-out', `no answer after ${Math.round(call.endedAtMs - call.sentAtMs)} ms`);
  }
  return broken;
}

/** An answer that was broken off does not look whole, so it deceives nobody. */
function isOwnWholeAnswer(call: SoakCall): boolean {
  return (
    !call.isWhole || (call.isSigned && call.answer === markBody(answerBody(call.id, call.target)))
  );
}

function isUnanswered(record: SoakRecord, call: SoakCall): boolean {
  const dueAtMs = call.sentAtMs + Math.min(call.timeoutMs, call.deadlineMs);
  return (
    call.wasSent &&
    !call.isGivenUp &&
    call.sentWholeAtMs <= dueAtMs &&
    call.endedAtMs > dueAtMs + SLACK_MS &&
    !isSilenced(record, call) &&
    isInTouch(record, call.machine, call.sentAtMs, call.endedAtMs)
  );
}

function judgeArrival(
  record: SoakRecord,
  arrival: SoakArrival,
  call: SoakCall | undefined,
): BrokenPromise[] {
  const broken: BrokenPromise[] = [];
  const say = (promise: SoakPromise, detail: string): void => {
    broken.push({ promise, detail: `${arrival.id} at ${arrival.backend}: ${detail}` });
  };
  if (call === undefined) {
    say('unaltered', 'nobody sent it');
    return broken;
  }
  const service = record.serviceOfMachine[call.machine];
  const isSame =
    arrival.target === call.target &&
    arrival.method === (call.isSafe ? 'GET' : 'POST') &&
    arrival.body === call.body &&
    arrival.callerService === service;
  if (!isSame) {
    say('unaltered', `${arrival.method} ${arrival.target} from ${arrival.callerService}`);
  }
  const isInTouchFrom = (fromMs: number): boolean =>
    [call.machine, arrival.machine].every((idx) =>
      isInTouch(record, idx, fromMs, arrival.headAtMs),
    );
  const leftMs = call.sentAtMs + call.deadlineMs - arrival.headAtMs;
  if (arrival.deadlineMs > Math.max(0, leftMs) + SLACK_MS && isInTouchFrom(call.sentAtMs)) {
    say('deadline', `${arrival.deadlineMs} ms were given, ${Math.round(leftMs)} were left`);
  }
  const drainedAtMs = record.drainedAtMs.get(arrival.backend) ?? Infinity;
  const isLate = arrival.hasRun && arrival.headAtMs > drainedAtMs + record.terms.drainMs + SLACK_MS;
  const mustKnowDrain =
    isInTouchFrom(Math.max(call.sentAtMs, drainedAtMs)) ||
    mustKnowDrainBeforeRestores(record, call, arrival);
  if (isLate && mustKnowDrain) {
    say('drain', `${Math.round(arrival.headAtMs - drainedAtMs)} ms after its draining was known`);
  }
  return broken;
}

/**
 * Whether both machines were in touch until the draining had to be known, and only store restores affected
 * them afterwards. A restore must not make a node forget a draining that it already knows.
 */
function mustKnowDrainBeforeRestores(
  record: SoakRecord,
  call: SoakCall,
  arrival: SoakArrival,
): boolean {
  const { windows, terms } = record;
  const drainedAtMs = record.drainedAtMs.get(arrival.backend) ?? Infinity;
  const knownByMs = drainedAtMs + terms.drainMs + SLACK_MS;
  const withoutRestores = {
    ...record,
    windows: windows.filter(({ kind }) => kind !== 'store-restore'),
  };
  return [call.machine, arrival.machine].every(
    (idx) =>
      isInTouch(record, idx, drainedAtMs, knownByMs) &&
      isInTouch(withoutRestores, idx, drainedAtMs, arrival.headAtMs),
  );
}

function judgeSilence({ link, opening, atMs, usedForMs }: SoakSilence): BrokenPromise[] {
  if (usedForMs <= SILENCE_NOTICED_MS) {
    return [];
  }
  const [at, used] = [atMs, usedForMs].map((timeMs) => Math.round(timeMs));
  const detail = `${link}, ${opening}: a connection that fell silent at ${at} was used for ${used} ms more`;
  return [{ promise: 'silence-noticed', detail }];
}

function judgeRecovery(record: SoakRecord): BrokenPromise[] {
  const { calls, calmFromMs, terms } = record;
  const late = calls.filter(
    (call) =>
      call.addedBy === undefined &&
      !call.target.startsWith(INVALID_PREFIX) &&
      !isCrashing(call.target) &&
      !call.isGivenUp &&
      call.sentAtMs > calmFromMs + terms.recoveryMs &&
      !isSilenced(record, call),
  );
  const served = late.filter(({ status }) => status === 200).length;
  if (late.length > 0 && served >= late.length * CALM_SERVED_SHARE) {
    return [];
  }
  return [{ promise: 'recovery', detail: `${served} of ${late.length} were served at the end` }];
}

function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}

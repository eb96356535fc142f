/**
 * Judges whether what endpoints did reaches the callers: a node tells no caller of an error of its own before
 * the deadline of a request that an endpoint has answered, or was at work on when the mesh ended it. Excused
 * is what truly ended a connection on the way: a node that was killed, a link that resets connections or
 * loses what is said on them. A link that is only slow, and a process that stands still for a moment, excuse
 * nothing. Connections that end without an answer, and refusals of what ran, are judged by others. Pure.
 */
import type { BrokenPromise } from './broken-promise.js';
import type { FaultWindow, SoakArrival, SoakCall, SoakRecord } from './soak-record.js';

/** Statuses of a node's own errors about what may have run. */
const OWN_ERRORS = new Set([502, 504]);
/** How long before the deadline a node may end a request, so that its caller hears of it, in milliseconds. */
const LEAD_MS = 150;
/** How long before the end of its grace time a stopping node may do so, in milliseconds. */
const STOP_LEAD_MS = 1_000;
/** Time from the signal until which a request was sent for which a stopping node may do so, in milliseconds. */
const STOP_TAKES_MS = 3_000;
/** Time for which a connection may go on being used that has lost what is said on it, in milliseconds. */
const LOST_USE_MS = 5_000;

type ArrivalsById = ReadonlyMap<string, readonly SoakArrival[]>;

/** The runs whose answers their callers did not get. */
export function judgeDeliveries(record: SoakRecord, arrivals: ArrivalsById): BrokenPromise[] {
  return record.calls.filter(isUndelivered).flatMap((call) => {
    const run = (arrivals.get(call.id) ?? []).find(
      (arrival) => isDue(arrival) && !isExcused(record, call, arrival),
    );
    return run === undefined ? [] : [{ promise: 'answer-delivered', detail: describe(call, run) }];
  });
}

/** Whether its caller, who waited, got an error of a node's own in its time. */
function isUndelivered(call: SoakCall): boolean {
  const { status, isGivenUp, sentAtMs, endedAtMs, deadlineMs, timeoutMs } = call;
  const dueAtMs = sentAtMs + Math.min(deadlineMs, timeoutMs);
  return OWN_ERRORS.has(status) && !isGivenUp && endedAtMs < dueAtMs - LEAD_MS;
}

/** Whether the endpoint answered it, or was at work on it when its connection was closed from outside. */
function isDue({ hasRun, outcome }: SoakArrival): boolean {
  return hasRun && (outcome === 'answered' || outcome === 'cut');
}

function isExcused(record: SoakRecord, call: SoakCall, arrival: SoakArrival): boolean {
  return (
    record.windows.some((window) => isLost(window, call, arrival)) ||
    record.stops.some(
      ({ machine, atMs }) =>
        [call.machine, arrival.machine].includes(machine) &&
        atMs <= call.endedAtMs &&
        call.endedAtMs >= atMs + record.terms.graceMs - STOP_LEAD_MS &&
        (machine !== call.machine || call.sentAtMs <= atMs + STOP_TAKES_MS),
    )
  );
}

/** Whether a connection on the way between caller and endpoint was ended, or lost what was said on it. */
function isLost(window: FaultWindow, call: SoakCall, arrival: SoakArrival): boolean {
  const { kind, machines, linksOf, losesConnections = false, fromMs, untilMs } = window;
  const isAround = (usedForMs: number): boolean =>
    fromMs <= call.endedAtMs && untilMs + usedForMs >= arrival.headAtMs;
  if (kind === 'kill') {
    const ends = [call.machine, arrival.machine];
    return isAround(0) && ends.some((idx) => machines === undefined || machines.includes(idx));
  }
  const isOnWay = kind === 'relay-link' || kind === 'backend-link';
  const isHarmed = isOnWay && losesConnections && linksOf?.includes(arrival.machine) === true;
  return isHarmed && isAround(LOST_USE_MS);
}

function describe(call: SoakCall, arrival: SoakArrival): string {
  const { id, target, machine, status, sentAtMs, endedAtMs } = call;
  const { backend, outcome } = arrival;
  const [startedMs, runEndedMs, toldMs] = [arrival.headAtMs, arrival.endedAtMs, endedAtMs].map(
    (atMs) => Math.round(atMs - sentAtMs),
  );
  return (
    `${id} ${target} at machine ${machine}: told ${status} after ${toldMs} ms, though ${backend} ` +
    `was at work on it from ${startedMs} ms, and that was ${outcome} at ${runEndedMs} ms`
  );
}

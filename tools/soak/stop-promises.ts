/**
 * Judges planned stops and reloads: a node ends by itself within its grace time, and a request that it
 * has read gets a whole answer, whatever other machines and the store suffer meanwhile. Pure.
 */
import type { BrokenPromise } from './broken-promise.js';
import { isCut } from './cut-calls.js';
import type { SoakArrival, SoakCall, SoakRecord, SoakStop } from './soak-record.js';

/** Room for the end of a process to be seen by its callers, in milliseconds. */
const SLACK_MS = 500;
/** After a pause of its own the soak sees what came meanwhile within this time, in milliseconds. */
const SEEN_AFTER_PAUSE_MS = 50;
type ArrivalsById = ReadonlyMap<string, readonly SoakArrival[]>;

/** Planned work on a machine, and the time within which it may cut nothing. */
interface PlannedWork {
  readonly promise: 'planned-stop' | 'reload';
  readonly machine: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What the planned stops of a soak broke. */
export function judgeStops(record: SoakRecord, arrivals: ArrivalsById): BrokenPromise[] {
  return record.stops.flatMap((stop) => [
    ...judgeEnd(record, stop),
    ...findCuts(record, arrivals, {
      promise: 'planned-stop',
      machine: stop.machine,
      fromMs: stop.atMs,
      untilMs: endOf(stop),
    }),
  ]);
}

/** What the reloads of a soak broke; a cut at a machine that stops meanwhile is told of the stop. */
export function judgeReloads(record: SoakRecord, arrivals: ArrivalsById): BrokenPromise[] {
  return record.reloads.flatMap(({ machine, atMs }) => {
    const stop = record.stops.find((one) => one.machine === machine && endOf(one) >= atMs);
    const untilMs = Math.min(atMs + record.terms.configApplyMs, stop?.atMs ?? Infinity);
    return findCuts(record, arrivals, { promise: 'reload', machine, fromMs: atMs, untilMs });
  });
}

/** Whether the request ended while its node was told to stop, or had just ended. */
export function isDuringStop({ stops }: SoakRecord, call: SoakCall): boolean {
  return stops.some(
    (stop) =>
      stop.machine === call.machine && stop.atMs <= call.endedAtMs && call.endedAtMs <= endOf(stop),
  );
}

/** Until when a cut belongs to a stop. */
function endOf({ atMs, tookMs }: SoakStop): number {
  return atMs + tookMs + SLACK_MS;
}

function judgeEnd(record: SoakRecord, stop: SoakStop): BrokenPromise[] {
  const { machine, tookMs, code, hadStarted } = stop;
  const hasFailed = hadStarted && code !== 0;
  if (!hasFailed && leastTookMs(record, stop) <= record.terms.graceMs) {
    return [];
  }
  const detail = `machine ${machine} ended with ${String(code)} after ${Math.round(tookMs)} ms`;
  return [{ promise: 'stop-in-time', detail }];
}

/** How long a stop took at least: the soak sees no end of a process while it stands still itself. */
function leastTookMs({ pauses }: SoakRecord, { atMs, tookMs }: SoakStop): number {
  let endedAtMs = atMs + tookMs;
  for (const { fromMs, untilMs } of [...pauses].reverse()) {
    if (fromMs < endedAtMs && endedAtMs <= untilMs + SEEN_AFTER_PAUSE_MS) {
      endedAtMs = fromMs;
    }
  }
  return endedAtMs - atMs;
}

function findCuts(
  record: SoakRecord,
  arrivals: ArrivalsById,
  { promise, machine, fromMs, untilMs }: PlannedWork,
): BrokenPromise[] {
  const isAround = (call: SoakCall): boolean =>
    call.machine === machine && call.endedAtMs >= fromMs && call.endedAtMs <= untilMs;
  return record.calls
    .filter((call) => isAround(call) && isCut(record, call, arrivals.get(call.id) ?? []))
    .map((call) => ({ promise, detail: describeCut(call, fromMs, arrivals.get(call.id) ?? []) }));
}

function describeCut(call: SoakCall, fromMs: number, arrivals: readonly SoakArrival[]): string {
  const [sentMs, wholeMs, endedMs] = [call.sentAtMs, call.sentWholeAtMs, call.endedAtMs].map(
    (atMs) => Math.round(atMs - fromMs),
  );
  const reached = arrivals.map((arrival) => describeArrival(arrival, call.endedAtMs));
  return (
    `${call.id} ${call.target} was cut at machine ${call.machine}: sent ${sentMs}, whole ${wholeMs}, ` +
    `cut ${endedMs} ms after the signal, reached ${reached.join(', ') || 'no back end'}`
  );
}

function describeArrival({ backend, hasRun, endedAtMs }: SoakArrival, cutAtMs: number): string {
  if (!hasRun) {
    return `${backend} (refused)`;
  }
  return endedAtMs >= cutAtMs ? `${backend} (at work)` : `${backend} (over)`;
}

/**
 * Judges whether back ends got no more requests than the rate limits that they named. Counts the requests of machines
 * that had passed on an answer with the limit. Pure.
 */
import type { BrokenPromise } from './broken-promise.js';
import type { SoakArrival, SoakCall, SoakLimit, SoakRecord } from './soak-record.js';
import { toldTimesOf, wasCut, wasInterrupted, type ToldTimes } from './told-machines.js';

/** Length of the window in which requests are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Time after a machine has passed on an answer with the limit from which its requests count, in milliseconds. */
const TOLD_MS = 500;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
const MS_PER_SECOND = 1_000;

/** A time during which a back end names limits, without a break. */
interface LimitedTime {
  readonly backend: string;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly limits: readonly SoakLimit[];
}

export function judgeLimits(record: SoakRecord): BrokenPromise[] {
  const callsById = new Map(record.calls.map((call) => [call.id, call]));
  return limitedTimesOf(record.limits).flatMap((time) => judgeTime(record, time, callsById));
}

/** Requests allowed in the window that ends at `untilMs`, by the highest limit in force during it. */
function allowedUntil({ limits }: LimitedTime, untilMs: number): number {
  const before = limits.findLast(({ atMs }) => atMs <= untilMs - WINDOW_MS);
  const during = limits.filter(({ atMs }) => atMs > untilMs - WINDOW_MS && atMs <= untilMs);
  const rates = [before, ...during].map((limit) => limit?.ratePerS ?? 0);
  return (ALLOWED_FACTOR * Math.max(...rates) * WINDOW_MS) / MS_PER_SECOND + ALLOWED_EXTRA;
}

function judgeTime(
  record: SoakRecord,
  time: LimitedTime,
  callsById: ReadonlyMap<string, SoakCall>,
): BrokenPromise[] {
  const { backend, fromMs, untilMs } = time;
  const arrivals = record.arrivals.filter(
    (arrival) =>
      arrival.backend === backend && arrival.headAtMs >= fromMs && arrival.headAtMs < untilMs,
  );
  const toldAtMs = toldTimesOf(arrivals, callsById, ({ namesLimit }) => namesLimit === true);
  const counted = arrivals
    .filter((arrival) => isCounted(record, arrival, callsById, toldAtMs))
    .map(({ headAtMs }) => headAtMs)
    .sort((left, right) => left - right);
  const first = counted.find((atMs) => {
    const count = counted.filter((other) => other > atMs - WINDOW_MS && other <= atMs).length;
    return atMs >= fromMs + record.terms.contactMs && count > allowedUntil(time, atMs);
  });
  if (first === undefined) {
    return [];
  }
  const count = counted.filter((other) => other > first - WINDOW_MS && other <= first).length;
  const allowed = Math.floor(allowedUntil(time, first));
  const detail = `${backend} got ${count} requests in 4 s until ${Math.round(first)}, ${allowed} allowed`;
  return [{ promise: 'rate-limit', detail }];
}

/** Whether the request began at a machine that knew the limit and that no fault has struck since then. */
function isCounted(
  record: SoakRecord,
  { id, headAtMs }: SoakArrival,
  callsById: ReadonlyMap<string, SoakCall>,
  toldAtMs: ToldTimes,
): boolean {
  const machine = callsById.get(id)?.machine;
  const times = machine === undefined ? [] : (toldAtMs.get(machine) ?? []);
  return times.some(
    (atMs) => atMs + TOLD_MS <= headAtMs && !isExcused(record, machine ?? -1, atMs, headAtMs),
  );
}

/** A restart, freeze or cut of a machine excuses its requests until it is told again. */
function isExcused(record: SoakRecord, machine: number, fromMs: number, untilMs: number): boolean {
  return (
    wasInterrupted(record, machine, fromMs, untilMs) || wasCut(record, machine, fromMs, untilMs)
  );
}

function limitedTimesOf(limits: readonly SoakLimit[]): LimitedTime[] {
  const times: LimitedTime[] = [];
  const backends = new Set(limits.map(({ backend }) => backend));
  for (const backend of backends) {
    let current: SoakLimit[] = [];
    const statements = limits.filter((limit) => limit.backend === backend);
    for (const statement of [...statements, { backend, atMs: Infinity, ratePerS: undefined }]) {
      const [first] = current;
      if (statement.ratePerS !== undefined) {
        current.push(statement);
      } else if (first !== undefined) {
        times.push({ backend, fromMs: first.atMs, untilMs: statement.atMs, limits: current });
        current = [];
      }
    }
  }
  return times;
}

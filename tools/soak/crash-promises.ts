/** Judges what became of requests that end back ends, and of those beside them. Pure. */
import { isCrashing } from './crash-traffic.js';
import type { BrokenPromise } from './broken-promise.js';
import type { SoakArrival, SoakRecord } from './soak-record.js';

/** Ends of back ends under one request after which it is known to all machines in touch, after a while. */
const ENDS_TO_KNOW = 3;
/** Sends after that which are let pass: they crossed the news. */
const MAX_LATE_SENDS = 3;
/** What a node answers to a request that it does not send on. */
const CONTAINED_CODE = '"CONTAINED"';

/** Whether nothing but planned work touched a machine in a time. */
export type IsInTouch = (machine: number, fromMs: number, untilMs: number) => boolean;

export function judgeCrashes(record: SoakRecord, isInTouch: IsInTouch): BrokenPromise[] {
  const targets = new Set(record.crashes.map(({ target }) => target));
  return [
    ...[...targets].flatMap((target) => judgeTarget(record, target, isInTouch)),
    ...record.calls
      .filter(({ target, answer }) => !isCrashing(target) && answer.includes(CONTAINED_CODE))
      .map(({ id, target }): BrokenPromise => ({
        promise: 'innocent',
        detail: `${id} ${target} was refused for ends of back ends that are not its doing`,
      })),
  ];
}

function judgeTarget(record: SoakRecord, target: string, isInTouch: IsInTouch): BrokenPromise[] {
  const ends = record.crashes.filter((crash) => crash.target === target);
  const thirdAtMs = ends[ENDS_TO_KNOW - 1]?.atMs ?? Infinity;
  const callsById = new Map(record.calls.map((call) => [call.id, call]));
  const wasSentInTouch = ({ id, machine, headAtMs }: SoakArrival): boolean => {
    const sender = callsById.get(id)?.machine ?? machine;
    return [sender, machine].every((one) => isInTouch(one, headAtMs, headAtMs));
  };
  const late = record.arrivals.filter(
    (arrival) =>
      arrival.target === target &&
      arrival.headAtMs > thirdAtMs + record.terms.contactMs &&
      wasSentInTouch(arrival),
  );
  if (late.length <= MAX_LATE_SENDS) {
    return [];
  }
  const sends = late.map(({ headAtMs, machine }) => `${Math.round(headAtMs)} at ${machine}`);
  const detail = `${target}: ${ends.length} ends, the third at ${Math.round(thirdAtMs)}; sent on ${sends.join(', ')}`;
  return [{ promise: 'contained', detail }];
}

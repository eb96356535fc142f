/**
 * Judges what is left of requests whose callers have left: half a second later none of them reaches a back end, and none
 * is worked on. Pure.
 */
import type { BrokenPromise } from './broken-promise.js';
import { isInTouch } from './contact.js';
import type { SoakArrival, SoakCall, SoakRecord } from './soak-record.js';

/** Time from the end of a caller's connection until it must have taken effect, in milliseconds. */
const TAKES_EFFECT_MS = 500;
/** Requests that may reach back ends later in a whole soak. */
const FEW = 3;
/** Share of the runs that may go on, of those that would last so long. */
const MAX_RUNNING_SHARE = 0.25;

interface AbandonedArrival {
  readonly call: SoakCall;
  readonly arrival: SoakArrival;
  /** From when on the leave must have taken effect. */
  readonly dueAtMs: number;
}

export function judgeAbandoned(record: SoakRecord): BrokenPromise[] {
  const abandoned = abandonedArrivals(record);
  return [...judgeSent(abandoned), ...judgeRunning(record, abandoned)];
}

/**
 * Arrivals of requests whose callers left, where both machines were in touch until the leave was due. A process that is
 * late for less than the bound at a time has to keep these promises too.
 */
function abandonedArrivals(all: SoakRecord): AbandonedArrival[] {
  const record = { ...all, windows: all.windows.filter(({ kind }) => kind !== 'late') };
  const callsById = new Map(
    record.calls.filter(({ isGivenUp }) => isGivenUp).map((call) => [call.id, call]),
  );
  return record.arrivals.flatMap((arrival) => {
    const call = callsById.get(arrival.id);
    if (call === undefined) {
      return [];
    }
    const dueAtMs = call.endedAtMs + TAKES_EFFECT_MS;
    const untilMs = Math.max(dueAtMs, arrival.headAtMs);
    const areInTouch = [call.machine, arrival.machine].every((machine) =>
      isInTouch(record, machine, call.sentAtMs, untilMs),
    );
    return areInTouch ? [{ call, arrival, dueAtMs }] : [];
  });
}

function judgeSent(abandoned: readonly AbandonedArrival[]): BrokenPromise[] {
  const late = abandoned.filter(({ arrival, dueAtMs }) => arrival.headAtMs > dueAtMs);
  return late.length <= FEW
    ? []
    : late.map(({ call, arrival }) => ({
        promise: 'abandoned-not-sent' as const,
        detail: `${call.id} ${call.target} reached ${arrival.backend} ${msSince(call, arrival.headAtMs)} ms after its caller had left machine ${call.machine}`,
      }));
}

function judgeRunning(record: SoakRecord, abandoned: readonly AbandonedArrival[]): BrokenPromise[] {
  const wouldLast = abandoned.filter(
    ({ call, arrival, dueAtMs }) =>
      call.isSafe &&
      arrival.hasRun &&
      arrival.headAtMs <= dueAtMs &&
      arrival.headAtMs + (arrival.workMs ?? 0) > dueAtMs &&
      record.endedAtMs > dueAtMs,
  );
  const running = wouldLast.filter(({ arrival, dueAtMs }) => arrival.endedAtMs > dueAtMs);
  return running.length <= wouldLast.length * MAX_RUNNING_SHARE
    ? []
    : running.map(({ call, arrival }) => ({
        promise: 'abandoned-not-run' as const,
        detail: `${call.id} ${call.target} ran at ${arrival.backend} until ${msSince(call, arrival.endedAtMs)} ms after its caller had left machine ${call.machine}; one of ${running.length} of ${wouldLast.length}`,
      }));
}

function msSince({ endedAtMs }: SoakCall, atMs: number): number {
  return Math.round(atMs - endedAtMs);
}

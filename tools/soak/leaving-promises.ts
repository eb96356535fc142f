/**
 * Judges whether a machine that had passed on a back end's word that it leaves sent it nothing later than the drain
 * time after that, whatever the store said. Pure.
 */
import type { BrokenPromise } from './broken-promise.js';
import type { SoakArrival, SoakCall, SoakRecord } from './soak-record.js';
import { toldTimesOf, wasInterrupted, type ToldTimes } from './told-machines.js';

export function judgeLeaving(record: SoakRecord): BrokenPromise[] {
  const callsById = new Map(record.calls.map((call) => [call.id, call]));
  const backends = new Set(
    record.arrivals.filter(({ saysLeaving }) => saysLeaving === true).map(({ backend }) => backend),
  );
  return [...backends].flatMap((backend) => judgeBackend(record, backend, callsById));
}

function judgeBackend(
  record: SoakRecord,
  backend: string,
  callsById: ReadonlyMap<string, SoakCall>,
): BrokenPromise[] {
  const arrivals = record.arrivals.filter((arrival) => arrival.backend === backend);
  const told = toldTimesOf(arrivals, callsById, ({ saysLeaving }) => saysLeaving === true);
  return arrivals.flatMap((arrival) => judgeArrival(record, arrival, callsById, told));
}

function judgeArrival(
  record: SoakRecord,
  { id, backend, headAtMs, hasRun }: SoakArrival,
  callsById: ReadonlyMap<string, SoakCall>,
  told: ToldTimes,
): BrokenPromise[] {
  const call = callsById.get(id);
  if (call === undefined || !hasRun) {
    return [];
  }
  const { machine, sentAtMs } = call;
  const toldAtMs = told
    .get(machine)
    ?.find(
      (atMs) =>
        sentAtMs > atMs + record.terms.drainMs && !wasInterrupted(record, machine, atMs, headAtMs),
    );
  if (toldAtMs === undefined) {
    return [];
  }
  const laterMs = Math.round(sentAtMs - toldAtMs);
  const detail = `${id} at ${backend}: sent ${laterMs} ms after machine ${machine} passed on that it leaves`;
  return [{ promise: 'leaving', detail }];
}

/** Which machines of a soak had passed on what back ends state in their answers, and when. Pure. */
import type { SoakArrival, SoakCall, SoakRecord } from './soak-record.js';

/** When each machine had passed on such an answer, by the ends of its calls. */
export type ToldTimes = ReadonlyMap<number, readonly number[]>;

/** The times of answers to the arrivals that `isStated` accepts. */
export function toldTimesOf(
  arrivals: readonly SoakArrival[],
  callsById: ReadonlyMap<string, SoakCall>,
  isStated: (arrival: SoakArrival) => boolean,
): ToldTimes {
  const times = new Map<number, number[]>();
  for (const arrival of arrivals) {
    const call = callsById.get(arrival.id);
    const wasPassedOn = arrival.outcome === 'answered' && call?.status === 200;
    if (call !== undefined && wasPassedOn && isStated(arrival)) {
      times.set(call.machine, [...(times.get(call.machine) ?? []), call.endedAtMs]);
    }
  }
  return times;
}

/** Whether the machine's node was stopped, killed or frozen in this time. */
export function wasInterrupted(
  { windows }: SoakRecord,
  machine: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return windows.some(({ kind, machines, ...window }) => {
    const isInterruption = kind === 'kill' || kind === 'stop' || kind === 'freeze';
    const isStruck = machines === undefined || machines.includes(machine);
    return isInterruption && isStruck && window.fromMs <= untilMs && window.untilMs >= fromMs;
  });
}

/** Whether the links of the machine were harmed in this time. */
export function wasCut(
  { windows }: SoakRecord,
  machine: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return windows.some(
    ({ linksOf, ...window }) =>
      linksOf?.includes(machine) === true && window.fromMs <= untilMs && window.untilMs >= fromMs,
  );
}

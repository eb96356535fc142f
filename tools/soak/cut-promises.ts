/**
 * Judges requests that end without an answer outside of planned stops and reloads. Pure. The users excuse three
 * on kept connections, whatever the time; beside a configuration they count only at a machine that cuts three
 * times as often then as at other times, and not for requests that have used seven tenths of their time.
 */
import type { BrokenPromise } from './broken-promise.js';
import { isCut } from './cut-calls.js';
import type { SoakArrival, SoakCall, SoakRecord } from './soak-record.js';
import { isDuringStop } from './stop-promises.js';

/** Requests that nodes may cut while nothing disturbs them. */
const MAX_CUTS = 3;
/** How long after its acknowledgement plus the bound of its coming into force a configuration is near, in ms. */
const NEAR_MARGIN_MS = 1_000;
/** How much oftener than at other times a machine may cut beside a configuration. */
const MAX_RATIO = 3;
/** Share of its time from which on a request that is cut does not count beside a configuration. */
const USED_SHARE = 0.7;

type ArrivalsById = ReadonlyMap<string, readonly SoakArrival[]>;

/** The requests that nodes cut at any time but while they stop. */
export function judgeCuts(record: SoakRecord, arrivals: ArrivalsById): BrokenPromise[] {
  const cuts = cutsOf(record, arrivals);
  if (cuts.length <= MAX_CUTS) {
    return [];
  }
  return cuts.map((call) => ({ promise: 'kept-connection', detail: describe(call) }));
}

/** The requests that machines cut beside configurations, where they do that oftener than at other times. */
export function judgeConfigurationCuts(
  record: SoakRecord,
  arrivals: ArrivalsById,
): BrokenPromise[] {
  const cuts = cutsOf(record, arrivals);
  return record.serviceOfMachine.flatMap((_service, machine) => {
    const isHere = (call: SoakCall): boolean => call.machine === machine;
    const near = cuts.filter((call) => isHere(call) && isNearConfiguration(record, call));
    const far = cuts.filter((call) => isHere(call) && !isNearConfiguration(record, call));
    const calls = record.calls.filter(isHere);
    const nearCalls = calls.filter((call) => isNearConfiguration(record, call)).length;
    const nearShare = near.length / Math.max(1, nearCalls);
    const farShare = far.length / Math.max(1, calls.length - nearCalls);
    const counted =
      nearShare > MAX_RATIO * farShare ? near.filter((call) => !isNearlyOver(call)) : [];
    return counted.map((call) => ({ promise: 'configuration', detail: describe(call) }));
  });
}

function cutsOf(record: SoakRecord, arrivals: ArrivalsById): SoakCall[] {
  return record.calls.filter(
    (call) => !isDuringStop(record, call) && isCut(record, call, arrivals.get(call.id) ?? []),
  );
}

function isNearConfiguration({ configuredAtMs, terms }: SoakRecord, call: SoakCall): boolean {
  const nearMs = terms.configApplyMs + NEAR_MARGIN_MS;
  return [...configuredAtMs.values()].some(
    (atMs) => atMs <= call.endedAtMs && call.endedAtMs <= atMs + nearMs,
  );
}

function isNearlyOver({ sentAtMs, endedAtMs, deadlineMs, timeoutMs }: SoakCall): boolean {
  return endedAtMs - sentAtMs >= USED_SHARE * Math.min(deadlineMs, timeoutMs);
}

function describe({ id, target, machine, sentAtMs, endedAtMs, connectionEnd }: SoakCall): string {
  const afterMs = Math.round(endedAtMs - sentAtMs);
  return `${id} ${target} was cut at machine ${machine} after ${afterMs} ms (${connectionEnd ?? 'unseen'}), at ${Math.round(endedAtMs)}`;
}

/**
 * Judges what a node does for callers whose connections went silent for good: it ends their requests at
 * their time-outs, sends nothing of them to back ends afterwards, and closes their connections. Pure.
 */
import type { SoakFaultKind } from './fault-plan.js';
import type { BrokenPromise } from './broken-promise.js';
import { silenceOf } from './caller-silence.js';
import type { CallerSilence, SoakArrival, SoakCall, SoakRecord } from './soak-record.js';

/** Room for the two sides' clocks and turns, in milliseconds. */
const SLACK_MS = 500;
/** Longest time-out of a request that a silent connection may carry, with room for its end, in milliseconds. */
const LONGEST_REQUEST_MS = 10_000;
/** Kinds in which a node's process does nothing. */
const HALTS = new Set<SoakFaultKind>(['freeze']);

type ArrivalsById = ReadonlyMap<string, readonly SoakArrival[]>;

/** What silent connections of callers broke. */
export function judgeCallerSilences(record: SoakRecord, arrivals: ArrivalsById): BrokenPromise[] {
  const silent = record.calls.flatMap((call) => {
    const silence = silenceOf(record, call);
    return silence === undefined ? [] : [{ call, silence }];
  });
  return [
    ...silent.flatMap(({ call, silence }) => judgeAnswer(record, call, silence)),
    ...silent.flatMap(({ call }) => judgeEnds(record, call, arrivals.get(call.id) ?? [])),
    ...record.callerSilences.flatMap((silence) => judgeClose(record, silence)),
  ];
}

/** The node answers what it has read the head of, or ends the connection, although nobody hears it. */
function judgeAnswer(record: SoakRecord, call: SoakCall, silence: CallerSilence): BrokenPromise[] {
  const readsHead = call.sentAtMs + record.terms.lossSlackMs < silence.callerLostAtMs;
  const saidAtMs = Math.min(silence.nodeSaidAtMs, silence.nodeEndedAtMs);
  const lateMs = Math.min(saidAtMs, record.endedAtMs) - dueOf(call);
  if (
    hasAnswer(call) ||
    !readsHead ||
    lateMs <= SLACK_MS ||
    isHalted(record, call.machine, call.sentAtMs, saidAtMs)
  ) {
    return [];
  }
  const detail = `${call.id} ${call.target} at machine ${call.machine}: no answer ${Math.round(lateMs)} ms after its time-out`;
  return [{ promise: 'caller-silence', detail }];
}

/** What was on its way when the connection fell silent may reach the caller a moment later. */
function hasAnswer({ status, isWhole }: SoakCall): boolean {
  return status !== 0 && isWhole;
}

/** No back end gets or keeps it after its time-out. */
function judgeEnds(
  record: SoakRecord,
  call: SoakCall,
  arrivals: readonly SoakArrival[],
): BrokenPromise[] {
  return arrivals.flatMap(({ backend, machine, headAtMs, endedAtMs }) => {
    const lateMs = Math.min(endedAtMs, record.endedAtMs) - dueOf(call);
    const halts = [call.machine, machine].some((idx) =>
      isHalted(record, idx, call.sentAtMs, endedAtMs),
    );
    if (lateMs <= SLACK_MS || halts) {
      return [];
    }
    const cameMs = Math.round(headAtMs - dueOf(call));
    const detail = `${call.id} ${call.target}: at ${backend} from ${cameMs} to ${Math.round(lateMs)} ms after its time-out`;
    return [{ promise: 'caller-silence' as const, detail }];
  });
}

/** A connection on which nothing comes is closed by its node. */
function judgeClose(record: SoakRecord, silence: CallerSilence): BrokenPromise[] {
  const { machine, callerPort, callerLostAtMs, nodeEndedAtMs } = silence;
  const boundMs = LONGEST_REQUEST_MS + record.terms.idleTimeoutMs;
  const tookMs = Math.min(nodeEndedAtMs, record.endedAtMs) - callerLostAtMs;
  if (tookMs <= boundMs || isHalted(record, machine, callerLostAtMs, nodeEndedAtMs)) {
    return [];
  }
  const detail = `connection ${callerPort} at machine ${machine} was kept for ${Math.round(tookMs)} ms`;
  return [{ promise: 'caller-silence', detail }];
}

function dueOf({ sentAtMs, deadlineMs, timeoutMs }: SoakCall): number {
  return sentAtMs + Math.min(deadlineMs, timeoutMs);
}

function isHalted(
  { windows }: SoakRecord,
  machine: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return windows.some(
    (window) =>
      HALTS.has(window.kind) &&
      (window.machines ?? [machine]).includes(machine) &&
      window.fromMs <= untilMs &&
      window.untilMs >= fromMs,
  );
}

/** Requests that nodes had read and that got no whole answer. Pure. */
import { isSilenced } from './caller-silence.js';
import type { SoakFaultKind } from './fault-plan.js';
import type { SoakArrival, SoakCall, SoakRecord } from './soak-record.js';

/**
 * Kinds that end or halt a process, or harm its links. A disturbed store is none: what a node has read
 * does not wait for it.
 */
const EXCUSES = new Set<SoakFaultKind>(['kill', 'freeze', 'relay-link', 'backend-link', 'narrow']);

/** Whether a request that its node had read got no whole answer, with nothing to excuse it. */
export function isCut(
  record: SoakRecord,
  call: SoakCall,
  arrivals: readonly SoakArrival[],
): boolean {
  const { sentAtMs, sentWholeAtMs, endedAtMs, deadlineMs, timeoutMs } = call;
  // What came behind another request and was never passed on counts as not read.
  if ((call.aheadCount ?? 0) > 0 && arrivals.length === 0) {
    return false;
  }
  const wasRead = arrivals.length > 0 || sentWholeAtMs + record.terms.lossSlackMs < endedAtMs;
  const hadTime = endedAtMs < sentAtMs + Math.min(deadlineMs, timeoutMs);
  return (
    call.wasSent &&
    !call.isWhole &&
    !call.isGivenUp &&
    wasRead &&
    hadTime &&
    !arrivals.some(hasBrokenOff) &&
    !isSilenced(record, call) &&
    !isExcused(record, call)
  );
}

/** What a back end wrote in the moment of its own end may not have left it. */
function hasBrokenOff({ brokeOff, outcome }: SoakArrival): boolean {
  return brokeOff || outcome === 'broke-off';
}

/** Whether the process was ended or halted by force, or its own links were harmed. */
function isExcused({ windows, terms }: SoakRecord, call: SoakCall): boolean {
  return windows.some(
    ({ kind, machines, linksOf, fromMs, untilMs }) =>
      EXCUSES.has(kind) &&
      (linksOf ?? machines ?? [call.machine]).includes(call.machine) &&
      fromMs <= call.endedAtMs &&
      untilMs + terms.contactMs >= call.sentAtMs,
  );
}

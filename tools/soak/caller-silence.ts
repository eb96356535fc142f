/** Callers' connections that fell silent, and the requests on them. Pure. */
import type { CallerSilence, SoakCall, SoakRecord } from './soak-record.js';

/** Whether a silence on its own connection kept the request from its node, or the answer from it. */
export function isSilenced(record: SoakRecord, call: SoakCall): boolean {
  const silence = silenceOf(record, call);
  return (
    silence !== undefined &&
    (silence.nodeLostAtMs <= call.endedAtMs ||
      silence.callerLostAtMs <= call.sentWholeAtMs + record.terms.lossSlackMs)
  );
}

/** The silence that its connection fell into before it ended. */
export function silenceOf(
  { callerSilences }: SoakRecord,
  call: SoakCall,
): CallerSilence | undefined {
  return callerSilences.find(
    ({ machine, callerPort, atMs, callerEndedAtMs }) =>
      callerPort === call.callerPort &&
      machine === call.machine &&
      atMs <= call.endedAtMs &&
      callerEndedAtMs >= call.sentAtMs,
  );
}

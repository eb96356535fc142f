/** What the system says of a process: how long it ran and waited for a core, and whether it could go on now. */
import { readFileSync } from 'node:fs';

const NS_PER_MS = 1e6;
/** The state of a process that runs, or waits for a core. */
const RUNNABLE_STATE = 'R';

/** What a process has run, and waited for a core, in milliseconds. */
export interface CoreTimes {
  readonly ranMs: number;
  readonly waitedMs: number;
}

/**
 * From the system's account of the process: time on a core and time ready without one, in nanoseconds, and
 * turns. Undefined where it is not known.
 */
export function readCoreTimes(processId: number): CoreTimes | undefined {
  try {
    const [ranNs, waitedNs] = readFileSync(`/proc/${processId}/schedstat`, 'utf8').split(' ');
    return { ranMs: Number(ranNs) / NS_PER_MS, waitedMs: Number(waitedNs) / NS_PER_MS };
  } catch {
    return undefined;
  }
}

/** Whether the process runs or waits for a core; false where it is not known. */
export function isRunnable(processId: number): boolean {
  try {
    const text = readFileSync(`/proc/${processId}/stat`, 'utf8');
    // The name before the state stands in parentheses, and may contain any character.
    const [state] = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return state === RUNNABLE_STATE;
  } catch {
    return false;
  }
}

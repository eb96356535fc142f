/** Processor time and memory of any process of this machine, from `/proc` (Linux). */
import { readFileSync } from 'node:fs';

/** Clock ticks a second in `/proc/<id>/stat`: a constant of Linux's interface on all its platforms. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;
/** Positions after the command's name in `/proc/<id>/stat`. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Usage since the start of the process. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Usage of the process; undefined when it has ended. */
export function processUsage(processId: number): ProcessUsage | undefined {
  try {
    const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
    const status = readFileSync(`/proc/${processId}/status`, 'utf8');
    return parseUsage(stat, status);
  } catch {
    return undefined;
  }
}

/** Usage from the two files' texts. */
export function parseUsage(stat: string, status: string): ProcessUsage {
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const resident = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? '0';
  return {
    cpuMs: (ticks * 1_000) / TICKS_PER_SECOND,
    residentBytes: Number(resident) * BYTES_PER_KIB,
  };
}

/** Processor time and memory of other processes, as Linux tells them. */
import { readFile } from 'node:fs/promises';

/** Ticks a second in `/proc/<id>/stat`: fixed by the kernel's interface. */
const TICKS_PER_SECOND = 100;
/** Fields of the line after the process name, counted from the state field. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const BYTES_PER_KIB = 1_024;

/** What a process has used. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Reads the usage of a process; rejects when it has ended. */
export async function readProcessUsage(processId: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${processId}/stat`, 'utf8');
  const status = await readFile(`/proc/${processId}/status`, 'utf8');
  return { cpuMs: cpuMsOf(stat), residentBytes: residentBytesOf(status) };
}

/** Processor time in a `stat` line, in milliseconds. */
export function cpuMsOf(stat: string): number {
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

/** Resident memory in a `status` text, in bytes. */
export function residentBytesOf(status: string): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  return Number(match?.[1] ?? 0) * BYTES_PER_KIB;
}

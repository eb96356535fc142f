/** Processor time of a process to the microsecond, from the scheduler's count of each thread (Linux). */
import { readdirSync, readFileSync } from 'node:fs';

const NS_PER_MS = 1_000_000;

/** Processor time of all threads that the process has now, in milliseconds; 0 when it has ended. */
export function threadTimesMs(processId: number): number {
  try {
    const folder = `/proc/${processId}/task`;
    return readdirSync(folder).reduce((sum, thread) => {
      const [runNs = '0'] = readFileSync(`${folder}/${thread}/schedstat`, 'utf8').split(' ');
      return sum + Number(runNs) / NS_PER_MS;
    }, 0);
  } catch {
    return 0;
  }
}

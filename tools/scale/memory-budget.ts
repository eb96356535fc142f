/** Whether a run fits the machine, before it starts and while it runs. */

/** Memory of all processes of a run at most. */
export const MAX_RUN_BYTES = 14 * 2 ** 30;
/** Processes of a run at most. */
export const MAX_PROCESSES = 200;
/** Estimate of a process without nodes. */
const BASE_PROCESS_BYTES = 80 * 2 ** 20;
/**
 * Estimate of a hollow node: a constant part with room for garbage, and one that grows with the fleet's
 * documents: 1,650 bytes of live heap for each machine were measured from 50 to 400 nodes.
 */
const NODE_BYTES = 2 * 2 ** 20;
const NODE_BYTES_PER_MACHINE = 2_000;

/** The run does not fit. */
export class RunTooLargeError extends Error {
  override readonly name = 'RunTooLargeError';
  readonly code = 'RUN_TOO_LARGE';
}

/** Throws {@link RunTooLargeError} when a run of `nodes` in `processes` would not fit. */
export function checkFits(nodes: number, processes: number, sharesDocuments = false): void {
  const perMachine = sharesDocuments ? 0 : NODE_BYTES_PER_MACHINE;
  const bytes = processes * BASE_PROCESS_BYTES + nodes * (NODE_BYTES + nodes * perMachine);
  if (processes > MAX_PROCESSES) {
    throw new RunTooLargeError(`${processes} processes, at most ${MAX_PROCESSES}`);
  }
  checkResident(bytes);
}

/** Throws {@link RunTooLargeError} when more memory is taken than a run may. */
export function checkResident(bytes: number): void {
  if (bytes > MAX_RUN_BYTES) {
    const gib = (bytes / 2 ** 30).toFixed(1);
    throw new RunTooLargeError(`${gib} GiB of memory, at most ${MAX_RUN_BYTES / 2 ** 30} GiB`);
  }
}

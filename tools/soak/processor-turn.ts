/** Lets stopped processes run for a turn. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Child } from '../shared/child-process.js';
import { isRunnable, readCoreTimes } from './process-times.js';

/** Longest wait for a core beyond the turn, in milliseconds. */
const MAX_WAIT_MS = 150;
/** Time between two looks, in milliseconds. */
const LOOK_MS = 2;

/**
 * Continues the processes and resolves when their turn is over. A process that has got no core by then keeps its turn until it
 * has: otherwise it would be late for two turns or more on a busy machine, longer than the fault is meant to be.
 */
export async function giveTurn(processes: readonly Child[], runMs: number): Promise<void> {
  const ranBefore = processes.map(ranMs);
  processes.forEach((one) => one.signal('SIGCONT'));
  await delay(runMs);
  const endsAtMs = performance.now() + MAX_WAIT_MS;
  const isWaiting = (one: Child, idx: number): boolean =>
    one.processId !== undefined &&
    isRunnable(one.processId) &&
    ranMs(one) - (ranBefore[idx] ?? 0) < runMs;
  while (processes.some(isWaiting) && performance.now() < endsAtMs) {
    await delay(LOOK_MS);
  }
}

function ranMs({ processId }: Child): number {
  return processId === undefined ? 0 : (readCoreTimes(processId)?.ranMs ?? 0);
}

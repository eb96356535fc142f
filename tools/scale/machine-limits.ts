/** Tells figures of the product from those that the measuring machine spoils. */
import type { PhaseReport } from './scale-report.js';

/** Delay of a hollow process's event loop above which its figures of time are not the product's. */
export const MAX_LOOP_DELAY_P99_MS = 100;

/** What was too much for the machine, in words. */
export function findMachineLimits(phases: readonly PhaseReport[], processors: number): string[] {
  return phases.flatMap(({ name, figures }) => {
    const found: string[] = [];
    if (figures.loopDelayP99Ms > MAX_LOOP_DELAY_P99_MS) {
      found.push(`${name}: event loops late by ${figures.loopDelayP99Ms} ms (p99)`);
    }
    if (figures.loadAverage > processors) {
      found.push(`${name}: load ${figures.loadAverage} on ${processors} processors`);
    }
    return found;
  });
}

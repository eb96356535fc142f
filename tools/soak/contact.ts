/** Which machines of a soak are in touch, so that the bounds in time hold for them. Pure. */
import type { SoakFaultKind } from './fault-plan.js';
import type { SoakRecord } from './soak-record.js';

/** Whether nothing but planned work touched the machine from shortly before until the end. */
export function isInTouch(
  record: SoakRecord,
  machine: number,
  fromMs: number,
  untilMs: number,
): boolean {
  return !record.windows.some(
    (window) =>
      !isHarmless(window.kind) &&
      (window.machines === undefined || window.machines.includes(machine)) &&
      window.fromMs <= untilMs &&
      window.untilMs + record.terms.contactMs >= fromMs,
  );
}

/**
 * Kinds that are planned work, or strike back ends, single callers or single connections alone. Callers of a machine that the
 * store refuses cannot tell the difference, so it is in touch: it runs, and peers have what it lacks.
 */
function isHarmless(kind: SoakFaultKind): boolean {
  return (
    kind === 'configure' ||
    kind === 'misconfigure' ||
    kind === 'store-refusal' ||
    kind === 'caller-link' ||
    kind === 'reload' ||
    kind === 'backend-drain' ||
    kind === 'stall' ||
    kind === 'backend-fault' ||
    kind === 'backend-limit' ||
    kind === 'backend-leave' ||
    kind === 'backend-crash'
  );
}

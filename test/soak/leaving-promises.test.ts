/** The judge of back ends that say in their answers that they leave. */
import { expect } from 'chai';
import { judgeLeaving } from '../../tools/soak/leaving-promises.js';
import type { FaultWindow, SoakArrival, SoakCall } from '../../tools/soak/soak-record.js';
import { SOAK_TERMS } from '../../tools/soak/soak-terms.js';
import { soakRecordOf } from './soak-records.js';

const TOLD_AT_MS = 10_000;
const MACHINE = 1;

/** The requests of one machine: one that is told that the back end leaves, and a later one. */
function broken(
  later: { readonly afterMs: number; readonly machine?: number; readonly backend?: string },
  windows: readonly FaultWindow[] = [],
): string[] {
  const { afterMs, machine = MACHINE, backend = 'i-0-1' } = later;
  const sentAtMs = TOLD_AT_MS + afterMs;
  const calls = [
    { id: 'told', machine: MACHINE, sentAtMs: 9_900, endedAtMs: TOLD_AT_MS, status: 200 },
    { id: 'later', machine, sentAtMs, endedAtMs: sentAtMs + 10, status: 200 },
  ] as SoakCall[];
  const answered = { hasRun: true, outcome: 'answered', saysLeaving: true };
  const arrivals = [
    { ...answered, id: 'told', backend: 'i-0-1', headAtMs: 9_901 },
    { ...answered, id: 'later', backend, headAtMs: sentAtMs + 1 },
  ] as SoakArrival[];
  return judgeLeaving(soakRecordOf({ calls, arrivals, windows })).map(({ promise }) => promise);
}

const LATE_MS = SOAK_TERMS.drainMs + 100;

describe('the judge of back ends that leave', () => {
  it('finds a request of a machine that passed on that the back end leaves', () => {
    expect(broken({ afterMs: LATE_MS })).to.deep.equal(['leaving']);
  });

  it('allows requests within the drain time, of other machines and to other back ends', () => {
    expect(broken({ afterMs: SOAK_TERMS.drainMs - 100 })).to.deep.equal([]);
    expect(broken({ afterMs: LATE_MS, machine: 2 })).to.deep.equal([]);
    expect(broken({ afterMs: LATE_MS, backend: 'i-0-2' })).to.deep.equal([]);
  });

  it('excuses a machine that was restarted or frozen since then, but not one that was cut off', () => {
    const window = { machines: [MACHINE], fromMs: 10_500, untilMs: 10_600 };
    for (const kind of ['kill', 'stop', 'freeze'] as const) {
      expect(broken({ afterMs: LATE_MS }, [{ ...window, kind }])).to.deep.equal([]);
    }
    const cut = { ...window, kind: 'relay-link', machines: undefined, linksOf: [MACHINE] } as const;
    expect(broken({ afterMs: LATE_MS }, [cut])).to.deep.equal(['leaving']);
  });
});

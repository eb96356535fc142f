/** The judge of requests whose callers have left. */
import { expect } from 'chai';
import { judgeAbandoned } from '../../tools/soak/abandon-promises.js';
import type { FaultWindow, SoakArrival, SoakCall } from '../../tools/soak/soak-record.js';
import { soakRecordOf } from './soak-records.js';

const SENT_AT_MS = 10_000;
const LEFT_AT_MS = 10_090;

interface Abandoned {
  /** Times from the leave of the caller, in milliseconds. */
  readonly arrivesAfterMs: number;
  readonly endsAfterMs: number;
  readonly workMs?: number;
  readonly isSafe?: boolean;
  readonly isGivenUp?: boolean;
}

/** Promises that broke by `count` requests that are all alike. */
function broken(
  count: number,
  { arrivesAfterMs, endsAfterMs, workMs = 0, isSafe = true, isGivenUp = true }: Abandoned,
  windows: readonly FaultWindow[] = [],
): string[] {
  const ids = Array.from({ length: count }, (_, idx) => `l${idx}`);
  const calls = ids.map((id) => ({
    ...{ id, machine: 1, isSafe, isGivenUp, target: '/reads/1' },
    sentAtMs: SENT_AT_MS,
    endedAtMs: LEFT_AT_MS,
  })) as SoakCall[];
  const arrivals = ids.map((id) => ({
    ...{ id, machine: 2, backend: 'i-2-1', hasRun: true, workMs },
    headAtMs: LEFT_AT_MS + arrivesAfterMs,
    endedAtMs: LEFT_AT_MS + endsAfterMs,
  })) as SoakArrival[];
  return judgeAbandoned(soakRecordOf({ calls, arrivals, windows })).map(({ promise }) => promise);
}

const SENT_LATE = { arrivesAfterMs: 501, endsAfterMs: 510 };
const RUNS_ON = { arrivesAfterMs: -50, endsAfterMs: 501, workMs: 800 };

describe('the judge of callers that leave', () => {
  it('finds more than a few requests that arrive later than half a second', () => {
    expect(broken(4, SENT_LATE)).to.deep.equal(Array(4).fill('abandoned-not-sent'));
    expect(broken(4, { ...SENT_LATE, isSafe: false })).to.have.length(4);
    expect(broken(3, SENT_LATE)).to.deep.equal([]);
    expect(broken(4, { arrivesAfterMs: 499, endsAfterMs: 510 })).to.deep.equal([]);
    expect(broken(4, { ...SENT_LATE, isGivenUp: false })).to.deep.equal([]);
  });

  it('finds runs that go on, of those that would last so long and may be repeated', () => {
    expect(broken(1, RUNS_ON)).to.deep.equal(['abandoned-not-run']);
    expect(broken(1, { ...RUNS_ON, endsAfterMs: 499 })).to.deep.equal([]);
    expect(broken(1, { ...RUNS_ON, workMs: 540 })).to.deep.equal([]);
    expect(broken(1, { ...RUNS_ON, isSafe: false })).to.deep.equal([]);
  });

  it('excuses machines out of touch, but not those whose processes are late', () => {
    const window = { machines: [2], fromMs: 9_000, untilMs: 9_500 };
    expect(broken(4, SENT_LATE, [{ ...window, kind: 'kill' }])).to.deep.equal([]);
    expect(broken(4, SENT_LATE, [{ ...window, kind: 'late' }])).to.have.length(4);
  });
});

import { expect } from 'chai';
import { auditCalls } from '../../tools/shared/call-audit.js';
import type { CallEnd, CallRecord } from '../../tools/shared/call-record.js';
import {
  findBroken,
  countEnds,
  findCutWithoutFailure,
  findUnservedByUntouched,
  RECOVERY_MS,
  type FaultRunResult,
} from '../../tools/faults/fault-checks.js';
import { formatTable } from '../../tools/faults/fault-report.js';

const AT = 100_000;
const SERVED: CallEnd = { type: 'answered', status: 200, verdict: 'ran' };

function call(end: CallEnd, startedAt = AT): CallRecord {
  const common = { callId: 'c', service: 's', repeatable: false, node: 'n', latencyMs: 10 };
  return { ...common, startedAt, end };
}

const EXECUTION = { requestId: 'r', callId: 'c', startedAt: AT, outcome: 'finished' } as const;

const CLEAN: FaultRunResult = {
  title: 'Parkhaven',
  seed: 1,
  failures: 9,
  audit: auditCalls([call(SERVED)], [EXECUTION]),
  dropped: 0,
  cutWithoutFailure: [],
  unservedByUntouched: [],
  executions: 1,
  falls: [],
  versionsPublished: 5,
  badVersionsHeld: [],
  peakReaders: 4,
  readersRefused: 0,
  readerBound: 4,
  convergenceMs: 800,
  behind: [],
  withoutNewRoute: [],
  plannedExits: [{ name: 'node a', code: 0 }],
  endedUnasked: [],
};

describe('fault checks', () => {
  it('find nothing in a clean run', () => {
    expect(findBroken(CLEAN)).to.deep.equal([]);
    expect(formatTable(CLEAN)).to.include('Parkhaven').and.to.include('4 of 4');
  });

  const broken: [Partial<FaultRunResult>, string][] = [
    [{ audit: auditCalls([], []) }, 'no call was served'],
    [{ audit: auditCalls([call(SERVED)], []) }, 'unbacked: c'],
    [{ audit: auditCalls([call(SERVED)], [EXECUTION, EXECUTION]) }, 'doubled: c'],
    [{ cutWithoutFailure: [call({ type: 'broken' })] }, 'calls cut although nothing failed: c'],
    [{ falls: [{ node: 'a', from: 3, to: 2 }] }, 'versions fell: a 3->2'],
    [{ badVersionsHeld: [4] }, 'bad versions held: 4'],
    [{ peakReaders: 5 }, 'readers at the platform: 5 of 4, 0 refused'],
    [{ readersRefused: 1 }, 'readers at the platform: 4 of 4, 1 refused'],
    [{ convergenceMs: undefined }, 'the last version was not in force everywhere within 30000 ms'],
    [{ behind: ['a (3)'] }, 'without the last version: a (3)'],
    [{ withoutNewRoute: ['a'] }, 'without the route of the last version: a'],
    [
      { plannedExits: [{ name: 'node a', code: undefined }] },
      'planned stops that did not end cleanly: node a (too long)',
    ],
    [
      { plannedExits: [{ name: 'node a', code: null }] },
      'planned stops that did not end cleanly: node a (by a signal)',
    ],
    [{ endedUnasked: ['a'] }, 'ended unasked: a'],
  ];
  for (const [change, text] of broken) {
    it(`find: ${text}`, () => {
      expect(findBroken({ ...CLEAN, ...change })).to.deep.equal([text]);
    });
  }

  const inDoubt: CallEnd = { type: 'answered', status: 504, verdict: 'may-have-run' };
  const window = { fromMs: AT, untilMs: AT + 1_000 };
  const cuts: [string, CallRecord, boolean][] = [
    ['broken before any failure', call({ type: 'broken' }, AT - 11), true],
    ['broken as the failure began', call({ type: 'broken' }, AT - 10), false],
    ['in doubt during it', call(inDoubt, AT + 500), false],
    ['timed out in the recovery', call({ type: 'timed-out' }, window.untilMs + RECOVERY_MS), false],
    ['in doubt after it', call(inDoubt, window.untilMs + RECOVERY_MS + 1), true],
    ['not sent', call({ type: 'not-sent' }, 0), false],
    ['served', call(SERVED, 0), false],
  ];
  for (const [name, record, isCut] of cuts) {
    it(`${isCut ? 'judge' : 'excuse'} a call ${name}`, () => {
      expect(findCutWithoutFailure([record], [window])).to.deep.equal(isCut ? [record] : []);
    });
  }

  const absence = { node: 'n', ...window };
  const afterIt = window.untilMs + RECOVERY_MS + 1;
  const reads: [string, Partial<CallRecord>, boolean][] = [
    ['a read while its node was away', { end: inDoubt }, false],
    ['a read while another node was away', { end: inDoubt, node: 'm' }, true],
    ['a read after its node was back', { end: inDoubt, startedAt: afterIt }, true],
    ['an order', { end: inDoubt, node: 'm', repeatable: false }, false],
    ['a read that was served', { node: 'm' }, false],
  ];
  for (const [name, change, isCounted] of reads) {
    it(`${isCounted ? 'count' : 'leave out'} ${name} among those unserved by untouched nodes`, () => {
      const record = { ...call(SERVED), repeatable: true, ...change };
      const counted = findUnservedByUntouched([record], [absence]);
      expect(countEnds(counted)).to.equal(isCounted ? '1 504 may-have-run' : 'none');
    });
  }
});

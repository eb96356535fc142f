/**
 * The judge of deliveries. A node that takes a slow connection for a silent one may end the request there
 * and find no other endpoint: its caller is told of an error although the endpoint answers, or would have.
 */
import { expect } from 'chai';
import { judgeDeliveries } from '../../tools/soak/delivery-promises.js';
import { judgeSoak } from '../../tools/soak/promises.js';
import type {
  FaultWindow,
  SoakArrival,
  SoakCall,
  SoakRecord,
} from '../../tools/soak/soak-record.js';
import { SOAK_TERMS } from '../../tools/soak/soak-terms.js';
import { soakRecordOf } from './soak-records.js';

const CALL: SoakCall = {
  id: 'q1',
  machine: 0,
  life: 1,
  isSafe: true,
  target: '/scans/q1',
  body: '',
  addedBy: undefined,
  sentAtMs: 20_000,
  endedAtMs: 20_600,
  deadlineMs: 3_000,
  timeoutMs: 6_000,
  sentWholeAtMs: 20_001,
  status: 502,
  isWhole: true,
  isSigned: false,
  answer: '{"code":"CONNECTION_LOST"}',
  wasSent: true,
  callerPort: 40_000,
  isGivenUp: false,
};

const RUN: SoakArrival = {
  id: 'q1',
  backend: 'i-1-1',
  machine: 1,
  headAtMs: 20_010,
  atMs: 20_010,
  target: '/scans/q1',
  method: 'GET',
  body: '',
  callerService: 'reads',
  deadlineMs: 2_990,
  hasRun: true,
  brokeOff: false,
  outcome: 'answered',
  endedAtMs: 20_400,
};

const NEAR: FaultWindow = { kind: 'stall', machines: undefined, fromMs: 20_100, untilMs: 20_700 };

function broken(
  call: Partial<SoakCall> = {},
  run: Partial<SoakArrival> = {},
  changes: Partial<SoakRecord> = {},
): number {
  const runs = [{ ...RUN, ...run }];
  const record = soakRecordOf({ calls: [{ ...CALL, ...call }], arrivals: runs, ...changes });
  return judgeDeliveries(record, new Map([['q1', record.arrivals]])).length;
}

describe('the judge of deliveries', () => {
  it('finds an error of a node where the endpoint answered, or was cut at work', () => {
    expect(broken()).to.equal(1);
    expect(broken({}, { outcome: 'cut' })).to.equal(1);
    expect(broken({}, { outcome: 'cut', endedAtMs: 20_900 })).to.equal(1);
    expect(broken({ status: 504 })).to.equal(1);
  });

  it('tells it with all other promises', () => {
    const record = soakRecordOf({ calls: [CALL], arrivals: [RUN] });
    expect(judgeSoak(record).map(({ promise }) => promise)).to.include('answer-delivered');
  });

  it('finds one of several runs', () => {
    const other = { ...RUN, backend: 'i-3-1', hasRun: false, outcome: 'failed' as const };
    expect(broken({}, {}, { arrivals: [other, RUN] })).to.equal(1);
    expect(broken({}, {}, { arrivals: [other] })).to.equal(0);
  });

  it('goes by errors of nodes about what may have run alone', () => {
    [0, 200, 500, 503].forEach((status) => expect(broken({ status })).to.equal(0));
  });

  it('lets errors pass at the deadline, or of the endpoint, or to callers that left', () => {
    expect(broken({ endedAtMs: 22_700 })).to.equal(1);
    expect(broken({ endedAtMs: 22_900 })).to.equal(0);
    expect(broken({ timeoutMs: 600 })).to.equal(0);
    expect(broken({ isGivenUp: true })).to.equal(0);
    expect(broken({}, { outcome: 'broke-off', brokeOff: true })).to.equal(0);
    expect(broken({}, { outcome: 'failed' })).to.equal(0);
    expect(broken({}, { hasRun: false })).to.equal(0);
  });

  it('is excused by the end of a process that it went through, alone', () => {
    const windows = (...machines: number[]): Partial<SoakRecord> => ({
      windows: [{ ...NEAR, kind: 'kill', machines }],
    });
    expect(broken({}, {}, windows(0))).to.equal(0);
    expect(broken({}, {}, windows(1))).to.equal(0);
    expect(broken({}, {}, windows(2))).to.equal(1);
    const before = { ...NEAR, kind: 'kill', machines: [0], fromMs: 0, untilMs: 19_900 } as const;
    expect(broken({}, {}, { windows: [before] })).to.equal(1);
  });

  it('is excused by a link that loses what is said on it, and by no link that is slow', () => {
    const link = { ...NEAR, kind: 'relay-link', linksOf: [1] } as const;
    expect(broken({}, {}, { windows: [{ ...link, losesConnections: true }] })).to.equal(0);
    expect(
      broken({}, {}, { windows: [{ ...link, losesConnections: true, linksOf: [2] }] }),
    ).to.equal(1);
    expect(broken({}, {}, { windows: [link] })).to.equal(1);
    expect(broken({}, {}, { windows: [NEAR] })).to.equal(1);
    expect(broken({}, {}, { windows: [{ ...NEAR, kind: 'freeze', machines: [1] }] })).to.equal(1);
    expect(broken({}, {}, { windows: [{ ...NEAR, kind: 'store-outage' }] })).to.equal(1);
  });

  it('is excused by the end of the grace time of a planned stop, and by none before', () => {
    const stopAt = (machine: number, atMs: number): Partial<SoakRecord> => ({
      stops: [{ machine, atMs, tookMs: SOAK_TERMS.graceMs, code: 0, hadStarted: true }],
    });
    const early = { sentAtMs: 17_500, sentWholeAtMs: 17_501, deadlineMs: 6_000 };
    expect(broken(early, {}, stopAt(0, 15_000))).to.equal(0);
    // Sent 5 s after the signal: a node refuses such a request, it does not begin and abandon it.
    expect(broken({}, {}, stopAt(0, 15_000))).to.equal(1);
    expect(broken({}, {}, stopAt(1, 15_000))).to.equal(0);
    expect(broken({}, {}, stopAt(0, 20_300))).to.equal(1);
    expect(broken({}, {}, stopAt(1, 17_000))).to.equal(1);
    expect(broken({}, {}, stopAt(2, 15_000))).to.equal(1);
  });
});

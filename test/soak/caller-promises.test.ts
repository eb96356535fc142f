/** The judge of callers whose connections went silent: what must hold, and what a silence excuses. */
import { expect } from 'chai';
import { judgeCallerSilences } from '../../tools/soak/caller-promises.js';
import { isSilenced } from '../../tools/soak/caller-silence.js';
import type { SoakPromise } from '../../tools/soak/broken-promise.js';
import { judgeSoak } from '../../tools/soak/promises.js';
import type {
  CallerSilence,
  SoakArrival,
  SoakCall,
  SoakRecord,
} from '../../tools/soak/soak-record.js';
import { soakRecordOf } from './soak-records.js';

const DUE_MS = 25_000;

/** Half sent when its connection falls silent. */
const CALL: SoakCall = {
  id: 'u1',
  machine: 0,
  life: 1,
  isSafe: false,
  target: '/uploads/u1',
  body: 'x',
  addedBy: undefined,
  sentAtMs: 20_000,
  endedAtMs: 26_500,
  deadlineMs: 5_000,
  timeoutMs: 8_000,
  sentWholeAtMs: Infinity,
  status: 0,
  isWhole: false,
  isSigned: false,
  answer: '',
  wasSent: true,
  callerPort: 40_000,
  isGivenUp: false,
};

/** Lost both ways; its node answers in time and closes it. */
const SILENCE: CallerSilence = {
  machine: 0,
  callerPort: 40_000,
  atMs: 21_000,
  callerLostAtMs: 21_000,
  nodeLostAtMs: 21_000,
  nodeSaidAtMs: 25_010,
  callerEndedAtMs: 26_500,
  nodeEndedAtMs: 25_020,
};

const ARRIVAL: SoakArrival = {
  id: 'u1',
  backend: 'i-1',
  machine: 1,
  headAtMs: 20_500,
  atMs: 20_500,
  target: '/uploads/u1',
  method: 'POST',
  body: 'x',
  callerService: 'reads',
  deadlineMs: 4_500,
  hasRun: true,
  brokeOff: false,
  outcome: 'answered',
  endedAtMs: 25_050,
};

function recordOf(
  silence: Partial<CallerSilence> = {},
  changes: Partial<SoakRecord> = {},
): SoakRecord {
  return soakRecordOf({ calls: [CALL], callerSilences: [{ ...SILENCE, ...silence }], ...changes });
}

function brokenIn(silence: Partial<CallerSilence>, changes: Partial<SoakRecord> = {}): number {
  const record = recordOf(silence, changes);
  const byId = new Map([[CALL.id, record.arrivals]]);
  return judgeCallerSilences(record, byId).length;
}

const FROZEN = { kind: 'freeze', machines: [0], fromMs: 24_000, untilMs: 27_000 } as const;
const NO_ANSWER = { nodeSaidAtMs: Infinity, nodeEndedAtMs: 26_000 };

describe('the judge of silent callers', () => {
  it('finds nothing where the node answers in time and closes the connection', () => {
    expect(brokenIn({})).to.equal(0);
    expect(brokenIn({ nodeSaidAtMs: Infinity })).to.equal(0);
    expect(brokenIn({ nodeEndedAtMs: 44_000 })).to.equal(0);
  });

  it('finds a request that is not answered at its time-out, unless the node was frozen', () => {
    expect(brokenIn(NO_ANSWER)).to.equal(1);
    expect(brokenIn({ ...NO_ANSWER, nodeEndedAtMs: Infinity })).to.equal(2);
    expect(brokenIn(NO_ANSWER, { windows: [FROZEN] })).to.equal(0);
    expect(brokenIn(NO_ANSWER, { windows: [{ ...FROZEN, machines: [1] }] })).to.equal(1);
    expect(brokenIn(NO_ANSWER, { endedAtMs: DUE_MS })).to.equal(0);
  });

  it('finds it also where only the answer is lost, but not where the head may be', () => {
    expect(brokenIn({ ...NO_ANSWER, callerLostAtMs: Infinity })).to.equal(1);
    const idle = { ...NO_ANSWER, atMs: 19_000, callerLostAtMs: 19_000 };
    expect(brokenIn(idle)).to.equal(0);
    expect(brokenIn({ ...idle, callerLostAtMs: Infinity })).to.equal(1);
  });

  it('finds nothing where the whole answer passed just before, but where a part of it did', () => {
    const got = { ...CALL, status: 200, isWhole: true, endedAtMs: 21_001 };
    const said = { ...NO_ANSWER, nodeEndedAtMs: 44_000 };
    expect(brokenIn(said, { calls: [got] })).to.equal(0);
    expect(brokenIn(said, { calls: [{ ...got, isWhole: false }] })).to.equal(1);
  });

  it('goes by the connection of the request', () => {
    expect(brokenIn({ ...NO_ANSWER, callerPort: 40_001 })).to.equal(0);
    expect(brokenIn({ ...NO_ANSWER, machine: 1 })).to.equal(0);
    expect(brokenIn({ ...NO_ANSWER, callerEndedAtMs: 19_000, atMs: 18_000 })).to.equal(0);
  });

  it('finds a back end that gets or keeps it after its time-out', () => {
    expect(brokenIn({}, { arrivals: [ARRIVAL] })).to.equal(0);
    expect(brokenIn({}, { arrivals: [{ ...ARRIVAL, endedAtMs: 25_600 }] })).to.equal(1);
    expect(brokenIn({}, { arrivals: [{ ...ARRIVAL, endedAtMs: Infinity }] })).to.equal(1);
    const late = { ...ARRIVAL, headAtMs: 26_000, endedAtMs: 26_010 };
    expect(brokenIn({}, { arrivals: [late] })).to.equal(1);
    expect(brokenIn({}, { arrivals: [late], windows: [FROZEN] })).to.equal(0);
  });

  it('finds a connection that is kept although nothing comes on it', () => {
    expect(brokenIn({ nodeEndedAtMs: 46_500 })).to.equal(1);
    expect(brokenIn({ nodeEndedAtMs: Infinity })).to.equal(1);
    expect(brokenIn({ nodeEndedAtMs: Infinity }, { endedAtMs: 45_000 })).to.equal(0);
    expect(brokenIn({ nodeEndedAtMs: Infinity, callerLostAtMs: Infinity })).to.equal(0);
  });

  it('excuses the lost answer alone, not one that the caller could have got', () => {
    const whole = { ...CALL, sentWholeAtMs: 20_300 };
    expect(isSilenced(recordOf(), whole)).to.equal(true);
    expect(isSilenced(recordOf({ nodeLostAtMs: Infinity }), whole)).to.equal(false);
    expect(isSilenced(recordOf({ nodeLostAtMs: Infinity }), CALL)).to.equal(true);
    const early = { ...whole, endedAtMs: 20_900 };
    expect(isSilenced(recordOf(), early)).to.equal(false);
  });

  it('holds stops and time-outs to what a silence does not excuse', () => {
    const promisesOf = (silence: Partial<CallerSilence>): SoakPromise[] => {
      const whole = { ...CALL, sentWholeAtMs: 20_300, endedAtMs: 24_000 };
      const stop = { machine: 0, atMs: 22_000, tookMs: 2_500, code: 0, hadStarted: true };
      return judgeSoak(recordOf(silence, { calls: [whole], stops: [stop] })).map(
        ({ promise }) => promise,
      );
    };
    expect(promisesOf({})).to.not.include('planned-stop');
    expect(promisesOf({ nodeLostAtMs: Infinity })).to.include('planned-stop');
    const late = { ...CALL, sentWholeAtMs: 20_300 };
    const timeOutsOf = (silence: Partial<CallerSilence>): boolean =>
      judgeSoak(recordOf(silence, { calls: [late] })).some(({ promise }) => promise === 'time-out');
    expect(timeOutsOf({})).to.equal(false);
    expect(timeOutsOf({ nodeLostAtMs: Infinity })).to.equal(true);
  });
});

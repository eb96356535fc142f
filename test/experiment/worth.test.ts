/** What a caller's request is worth, by what each of its tries is told and after how long. */
import { expect } from 'chai';
import { LateAnswers } from '../../src/proxy/late-answers.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { EmulatedCaller, worthOf } from '../../tools/experiment/emulated-caller.js';
import type { Told } from '../../tools/experiment/emulated-reply.js';
import { measuresOf, type RunTotals } from '../../tools/experiment/measures.js';
import { READ } from './scenarios-for-tests.js';

const ANSWER: Told = { kind: 'answer', status: 200, isNotRun: false, retryAfterMs: undefined };
const FAULT: Told = { ...ANSWER, status: 500 };
const REFUSAL: Told = { kind: 'error', status: 503, isNotRun: true, retryAfterMs: 50 };
const TIMEOUT: Told = { kind: 'error', status: 504, isNotRun: false, retryAfterMs: undefined };

/** What each try of a caller is told, and after how long. */
type Script = readonly (readonly [Told, number])[];

function play(script: Script, isReached = true): EmulatedCaller {
  const clock = new VirtualScheduler();
  clock.runUntil(1_000);
  const left = [...script];
  const request = { id: 'r', requestClass: READ, workMs: 1, uploadBytes: 0, calls: [] };
  const run = (_request: unknown, reply: { fail: unknown; hasBegun(): boolean }): void => {
    const [told, afterMs] = left.shift() ?? [ANSWER, Infinity];
    clock.schedule(clock.nowMs + afterMs, { run: () => tell(reply, told) });
  };
  const caller = new EmulatedCaller({ clock, run, wasReached: () => isReached }, request);
  caller.start();
  clock.runUntil(5_000);
  return caller;
}

/** Tells a reply as its node would. */
function tell(reply: unknown, told: Told): void {
  (reply as { onTold: (told: Told) => void }).onTold(told);
}

const NO_TOTALS: RunTotals = {
  attempts: 0,
  lateAnswers: new LateAnswers(),
  linkBytes: 0,
  peakLimitUse: 0,
  peakColdCount: 0,
  answers: 0,
  faultAnswers: 0,
};

describe('worth of callers requests', () => {
  it('is whole in time, a part when late, and counted from the first try', () => {
    const inTime = play([[ANSWER, 100]]).outcome;
    const late = play([[ANSWER, 101]]).outcome;
    // The second try is answered in 60 ms: 20 + 50 + 60 ms after the first one began.
    const secondTry = play([
      [REFUSAL, 20],
      [ANSWER, 60],
    ]).outcome;
    expect([inTime, late, secondTry].map(worthOf)).to.deep.equal([2, 1, 1]);
    expect(secondTry).to.include({ end: 'answered', elapsedMs: 130 });
    const totals = { ...NO_TOTALS, attempts: 6, linkBytes: 900, answers: 4, faultAnswers: 1 };
    const measures = measuresOf([inTime, late, secondTry], totals);
    expect(measures['worth']).to.equal(4 / 6);
    expect(measures['worth.read']).to.equal(4 / 6);
    expect(measures).to.include({
      attempts: 2,
      linkBytes: 300,
      inTime: 1 / 3,
      refusals: 1 / 3,
      faultAnswers: 1 / 4,
      refused: 0,
      failed: 0,
      peakLimitUse: 0,
    });
    expect(measures).to.include({ heldP50Ms: 20, heldP99Ms: 20, misreported: 0 });
  });

  it('is nothing after the deadline, for a fault, and for a refusal', () => {
    const outcomes = [
      play([[ANSWER, 401]]),
      play([[FAULT, 30]]),
      play([
        [REFUSAL, 10],
        [REFUSAL, 30],
      ]),
      play([]),
    ].map(({ outcome }) => outcome);
    expect(outcomes.map(worthOf)).to.deep.equal([0, 0, 0, 0]);
    expect(outcomes.map(({ end }) => end)).to.deep.equal(['answered', 'failed', 'refused', 'none']);
    const measures = measuresOf(outcomes, NO_TOTALS);
    expect(measures).to.include({ worth: 0, failed: 0.5, refused: 0.25, heldP50Ms: 30 });
    // Both tries of the request that ended refused.
    expect(measures).to.include({ inTime: 0, refusals: 2 / 4 });
  });

  it('counts a gateway status for what no endpoint got', () => {
    const misreported = (script: Script, isReached: boolean): number =>
      play(script, isReached).outcome.misreported;
    expect(misreported([[TIMEOUT, 400]], false)).to.equal(1);
    expect(misreported([[TIMEOUT, 400]], true)).to.equal(0);
    expect(misreported([[FAULT, 30]], false)).to.equal(0);
  });

  it('does not come back after the deadline', () => {
    const { outcome } = play([
      [REFUSAL, 360],
      [ANSWER, 1],
    ]);
    expect(outcome).to.include({ end: 'refused', elapsedMs: 360 });
  });
});

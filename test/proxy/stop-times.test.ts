/** The deadlines of a planned stop for arbitrary limits. */
import { expect } from 'chai';
import fc from 'fast-check';
import { deadlineWithin, NO_STOP, stopTimes } from '../../src/proxy/stop-times.js';

const SEED = 20_260_301;
const boundMs = fc.integer({ min: 0, max: 60_000 });
const limits = fc.record({ stopAcceptMs: boundMs, stopTimeoutMs: boundMs, stopAnswerMs: boundMs });

describe('deadlines of a planned stop', () => {
  it('are ordered: refuse, give up, close', () => {
    const property = fc.property(boundMs, limits, (nowMs, bounds) => {
      const { refusesFromMs, givesUpAtMs, closesAtMs } = stopTimes(nowMs, bounds);
      expect([nowMs, refusesFromMs, givesUpAtMs, closesAtMs]).to.deep.equal(
        [closesAtMs, givesUpAtMs, refusesFromMs, nowMs].sort((one, other) => one - other),
      );
      expect(closesAtMs - givesUpAtMs).to.equal(bounds.stopAnswerMs);
    });
    fc.assert(property, { seed: SEED });
  });

  it('limit the deadline of a request during the stop, and not before', () => {
    const times = stopTimes(1_000, { stopAcceptMs: 1, stopTimeoutMs: 5_000, stopAnswerMs: 1 });
    expect(deadlineWithin(3_000, times)).to.equal(3_000);
    expect(deadlineWithin(60_000, times)).to.be.within(6_000, 6_050);
    expect(deadlineWithin(60_000, NO_STOP)).to.equal(60_000);
  });
});

/** Guards against stops that exceed their grace period or end work early if the process handles its signal late. */
describe('deadlines of a planned stop whose signal is handled late', () => {
  /** Limits for a grace period of 6 s, of which 300 ms are reserved for the exit of the process. */
  const LIMITS = {
    stopAcceptMs: 2_800,
    stopTimeoutMs: 5_250,
    stopMinTimeoutMs: 5_000,
    stopAnswerMs: 250,
    stopCloseMs: 200,
  };
  const MAX_STOP_MS = 5_700;
  const delays = fc.record({
    signalAgeMs: fc.integer({ min: 0, max: 1_500 }),
    eventLoopLagMs: fc.integer({ min: 0, max: 250 }),
  });

  it('end within the grace period after the earliest possible signal, less the event loop lag', () => {
    const property = fc.property(delays, ({ signalAgeMs, eventLoopLagMs }) => {
      const { endsByMs, closesAtMs, givesUpAtMs, refusesFromMs } = stopTimes(0, LIMITS, {
        signalAgeMs,
        eventLoopLagMs,
      });
      expect(endsByMs + signalAgeMs).to.be.at.most(MAX_STOP_MS - eventLoopLagMs);
      expect(closesAtMs).to.be.within(givesUpAtMs, endsByMs);
      expect(refusesFromMs).to.be.within(0, givesUpAtMs);
    });
    fc.assert(property, { seed: SEED });
  });

  it('give up no work in the first five sixths of the grace period if the end of the stop allows it', () => {
    const cases = [
      { signalAgeMs: 0, eventLoopLagMs: 0, givesUpAtMs: 5_250 },
      { signalAgeMs: 0, eventLoopLagMs: 250, givesUpAtMs: 5_000 },
      { signalAgeMs: 300, eventLoopLagMs: 0, givesUpAtMs: 5_000 },
      { signalAgeMs: 300, eventLoopLagMs: 250, givesUpAtMs: 5_000 },
      { signalAgeMs: 1_000, eventLoopLagMs: 250, givesUpAtMs: 4_325 },
    ];
    for (const { givesUpAtMs, ...late } of cases) {
      expect(stopTimes(0, LIMITS, late).givesUpAtMs, JSON.stringify(late)).to.equal(givesUpAtMs);
    }
  });
});

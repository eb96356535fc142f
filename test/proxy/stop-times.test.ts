/** The moments of a planned stop, whatever its bounds. */
import { expect } from 'chai';
import fc from 'fast-check';
import { deadlineWithin, NO_STOP, stopTimes } from '../../src/proxy/stop-times.js';

const SEED = 20_260_301;
const boundMs = fc.integer({ min: 0, max: 60_000 });
const limits = fc.record({ stopAcceptMs: boundMs, stopTimeoutMs: boundMs, stopAnswerMs: boundMs });

describe('moments of a planned stop', () => {
  it('come in order: refuse, give up, close', () => {
    const property = fc.property(boundMs, limits, (nowMs, bounds) => {
      const { refusesFromMs, givesUpAtMs, closesAtMs } = stopTimes(nowMs, bounds);
      expect([nowMs, refusesFromMs, givesUpAtMs, closesAtMs]).to.deep.equal(
        [closesAtMs, givesUpAtMs, refusesFromMs, nowMs].sort((one, other) => one - other),
      );
      expect(closesAtMs - givesUpAtMs).to.equal(bounds.stopAnswerMs);
    });
    fc.assert(property, { seed: SEED });
  });

  it('bound the deadline of a request that arrives, and leave it alone before', () => {
    const times = stopTimes(1_000, { stopAcceptMs: 1, stopTimeoutMs: 5_000, stopAnswerMs: 1 });
    expect(deadlineWithin(3_000, times)).to.equal(3_000);
    expect(deadlineWithin(60_000, times)).to.be.within(6_000, 6_050);
    expect(deadlineWithin(60_000, NO_STOP)).to.equal(60_000);
  });
});

/** Guards against a log and decisions that take input for current although the event loop was late. */
import { expect } from 'chai';
import { CHECK_INTERVAL_MS } from '../../src/clock/shared-interval.js';
import { InputAge } from '../../src/proxy/input-age.js';

describe('the age of unread input', () => {
  it('is zero while the checks are on time', () => {
    const age = new InputAge(0);
    for (let nowMs = CHECK_INTERVAL_MS; nowMs < 2_000; nowMs += CHECK_INTERVAL_MS + 5) {
      age.check(nowMs);
      expect([age.isLate(nowMs + 100), age.maxUnreadMs(nowMs + 100)]).to.deep.equal([false, 0]);
    }
  });

  it('counts from the last check that was on time, also before the next check runs', () => {
    const age = new InputAge(0);
    age.check(150);
    expect(age.maxUnreadMs(500)).to.equal(350);
    age.check(510);
    expect(age.maxUnreadMs(520)).to.equal(370);
  });

  it('adds up over checks that are late one after the other', () => {
    const age = new InputAge(0);
    [350, 700, 1_050].forEach((nowMs) => age.check(nowMs));
    expect(age.maxUnreadMs(1_060)).to.equal(1_060);
  });

  it('ends once all input has been read', () => {
    const age = new InputAge(0);
    age.check(1_000);
    age.caughtUp(1_000);
    expect([age.isLate(1_010), age.maxUnreadMs(1_010)]).to.deep.equal([false, 0]);
  });

  it('stays late if a check is overdue once the input of an earlier delay has been read', () => {
    const age = new InputAge(0);
    age.check(1_000);
    age.caughtUp(1_000);
    expect(age.maxUnreadMs(1_400)).to.equal(400);
  });
});

/** Moving average of failures: its value after outcomes, and its decay. */
import { expect } from 'chai';
import { FailureShare } from '../../src/routing/failure-share.js';

describe('failure share', () => {
  it('converges to the share of failed outcomes and is 0 without outcomes', () => {
    const failures = new FailureShare();
    expect(failures.at(5)).to.equal(0);
    for (let turn = 0; turn < 200; turn += 1) {
      failures.record(turn % 2 === 0, 0);
    }
    expect(failures.at(0)).to.be.closeTo(0.5, 0.1);
  });

  it('decays with time, so that an endpoint is tried again', () => {
    const failures = new FailureShare();
    failures.set(0.8, 1_000);
    expect(failures.at(5_000)).to.be.closeTo(0.4, 0.001);
    expect(failures.at(60_000)).to.be.lessThan(0.001);
  });
});

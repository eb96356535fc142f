/** Guards against a back-off that goes by one error, or by errors of the past. */
import { expect } from 'chai';
import { FaultShares } from '../../src/proxy/fault-shares.js';

describe('the share of endpoint errors', () => {
  it('is small after a single error, and grows with the errors of the class', () => {
    const shares = new FaultShares();
    shares.record('lookup', true, 0);
    expect(shares.shareOf('lookup', 0)).to.be.below(0.2);
    for (let count = 0; count < 20; count += 1) {
      shares.record('lookup', true, 0);
    }
    expect(shares.shareOf('lookup', 0)).to.be.above(0.7);
    expect(shares.shareOf('other', 0)).to.equal(0);
    expect(shares.shareOf('lookup', 10_000)).to.be.below(0.01);
  });
});

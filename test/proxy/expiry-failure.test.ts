/** Error of a request whose deadline has passed, by how far it had progressed. */
import { expect } from 'chai';
import { expiryFailure } from '../../src/proxy/expiry-failure.js';

describe('a request whose deadline has passed', () => {
  it('fails with BODY_TOO_SLOW when its body has not arrived', () => {
    expect(expiryFailure(false, false)).to.include({ code: 'BODY_TOO_SLOW', verdict: 'not-run' });
  });

  it('has not run when it was not forwarded', () => {
    expect(expiryFailure(true, true)).to.include({ code: 'DEADLINE_PASSED', verdict: 'not-run' });
  });

  it('may have run when it was forwarded', () => {
    expect(expiryFailure(true, false)).to.include({ code: 'TIMED_OUT', verdict: 'may-have-run' });
  });
});

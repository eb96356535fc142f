/** What a request is told whose deadline has passed, by how far it had come. */
import { expect } from 'chai';
import { expiryFailure } from '../../src/proxy/expiry-failure.js';

describe('a request whose deadline has passed', () => {
  it('was too slow itself when its body has not arrived', () => {
    expect(expiryFailure(false, false)).to.include({ code: 'BODY_TOO_SLOW', verdict: 'not-run' });
  });

  it('has not run while it was not sent on', () => {
    expect(expiryFailure(true, true)).to.include({ code: 'DEADLINE_PASSED', verdict: 'not-run' });
  });

  it('may have run once it was sent on', () => {
    expect(expiryFailure(true, false)).to.include({ code: 'TIMED_OUT', verdict: 'may-have-run' });
  });
});

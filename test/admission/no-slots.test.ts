/**
 * Admission to an endpoint that this node may not use any more: it has no slots left.
 *
 * Without slots no pace tells when to come back: divided by them, the time would be infinite, or no number.
 */
import { expect } from 'chai';
import { EndpointAdmission, type AdmissionTicket } from '../../src/admission/endpoint-admission.js';
import { DEFAULT_RETRY_AFTER_MS } from '../../src/proxy/attempt-errors.js';

const FAR_MS = 1e9;
const HERE = { beginsAtMs: 0, endsAtMs: 0 };

function ticket(requestId: string, deadlineAtMs = FAR_MS): AdmissionTicket {
  return { requestId, callerNode: 'n', priority: 1, deadlineAtMs };
}

function refusal(requestId: string): object {
  return { requestId, reason: 'queue-full', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
}

describe('admission without slots', () => {
  for (const ranBefore of [0, 1]) {
    describe(`while ${ranBefore} requests run`, () => {
      let admission: EndpointAdmission;

      beforeEach(() => {
        admission = new EndpointAdmission(1);
        if (ranBefore > 0) {
          admission.offer(ticket('running'), 0);
        }
        admission.setSlots(0, 0);
      });

      it('refuses what arrives, with the default time', () => {
        const effects = admission.offer(ticket('a'), 0);
        expect(effects).to.deep.equal([{ type: 'refuse', ...refusal('a') }]);
        expect(admission.waitingCount).to.equal(0);
      });

      it('refuses ahead of a body, with the default time', () => {
        expect(admission.reserve(ticket('a'), HERE, 0)).to.deep.equal(refusal('a'));
      });

      it('refuses whose place was kept for its body', () => {
        admission.setSlots(1, 0);
        admission.reserve(ticket('a'), HERE, 0);
        admission.setSlots(0, 0);
        expect(admission.offer(ticket('a'), 0)).to.deep.equal([
          { type: 'refuse', ...refusal('a') },
        ]);
      });

      for (const reason of ['draining', 'deadline-passed'] as const) {
        it(`tells the default time with another reason: ${reason}`, () => {
          admission.close(reason === 'draining' ? reason : undefined, 0);
          const [effect] = admission.offer(ticket('a', 0), 0);
          expect(effect).to.deep.equal({ type: 'refuse', ...refusal('a'), reason });
        });
      }

      it('takes requests again once there are slots', () => {
        admission.endpointRefused();
        admission.release('running', 0, 10);
        admission.setSlots(1, 0);
        const effects = admission.offer(ticket('a'), 0);
        expect(effects).to.deep.equal([{ type: 'dispatch', requestId: 'a' }]);
      });
    });
  }

  it('leaves alone what runs, and lets what waits run one at a time', () => {
    const admission = new EndpointAdmission(2);
    ['running', 'other', 'a', 'b'].forEach((id) => admission.offer(ticket(id), 0));
    expect(admission.setSlots(0, 0)).to.deep.equal([]);
    expect(admission.release('running', 0, 10)).to.deep.equal([]);
    const effects = admission.release('other', 0, 10);
    expect(effects).to.deep.equal([{ type: 'dispatch', requestId: 'a' }]);
    expect(admission.runningCount).to.equal(1);
  });

  it('tells the default time to what waited too long', () => {
    const admission = new EndpointAdmission(1);
    admission.offer(ticket('running'), 0);
    admission.offer(ticket('late', 50), 0);
    admission.setSlots(0, 0);
    const [effect] = admission.release('running', 60, 10);
    expect(effect).to.deep.equal({ type: 'refuse', ...refusal('late'), reason: 'deadline-passed' });
  });
});

/**
 * Admission to an endpoint that this node may no longer use because it has no slots. Guards against an infinite or
 * NaN retry delay, which results from dividing by the number of slots.
 */
import { expect } from 'chai';
import { EndpointAdmission, type AdmissionTicket } from '../../src/admission/endpoint-admission.js';
import { DEFAULT_RETRY_AFTER_MS } from '../../src/proxy/attempt-errors.js';

const NO_DEADLINE_MS = 1e9;
const ARRIVED = { beginsAtMs: 0, endsAtMs: 0 };

function ticket(requestId: string, deadlineAtMs = NO_DEADLINE_MS): AdmissionTicket {
  return { requestId, callerNode: 'n', priority: 1, deadlineAtMs };
}

function refusal(requestId: string): object {
  return { requestId, reason: 'queue-full', retryAfterMs: DEFAULT_RETRY_AFTER_MS };
}

describe('admission without slots', () => {
  for (const runningCount of [0, 1]) {
    describe(`with ${runningCount} running requests`, () => {
      let admission: EndpointAdmission;

      beforeEach(() => {
        admission = new EndpointAdmission(1);
        if (runningCount > 0) {
          admission.offer(ticket('running'), 0);
        }
        admission.setSlots(0, 0);
      });

      it('refuses requests with the default retry delay', () => {
        const effects = admission.offer(ticket('a'), 0);
        expect(effects).to.deep.equal([{ type: 'refuse', ...refusal('a') }]);
        expect(admission.waitingCount).to.equal(0);
      });

      it('refuses reservations with the default retry delay', () => {
        expect(admission.reserve(ticket('a'), ARRIVED, 0)).to.deep.equal(refusal('a'));
      });

      it('refuses requests that hold a reservation', () => {
        admission.setSlots(1, 0);
        admission.reserve(ticket('a'), ARRIVED, 0);
        admission.setSlots(0, 0);
        expect(admission.offer(ticket('a'), 0)).to.deep.equal([
          { type: 'refuse', ...refusal('a') },
        ]);
      });

      for (const reason of ['draining', 'deadline-passed'] as const) {
        it(`returns the default retry delay with another reason: ${reason}`, () => {
          admission.close(reason === 'draining' ? reason : undefined, 0);
          const [effect] = admission.offer(ticket('a', 0), 0);
          expect(effect).to.deep.equal({ type: 'refuse', ...refusal('a'), reason });
        });
      }

      it('accepts requests again when there are slots', () => {
        admission.endpointRefused();
        admission.release('running', 0, 10);
        admission.setSlots(1, 0);
        const effects = admission.offer(ticket('a'), 0);
        expect(effects).to.deep.equal([{ type: 'dispatch', requestId: 'a' }]);
      });
    });
  }

  it('does not affect running requests and runs queued ones one at a time', () => {
    const admission = new EndpointAdmission(2);
    ['running', 'other', 'a', 'b'].forEach((id) => admission.offer(ticket(id), 0));
    expect(admission.setSlots(0, 0)).to.deep.equal([]);
    expect(admission.release('running', 0, 10)).to.deep.equal([]);
    const effects = admission.release('other', 0, 10);
    expect(effects).to.deep.equal([{ type: 'dispatch', requestId: 'a' }]);
    expect(admission.runningCount).to.equal(1);
  });

  it('returns the default retry delay for a queued request whose deadline has passed', () => {
    const admission = new EndpointAdmission(1);
    admission.offer(ticket('running'), 0);
    admission.offer(ticket('late', 50), 0);
    admission.setSlots(0, 0);
    const [effect] = admission.release('running', 60, 10);
    expect(effect).to.deep.equal({ type: 'refuse', ...refusal('late'), reason: 'deadline-passed' });
  });
});

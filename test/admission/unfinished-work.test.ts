/**
 * An endpoint that has become twelve times slower, so that each of its requests is abandoned at its deadline. The
 * elapsed times of abandoned requests count as measurements, so that later requests are refused immediately instead
 * of being lost there.
 */
import { expect } from 'chai';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';

const SLOTS = 4;
const USUAL_MS = 52;
const DEADLINE_MS = 620;
const ROUNDS = 10;

/**
 * Number of requests sent in each round. One more request than there are slots is offered; all that are sent are
 * abandoned after `abandonedAfterMs`.
 */
function sentInRounds(admission: EndpointAdmission, abandonedAfterMs: number): number[] {
  let nowMs = 0;
  return Array.from({ length: ROUNDS }, (_, round) => {
    const sent: string[] = [];
    for (let count = 0; count <= SLOTS; count += 1) {
      const ticket = {
        requestId: `${round}.${count}`,
        callerNode: 'n',
        deadlineAtMs: nowMs + DEADLINE_MS,
        workClass: 'call',
      };
      const [effect] = admission.offer(ticket, nowMs);
      if (effect?.type === 'dispatch') {
        sent.push(effect.requestId);
      }
      admission.withdraw(ticket.requestId, 'n');
    }
    nowMs += abandonedAfterMs;
    for (const requestId of sent) {
      admission.recordUnfinished('call', abandonedAfterMs, nowMs);
      admission.release(requestId, nowMs);
    }
    return sent.length;
  });
}

describe('requests abandoned while their endpoint processes them', () => {
  let admission: EndpointAdmission;

  beforeEach(() => {
    admission = new EndpointAdmission(SLOTS);
    admission.offer(
      { requestId: 'first', callerNode: 'n', deadlineAtMs: DEADLINE_MS, workClass: 'call' },
      0,
    );
    admission.release('first', 0, USUAL_MS);
  });

  it('count as a lower bound on the service time: after a few rounds, only one probe is sent at a time', () => {
    const sent = sentInRounds(admission, DEADLINE_MS + 20);
    expect(sent[0]).to.equal(SLOTS);
    expect(sent.slice(5)).to.deep.equal([1, 1, 1, 1, 1]);
  });

  it('are ignored if they were abandoned sooner than the mean service time', () => {
    sentInRounds(admission, USUAL_MS / 2);
    expect(admission.serviceMs('call')).to.equal(USUAL_MS);
  });

  it('lose their weight when the endpoint becomes fast again', () => {
    sentInRounds(admission, DEADLINE_MS + 20);
    for (let count = 0; count < 30; count += 1) {
      admission.offer(
        { requestId: `q${count}`, callerNode: 'n', deadlineAtMs: Infinity, workClass: 'call' },
        0,
      );
      admission.release(`q${count}`, 0, USUAL_MS);
    }
    expect(admission.serviceMs('call')).to.be.below(2 * USUAL_MS);
  });
});

/**
 * An endpoint that has become slow by twelve, so that each of its requests is given up at its deadline: what is given
 * up tells its pace too, and later requests are refused at once instead of being lost there.
 */
import { expect } from 'chai';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';

const SLOTS = 4;
const USUAL_MS = 52;
const DEADLINE_MS = 620;
const ROUNDS = 10;

/** Requests that were sent in each round, one more than slots offered, all given up after `takenMs`. */
function sentInRounds(admission: EndpointAdmission, takenMs: number): number[] {
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
    nowMs += takenMs;
    for (const requestId of sent) {
      admission.unfinished('call', takenMs);
      admission.release(requestId, nowMs);
    }
    return sent.length;
  });
}

describe('requests that are given up while their endpoint is at work', () => {
  let admission: EndpointAdmission;

  beforeEach(() => {
    admission = new EndpointAdmission(SLOTS);
    admission.offer(
      { requestId: 'first', callerNode: 'n', deadlineAtMs: DEADLINE_MS, workClass: 'call' },
      0,
    );
    admission.release('first', 0, USUAL_MS);
  });

  it('tell how long such work takes at least: soon only one at a time is sent, to see how it is', () => {
    const sent = sentInRounds(admission, DEADLINE_MS + 20);
    expect(sent[0]).to.equal(SLOTS);
    expect(sent.slice(5)).to.deep.equal([1, 1, 1, 1, 1]);
  });

  it('tell nothing where they were given up sooner than such work takes', () => {
    sentInRounds(admission, USUAL_MS / 2);
    expect(admission.serviceMs('call')).to.equal(USUAL_MS);
  });

  it('are forgotten as the endpoint becomes quick again', () => {
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

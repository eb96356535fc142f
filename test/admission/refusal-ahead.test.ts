/**
 * Whether admission says the same of a request ahead of its body as on its arrival.
 *
 * A request that takes the place of a less urgent one, or a free slot beside a queue that may hold nothing,
 * must not be refused by its head because the queue is full.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointAdmission, type AdmissionTicket } from '../../src/admission/endpoint-admission.js';

const FAR_MS = 1e9;
/** A body that is here. */
const HERE = { beginsAtMs: 0, endsAtMs: 0 };

function ticket(requestId: string, priority: number, callerNode = 'n'): AdmissionTicket {
  return { requestId, callerNode, priority, deadlineAtMs: FAR_MS };
}

describe('admission asked ahead of a body', () => {
  it('takes an urgent request that goes before one in a full queue', () => {
    const admission = new EndpointAdmission(1);
    ['running', 'a', 'b'].forEach((id) => admission.offer(ticket(id, 2), 0));
    expect(admission.reserve(ticket('urgent', 0), HERE, 0)).to.equal(undefined);
  });

  it('refuses what it would refuse on arrival, and nothing else', () => {
    const arrival = fc.record({ priority: fc.nat(2), node: fc.constantFrom('n', 'm') });
    fc.assert(
      fc.property(
        fc.nat(3),
        fc.array(arrival, { maxLength: 12 }),
        arrival,
        (most, before, last) => {
          const admission = new EndpointAdmission(2, most);
          before.forEach(({ priority, node }, at) => {
            admission.offer(ticket(`r${at}`, priority, node), 0);
          });
          const asked = ticket('asked', last.priority, last.node);
          const ahead = admission.reserve(asked, HERE, 0)?.reason;
          admission.unreserve(asked.requestId);
          const effects = admission.offer(asked, 0);
          const refusal = effects.find((effect) => effect.requestId === 'asked');
          expect(ahead).to.equal(refusal?.type === 'refuse' ? refusal.reason : undefined);
        },
      ),
    );
  });

  it('takes what can start at once beside bodies that are on their way', () => {
    const admission = new EndpointAdmission(1);
    ['a', 'b', 'c'].forEach((id) => admission.reserve(ticket(id, 2), HERE, 0));
    const effects = admission.offer(ticket('call', 3), 0);
    expect(effects).to.deep.equal([{ type: 'dispatch', requestId: 'call' }]);
  });

  it('keeps no place for a body before one that is more urgent', () => {
    const admission = new EndpointAdmission(1);
    admission.offer(ticket('running', 0), 0);
    ['a', 'b'].forEach((id) => admission.reserve(ticket(id, 2), HERE, 0));
    expect(admission.offer(ticket('urgent', 1), 0)).to.deep.equal([]);
    expect(admission.waitingCount).to.equal(1);
  });

  it('carries no more bodies than there are places for beside less urgent requests', () => {
    const admission = new EndpointAdmission(1);
    ['running', 'a', 'b'].forEach((id) => admission.offer(ticket(id, 2), 0));
    const asked = Array.from({ length: 20 }, (_, at) => ticket(`upload${at}`, 0));
    const taken = asked.filter((one) => admission.reserve(one, HERE, 0) === undefined);
    expect(taken).to.have.lengthOf(2);
  });

  it('carries no more bodies of a node than it may take places of another', () => {
    const admission = new EndpointAdmission(1);
    ['running', 'a', 'b'].forEach((id) => admission.offer(ticket(id, 0, 'n'), 0));
    const asked = Array.from({ length: 20 }, (_, at) => ticket(`upload${at}`, 0, 'm'));
    const taken = asked.filter((one) => admission.reserve(one, HERE, 0) === undefined);
    expect(taken).to.have.lengthOf(1);
  });
});

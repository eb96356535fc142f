/**
 * A reservation ahead of a request's body must be decided as the request is on arrival. Guards against refusing a
 * reservation because the queue is full when the request could displace a less urgent one, or could use a free
 * slot although the queue has no capacity.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointAdmission, type AdmissionTicket } from '../../src/admission/endpoint-admission.js';

const NO_DEADLINE_MS = 1e9;
/** Arrival of a body that is already complete. */
const ARRIVED = { beginsAtMs: 0, endsAtMs: 0 };

function ticket(requestId: string, priority: number, callerNode = 'n'): AdmissionTicket {
  return { requestId, callerNode, priority, deadlineAtMs: NO_DEADLINE_MS };
}

describe('reservation ahead of a body', () => {
  it('accepts an urgent request that precedes one in a full queue', () => {
    const admission = new EndpointAdmission(1);
    ['running', 'a', 'b'].forEach((id) => admission.offer(ticket(id, 2), 0));
    expect(admission.reserve(ticket('urgent', 0), ARRIVED, 0)).to.equal(undefined);
  });

  it('refuses exactly the requests that are refused on arrival', () => {
    const arrival = fc.record({ priority: fc.nat(2), node: fc.constantFrom('n', 'm') });
    fc.assert(
      fc.property(
        fc.nat(3),
        fc.array(arrival, { maxLength: 12 }),
        arrival,
        (maxWaiting, before, last) => {
          const admission = new EndpointAdmission(2, maxWaiting);
          before.forEach(({ priority, node }, at) => {
            admission.offer(ticket(`r${at}`, priority, node), 0);
          });
          const requested = ticket('asked', last.priority, last.node);
          const reservationReason = admission.reserve(requested, ARRIVED, 0)?.reason;
          admission.unreserve(requested.requestId);
          const effects = admission.offer(requested, 0);
          const refusal = effects.find((effect) => effect.requestId === 'asked');
          expect(reservationReason).to.equal(
            refusal?.type === 'refuse' ? refusal.reason : undefined,
          );
        },
      ),
    );
  });

  it('dispatches a request that can start immediately in spite of reservations', () => {
    const admission = new EndpointAdmission(1);
    ['a', 'b', 'c'].forEach((id) => admission.reserve(ticket(id, 2), ARRIVED, 0));
    const effects = admission.offer(ticket('call', 3), 0);
    expect(effects).to.deep.equal([{ type: 'dispatch', requestId: 'call' }]);
  });

  it('does not keep out a more urgent request because of reservations', () => {
    const admission = new EndpointAdmission(1);
    admission.offer(ticket('running', 0), 0);
    ['a', 'b'].forEach((id) => admission.reserve(ticket(id, 2), ARRIVED, 0));
    expect(admission.offer(ticket('urgent', 1), 0)).to.deep.equal([]);
    expect(admission.waitingCount).to.equal(1);
  });

  it('grants no more reservations than there are less urgent requests to displace', () => {
    const admission = new EndpointAdmission(1);
    ['running', 'a', 'b'].forEach((id) => admission.offer(ticket(id, 2), 0));
    const requested = Array.from({ length: 20 }, (_, at) => ticket(`upload${at}`, 0));
    const reserved = requested.filter((one) => admission.reserve(one, ARRIVED, 0) === undefined);
    expect(reserved).to.have.lengthOf(2);
  });

  it('grants a node no more reservations than there are requests of another node to displace', () => {
    const admission = new EndpointAdmission(1);
    ['running', 'a', 'b'].forEach((id) => admission.offer(ticket(id, 0, 'n'), 0));
    const requested = Array.from({ length: 20 }, (_, at) => ticket(`upload${at}`, 0, 'm'));
    const reserved = requested.filter((one) => admission.reserve(one, ARRIVED, 0) === undefined);
    expect(reserved).to.have.lengthOf(1);
  });
});

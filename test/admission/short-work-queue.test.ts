/** Places in the queue of an endpoint that has short and long work. */
import { expect } from 'chai';
import {
  EndpointAdmission,
  type AdmissionEffect,
  type AdmissionTicket,
} from '../../src/admission/endpoint-admission.js';

const NO_DEADLINE_MS = 1e9;
const MAX_WAITING = 8;
const QUEUED_PER_SLOT = 2;

const QUERY = { workClass: 'query', priority: 0 };
const ORDER = { workClass: 'order', priority: 1 };

function ticket(requestId: string, fields: Partial<AdmissionTicket>): AdmissionTicket {
  return { requestId, callerNode: 'n', deadlineAtMs: NO_DEADLINE_MS, ...fields };
}

/** Admission to an endpoint with one slot, which is taken; an order takes 200 ms there, a query 20 ms. */
function busyAdmission(queriesPerOrder = 1): EndpointAdmission {
  const admission = new EndpointAdmission(1, MAX_WAITING, QUEUED_PER_SLOT);
  for (let round = 0; round < 60; round += 1) {
    admission.offer(ticket('order', ORDER), 0);
    admission.release('order', 0, 200);
    for (let query = 0; query < queriesPerOrder; query += 1) {
      admission.offer(ticket('query', QUERY), 0);
      admission.release('query', 0, 20);
    }
  }
  admission.offer(ticket('running', ORDER), 0);
  return admission;
}

/** Offers `count` requests; returns those that are refused, also waiting ones. */
function offer(
  admission: EndpointAdmission,
  name: string,
  count: number,
  fields: Partial<AdmissionTicket>,
): string[] {
  const offered = Array.from({ length: count }, (_, number) => `${name}-${number}`);
  const effects: AdmissionEffect[] = offered.flatMap((id) =>
    admission.offer(ticket(id, fields), 0),
  );
  return effects.filter(({ type }) => type === 'refuse').map(({ requestId }) => requestId);
}

describe('the queue of an endpoint with short and long work', () => {
  // Guards against short urgent work that displaces all long work, although it delays it little.
  it('keeps waiting long work when short work arrives', () => {
    const admission = busyAdmission();
    expect(offer(admission, 'order', QUEUED_PER_SLOT, ORDER)).to.deep.equal([]);
    expect(offer(admission, 'query', 3, QUERY)).to.deep.equal([]);
    expect(admission.waitingCount).to.equal(QUEUED_PER_SLOT + 3);
  });

  // Guards against work that counts as long since there is so much of it.
  it('does so too where nearly all requests are short', () => {
    const admission = busyAdmission(20);
    offer(admission, 'order', QUEUED_PER_SLOT, ORDER);
    expect(offer(admission, 'query', 3, QUERY)).to.deep.equal([]);
  });

  it('has places for long work while short work waits', () => {
    const admission = busyAdmission();
    offer(admission, 'query', 3, QUERY);
    expect(offer(admission, 'order', QUEUED_PER_SLOT + 1, ORDER)).to.deep.equal(['order-2']);
  });

  it('is bounded for short work too', () => {
    expect(offer(busyAdmission(), 'query', MAX_WAITING + 1, QUERY)).to.deep.equal(['query-8']);
  });
});

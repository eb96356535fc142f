/** Guards against requests that are started a few milliseconds before their deadline at an endpoint that is idle. */
import { expect } from 'chai';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';

const SERVICE_MS = 80;

/** An endpoint that has just answered a request. */
function measuredAdmission(): EndpointAdmission {
  const admission = new EndpointAdmission(4);
  admission.offer(ticketOf('first', 10_000), 0);
  admission.release('first', SERVICE_MS, SERVICE_MS);
  return admission;
}

function ticketOf(requestId: string, deadlineAtMs: number) {
  return { requestId, callerNode: 'n1', deadlineAtMs, priority: 0, workClass: 'lookup' };
}

describe('an idle endpoint', () => {
  it('refuses a request that its known service time does not let finish', () => {
    const [effect] = measuredAdmission().offer(ticketOf('late', 102), SERVICE_MS);
    expect(effect).to.include({ type: 'refuse', reason: 'cannot-finish-in-time' });
  });

  it('starts a request that may finish because the endpoint is faster when idle', () => {
    const [effect] = measuredAdmission().offer(ticketOf('tight', 140), SERVICE_MS);
    expect(effect).to.include({ type: 'dispatch' });
  });

  it('starts one request after a second without any, so that its service time is measured', () => {
    const admission = measuredAdmission();
    const [trial] = admission.offer(ticketOf('trial', 1_022), 1_000);
    admission.release('trial', 1_022);
    const [next] = admission.offer(ticketOf('next', 1_044), 1_022);
    expect([trial?.type, next?.type]).to.deep.equal(['dispatch', 'refuse']);
  });
});

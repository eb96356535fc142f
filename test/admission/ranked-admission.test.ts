/** Admission by rank, class of work and target latency. */
import { expect } from 'chai';
import {
  EndpointAdmission,
  type AdmissionEffect,
  type AdmissionTicket,
} from '../../src/admission/endpoint-admission.js';

const NO_DEADLINE_MS = 1e9;

function ticket(requestId: string, fields: Partial<AdmissionTicket> = {}): AdmissionTicket {
  return { requestId, callerNode: 'n', deadlineAtMs: NO_DEADLINE_MS, ...fields };
}

function outcomesOf(effects: readonly AdmissionEffect[]): string[] {
  return effects.map((effect) =>
    effect.type === 'dispatch' ? effect.requestId : `${effect.requestId}: ${effect.reason}`,
  );
}

/** Admission to an endpoint without free slots, with the given service times by class. */
function busyAdmission(times: Readonly<Record<string, number>>, slots = 1): EndpointAdmission {
  const admission = new EndpointAdmission(slots);
  for (const [workClass, serviceMs] of Object.entries(times)) {
    for (let round = 0; round < 60; round += 1) {
      admission.offer(ticket(workClass, { workClass }), 0);
      admission.release(workClass, 0, serviceMs);
    }
  }
  for (let slot = 0; slot < slots; slot += 1) {
    admission.offer(ticket(`running-${slot}`), 0);
  }
  return admission;
}

describe('ranked admission to an endpoint', () => {
  it('assigns a free slot to the most urgent rank, and in order of arrival within a rank', () => {
    const admission = busyAdmission({}, 2);
    admission.offer(ticket('late', { priority: 2 }), 0);
    admission.offer(ticket('first', { priority: 1 }), 0);
    admission.offer(ticket('second', { priority: 1 }), 0);
    const order = ['running-0', 'first', 'second'].map((id) => admission.release(id, 1));
    expect(order.map(outcomesOf)).to.deep.equal([['first'], ['second'], ['late']]);
  });

  it('displaces a request from a full queue for a more urgent one, but not for a less urgent one', () => {
    const admission = busyAdmission({});
    admission.offer(ticket('a', { priority: 2 }), 0);
    admission.offer(ticket('b', { priority: 2 }), 0);
    const urgent = admission.offer(ticket('urgent', { priority: 1 }), 0);
    expect(outcomesOf(urgent)).to.deep.equal(['b: queue-full']);
    const idle = admission.offer(ticket('idle', { priority: 3 }), 0);
    expect(outcomesOf(idle)).to.deep.equal(['idle: queue-full']);
  });

  it('uses the service time of the class: accepts a short request where it refuses a long one', () => {
    const admission = busyAdmission({ short: 10, long: 400 });
    const long = ticket('long', { workClass: 'long', targetAtMs: 500 });
    expect(outcomesOf(admission.offer(long, 200))).to.deep.equal(['long: cannot-finish-in-time']);
    const short = ticket('short', { workClass: 'short', targetAtMs: 1_000 });
    expect(outcomesOf(admission.offer(short, 200))).to.deep.equal([]);
  });

  it('counts only requests that are at least as urgent in the expected wait', () => {
    const admission = busyAdmission({ work: 100 }, 1);
    admission.offer(ticket('waiting', { priority: 5, workClass: 'work' }), 0);
    const fits = { priority: 1, workClass: 'work', targetAtMs: 250 };
    expect(outcomesOf(admission.offer(ticket('urgent', fits), 0))).to.deep.equal([]);
    const behind = { ...fits, priority: 5, targetAtMs: 250 };
    expect(outcomesOf(admission.offer(ticket('behind', behind), 0))).to.deep.equal([
      'behind: cannot-finish-in-time',
    ]);
  });

  it('refuses immediately a request that would start too late', () => {
    const admission = busyAdmission({ work: 100 });
    const impatient = ticket('impatient', { startByMs: 50 });
    expect(outcomesOf(admission.offer(impatient, 0))).to.deep.equal([
      'impatient: cannot-finish-in-time',
    ]);
    expect(admission.latestStartAtMs(impatient, 0)).to.equal(50);
  });

  it('assigns a free slot to a request that may no longer wait if it can finish by its deadline', () => {
    const admission = busyAdmission({ work: 100 }, 2);
    admission.release('running-0', 0);
    const late = { workClass: 'work', startByMs: 50, deadlineAtMs: 500 };
    const tooLate = admission.offer(ticket('too late', late), 401);
    expect(outcomesOf(tooLate)).to.deep.equal(['too late: cannot-finish-in-time']);
    expect(outcomesOf(admission.offer(ticket('late', late), 399))).to.deep.equal(['late']);
  });

  it('assigns a free slot to a request that missed its target in transit if none is queued', () => {
    const admission = busyAdmission({ work: 100 }, 2);
    const missed = { workClass: 'work', targetAtMs: 150, deadlineAtMs: 500 };
    expect(outcomesOf(admission.offer(ticket('no slot', missed), 200))).to.deep.equal([
      'no slot: cannot-finish-in-time',
    ]);
    admission.release('running-0', 200);
    expect(outcomesOf(admission.offer(ticket('elsewhere', missed), 140))).to.deep.equal([
      'elsewhere: cannot-finish-in-time',
    ]);
    expect(outcomesOf(admission.offer(ticket('too late', missed), 401))).to.deep.equal([
      'too late: cannot-finish-in-time',
    ]);
    expect(outcomesOf(admission.offer(ticket('missed', missed), 200))).to.deep.equal(['missed']);
  });

  it('refuses reservations for bodies that would arrive too late and for late work whose body has to wait', () => {
    const admission = busyAdmission({ work: 100 }, 2);
    const inTime = ticket('in time', { workClass: 'work', targetAtMs: 400, deadlineAtMs: 2_000 });
    const refusal = (one: AdmissionTicket, beginsAtMs: number, endsAtMs: number): unknown =>
      admission.reserve(one, { beginsAtMs, endsAtMs }, 0);
    admission.release('running-0', 0);
    expect(refusal(inTime, 100, 250)).to.equal(undefined);
    expect(refusal(inTime, 100, 450)).to.include({
      reason: 'cannot-finish-in-time',
      retryAfterMs: 150,
    });
    const late = ticket('late', { workClass: 'work', startByMs: 50, deadlineAtMs: 2_000 });
    expect(refusal(late, 0, 700)).to.equal(undefined);
    expect(refusal(late, 600, 700)).to.include({
      reason: 'cannot-finish-in-time',
      retryAfterMs: 600,
    });
  });
});

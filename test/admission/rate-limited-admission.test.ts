/**
 * Admission to an endpoint that limits its rate: work that the limit allows only too late must be refused at once, not
 * wait until it is too late.
 */
import { expect } from 'chai';
import {
  EndpointAdmission,
  type AdmissionEffect,
  type AdmissionTicket,
} from '../../src/admission/endpoint-admission.js';
import { TokenBucket } from '../../src/admission/token-bucket.js';
import { lateRank } from '../../src/admission/work-rank.js';

const SLOTS = 4;
const LIMIT_PER_S = 2;
const MS_BETWEEN = 500;
const NO_DEADLINE_MS = 1e9;

function ticket(requestId: string, fields: Partial<AdmissionTicket> = {}): AdmissionTicket {
  return { requestId, callerNode: 'n', deadlineAtMs: NO_DEADLINE_MS, ...fields };
}

function outcomesOf(effects: readonly AdmissionEffect[]): string[] {
  return effects.map((effect) =>
    effect.type === 'dispatch'
      ? effect.requestId
      : `${effect.requestId}: ${effect.reason}, ${effect.retryAfterMs}`,
  );
}

describe('admission to an endpoint that limits its rate', () => {
  let bucket: TokenBucket;
  let admission: EndpointAdmission;

  beforeEach(() => {
    bucket = new TokenBucket();
    admission = new EndpointAdmission(SLOTS, Infinity, undefined, undefined, bucket);
    bucket.setRate(LIMIT_PER_S, 0);
  });

  it('refuses at once what the limit allows only after its target, and tells when it is allowed', () => {
    const effects = admission.offer(ticket('a', { targetAtMs: 400 }), 0);
    expect(outcomesOf(effects)).to.deep.equal([`a: rate-limited, ${MS_BETWEEN}`]);
  });

  it('lets wait what the limit allows in time, and sends it then', () => {
    expect(admission.offer(ticket('a', { targetAtMs: 600 }), 0)).to.deep.equal([]);
    expect(admission.resumeDelayMs(0)).to.equal(MS_BETWEEN);
    expect(outcomesOf(admission.resume(MS_BETWEEN))).to.deep.equal(['a']);
  });

  it('tells each refused request a time that counts those that wait', () => {
    admission.offer(ticket('a', { targetAtMs: 900 }), 0);
    const effects = admission.offer(ticket('b', { targetAtMs: 900 }), 0);
    expect(outcomesOf(effects)).to.deep.equal([`b: rate-limited, ${2 * MS_BETWEEN}`]);
  });

  it('sends the most urgent request first', () => {
    admission.offer(ticket('low', { priority: 2, targetAtMs: 2_000 }), 0);
    admission.offer(ticket('high', { priority: 1, targetAtMs: 2_000 }), 0);
    expect(outcomesOf(admission.resume(MS_BETWEEN))).to.deep.equal(['high']);
    expect(outcomesOf(admission.resume(2 * MS_BETWEEN))).to.deep.equal(['low']);
  });

  it('does not extend the wait of late work because of the limit', () => {
    const late = ticket('late', { priority: lateRank(1), startByMs: 300 });
    expect(outcomesOf(admission.offer(late, 0))).to.deep.equal([
      `late: rate-limited, ${MS_BETWEEN}`,
    ]);
  });

  it('refuses requests that wait for a slot when a limit makes them too late', () => {
    bucket.setRate(Infinity, 0);
    for (let slot = 0; slot < SLOTS; slot += 1) {
      admission.offer(ticket(`running-${slot}`), 0);
    }
    admission.offer(ticket('low', { priority: 2, targetAtMs: 700 }), 0);
    admission.offer(ticket('high', { priority: 1, targetAtMs: 700 }), 0);
    bucket.setRate(LIMIT_PER_S, 10);
    const effects = admission.rateLimitChanged(10);
    expect(outcomesOf(effects)).to.deep.equal([`low: rate-limited, ${2 * MS_BETWEEN}`]);
    expect(admission.waitingCount).to.equal(1);
  });

  it('sends requests that wait for the limit when it is lifted', () => {
    admission.offer(ticket('a', { targetAtMs: 900 }), 0);
    bucket.setRate(Infinity, 10);
    expect(outcomesOf(admission.rateLimitChanged(10))).to.deep.equal(['a']);
  });

  describe('that is idle', () => {
    const SERVICE_MS = 100;

    beforeEach(() => {
      bucket.setRate(Infinity, 0);
      admission.offer(ticket('measured'), 0);
      admission.release('measured', SERVICE_MS, SERVICE_MS);
      bucket.setRate(LIMIT_PER_S, SERVICE_MS);
    });

    it('refuses what the limit allows now but will hardly finish, and sends what will', () => {
      const short = admission.offer(ticket('short', { deadlineAtMs: 700 }), 600);
      expect(outcomesOf(short)[0]).to.match(/^short: cannot-finish-in-time/);
      expect(outcomesOf(admission.offer(ticket('long', { deadlineAtMs: 900 }), 600))).to.deep.equal(
        ['long'],
      );
    });

    it('sends a request nevertheless when none was sent for a long time, to hear the limit again', () => {
      const nowMs = 20_000;
      const effects = admission.offer(ticket('short', { deadlineAtMs: nowMs + 50 }), nowMs);
      expect(outcomesOf(effects)).to.deep.equal(['short']);
    });
  });
});

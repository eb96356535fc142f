/**
 * The request rate to a cold endpoint: for any sequence of requests, cold-start reports, restarts of its node and
 * pauses, it never exceeds the configured number within one second, and reaches the configured rate on demand.
 */
import { expect } from 'chai';
import * as fc from 'fast-check';
import { ColdStartLimiter } from '../../src/admission/cold-start-limiter.js';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';
import type { ColdStart } from '../../src/model/resource.js';

const COLD_START: ColdStart = { durationMs: 3_000, ratePerS: 4, maxInSecond: 14 };
const SECOND_MS = 1_000;
/** Longer than any test sequence. */
const ALWAYS_COLD_MS = 3_600_000;
const LONG_AGO_MS = -10_000;

function createLimiter(startedAtMs = LONG_AGO_MS, share = 1): ColdStartLimiter {
  const limiter = new ColdStartLimiter(startedAtMs);
  limiter.configure(COLD_START, share);
  return limiter;
}

/** Events at the nodes that send to one endpoint, which is cold throughout. */
type Step =
  | { readonly kind: 'wait'; readonly forMs: number }
  | { readonly kind: 'offer'; readonly count: number; readonly node: number }
  | { readonly kind: 'restart'; readonly node: number; readonly afterMs: number }
  | { readonly kind: 'report'; readonly node: number };

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('wait' as const), forMs: fc.integer({ min: 0, max: 1_500 }) }),
    fc.record({
      kind: fc.constant('offer' as const),
      count: fc.integer({ min: 1, max: 30 }),
      node: fc.nat(2),
    }),
    fc.record({
      kind: fc.constant('restart' as const),
      node: fc.nat(2),
      afterMs: fc.integer({ min: 0, max: 400 }),
    }),
    fc.record({ kind: fc.constant('report' as const), node: fc.nat(2) }),
  ),
  { maxLength: 60 },
);

/** Send times of all nodes, in order; each node has an equal share of the limit. */
function simulate(sequence: readonly Step[], nodeCount: number): number[] {
  let nowMs = 0;
  const sent: number[] = [];
  const startNode = (startedAtMs: number): ColdStartLimiter => {
    const limiter = createLimiter(startedAtMs, 1 / nodeCount);
    limiter.updateColdPeriod(ALWAYS_COLD_MS, startedAtMs);
    return limiter;
  };
  const limiters = Array.from({ length: nodeCount }, () => startNode(LONG_AGO_MS));
  for (const step of sequence) {
    if (step.kind === 'wait') {
      nowMs += step.forMs;
      continue;
    }
    const node = step.node % nodeCount;
    const limiter = limiters[node] ?? startNode(nowMs);
    if (step.kind === 'restart') {
      nowMs += step.afterMs;
      limiters[node] = startNode(nowMs);
    } else if (step.kind === 'report') {
      limiter.updateColdPeriod(ALWAYS_COLD_MS, nowMs);
    } else {
      for (let sends = Math.min(step.count, limiter.availableAt(nowMs)); sends > 0; sends -= 1) {
        const requestId = `r${sent.length}`;
        limiter.recordSent(requestId);
        limiter.recordArrival(requestId, 'arrived', nowMs);
        sent.push(nowMs);
      }
    }
  }
  return sent;
}

function maxPerSecond(sent: readonly number[]): number {
  const counts = sent.map(
    (from) => sent.filter((at) => at >= from && at < from + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('cold-start limiter', () => {
  for (const nodeCount of [1, 2, 3]) {
    it(`never exceeds the limit for any sequence of events at ${nodeCount} nodes that share it`, () => {
      fc.assert(
        fc.property(steps, (sequence) => {
          expect(maxPerSecond(simulate(sequence, nodeCount))).to.be.at.most(COLD_START.maxInSecond);
        }),
        { numRuns: 400 },
      );
    });
  }

  it('allows at least the configured rate on demand', () => {
    const sequence = Array.from({ length: 100 }, (): Step[] => [
      { kind: 'offer', count: 1, node: 0 },
      { kind: 'wait', forMs: 50 },
    ]).flat();
    const sent = simulate(sequence, 1);
    expect(sent.length).to.be.at.least(5 * COLD_START.ratePerS);
  });

  it('allows no requests from nodes whose share is less than one request', () => {
    expect(simulate([{ kind: 'offer', count: 9, node: 0 }], 100)).to.deep.equal([]);
  });

  it('is unlimited before any report, without settings, and after the ramp', () => {
    expect(createLimiter().availableAt(0)).to.equal(Infinity);
    const without = new ColdStartLimiter(LONG_AGO_MS);
    without.updateColdPeriod(3_000, 0);
    expect(without.availableAt(1)).to.equal(Infinity);
    const limiter = createLimiter();
    limiter.updateColdPeriod(1_000, 0);
    expect(limiter.availableAt(999)).to.be.below(COLD_START.maxInSecond);
    expect(limiter.availableAt(1_500)).to.be.within(
      COLD_START.maxInSecond,
      10 * COLD_START.maxInSecond,
    );
    expect(limiter.availableAt(5_000)).to.equal(Infinity);
  });

  it('counts requests sent before the endpoint was reported cold', () => {
    const limiter = createLimiter();
    for (let sends = 0; sends < 20; sends += 1) {
      limiter.recordSent(`r${sends}`);
      limiter.recordArrival(`r${sends}`, 'arrived', 0);
    }
    limiter.updateColdPeriod(3_000, 100);
    expect(limiter.availableAt(100)).to.equal(0);
    expect(limiter.availableAt(1_200)).to.be.greaterThan(0);
  });

  it('uses the latest report', () => {
    const limiter = createLimiter();
    limiter.updateColdPeriod(3_000, 0);
    limiter.updateColdPeriod(0, 100);
    expect(limiter.coldUntil).to.equal(100);
  });
});

describe('admission to a cold endpoint', () => {
  const ticket = (requestId: string, deadlineAtMs: number) => ({
    requestId,
    callerNode: 'n',
    deadlineAtMs,
  });

  it('queues requests beyond the limit and returns the delay until the next one may be sent', () => {
    const limiter = createLimiter();
    const admission = new EndpointAdmission(50, Infinity, 2, limiter);
    limiter.updateColdPeriod(3_000, 0);
    const available = limiter.availableAt(0);
    for (let count = 0; count < available; count += 1) {
      expect(admission.offer(ticket(`r${count}`, 9_000), 0)).to.have.length(1);
      limiter.recordArrival(`r${count}`, 'arrived', 0);
    }
    expect(admission.resumeDelayMs(0)).to.equal(undefined);
    expect(admission.offer(ticket('last', 9_000), 0)).to.deep.equal([]);
    const delayMs = admission.resumeDelayMs(0) ?? 0;
    expect(delayMs).to.be.within(1, 1_200);
    expect(admission.resume(delayMs)).to.deep.equal([{ type: 'dispatch', requestId: 'last' }]);
  });

  it('refuses immediately a request that would wait past its deadline, even if none is running', () => {
    const limiter = createLimiter(0);
    const admission = new EndpointAdmission(4, Infinity, 2, limiter);
    limiter.updateColdPeriod(3_000, 0);
    const [effect] = admission.offer(ticket('a', 500), 10);
    expect(effect).to.include({ type: 'refuse', reason: 'cannot-finish-in-time' });
    expect(effect).to.have.property('retryAfterMs').that.is.within(500, 1_100);
  });
});

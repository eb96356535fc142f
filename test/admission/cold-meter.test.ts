/**
 * What a cold endpoint is sent: in any order of requests, news, restarts of the node beside it and pauses, never
 * more within one second than its service says, and as much as it says where that is asked for.
 */
import { expect } from 'chai';
import * as fc from 'fast-check';
import { ColdMeter } from '../../src/admission/cold-meter.js';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';
import type { ColdStart } from '../../src/model/resource.js';

const COLD_START: ColdStart = { durationMs: 3_000, ratePerS: 4, maxInSecond: 14 };
const SECOND_MS = 1_000;
/** Long enough for any sequence of a test. */
const ALWAYS_COLD_MS = 3_600_000;
const LONG_AGO_MS = -10_000;

function coldMeter(startedAtMs = LONG_AGO_MS, share = 1): ColdMeter {
  const meter = new ColdMeter(startedAtMs);
  meter.configure(COLD_START, share);
  return meter;
}

/** What may happen to the nodes that send to one endpoint, which is cold all the while. */
type Step =
  | { readonly kind: 'wait'; readonly forMs: number }
  | { readonly kind: 'offer'; readonly count: number; readonly node: number }
  | { readonly kind: 'restart'; readonly node: number; readonly afterMs: number }
  | { readonly kind: 'news'; readonly node: number };

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
    fc.record({ kind: fc.constant('news' as const), node: fc.nat(2) }),
  ),
  { maxLength: 60 },
);

/** Sends of all nodes, in order; each node has `share` of the bound. */
function play(sequence: readonly Step[], nodeCount: number): number[] {
  let nowMs = 0;
  const sent: number[] = [];
  const begin = (startedAtMs: number): ColdMeter => {
    const meter = coldMeter(startedAtMs, 1 / nodeCount);
    meter.takeNews(ALWAYS_COLD_MS, startedAtMs);
    return meter;
  };
  const meters = Array.from({ length: nodeCount }, () => begin(LONG_AGO_MS));
  for (const step of sequence) {
    if (step.kind === 'wait') {
      nowMs += step.forMs;
      continue;
    }
    const node = step.node % nodeCount;
    const meter = meters[node] ?? begin(nowMs);
    if (step.kind === 'restart') {
      nowMs += step.afterMs;
      meters[node] = begin(nowMs);
    } else if (step.kind === 'news') {
      meter.takeNews(ALWAYS_COLD_MS, nowMs);
    } else {
      for (let sends = Math.min(step.count, meter.roomAt(nowMs)); sends > 0; sends -= 1) {
        meter.sent(nowMs);
        sent.push(nowMs);
      }
    }
  }
  return sent;
}

function mostInSecond(sent: readonly number[]): number {
  const counts = sent.map(
    (from) => sent.filter((at) => at >= from && at < from + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('what a cold endpoint is sent', () => {
  for (const nodeCount of [1, 2, 3]) {
    it(`stays within its bound in any order of events, by ${nodeCount} nodes that share it`, () => {
      fc.assert(
        fc.property(steps, (sequence) => {
          expect(mostInSecond(play(sequence, nodeCount))).to.be.at.most(COLD_START.maxInSecond);
        }),
        { numRuns: 400 },
      );
    });
  }

  it('is more than it bears at its own rate, where that is asked for', () => {
    const sequence = Array.from({ length: 100 }, (): Step[] => [
      { kind: 'offer', count: 1, node: 0 },
      { kind: 'wait', forMs: 50 },
    ]).flat();
    const sent = play(sequence, 1);
    expect(sent.length).to.be.at.least(5 * COLD_START.ratePerS);
  });

  it('is nothing by nodes whose share is less than one request', () => {
    expect(play([{ kind: 'offer', count: 9, node: 0 }], 100)).to.deep.equal([]);
  });

  it('is unbounded before any news, without terms, and some time after the last word', () => {
    expect(coldMeter().roomAt(0)).to.equal(Infinity);
    const without = new ColdMeter(LONG_AGO_MS);
    without.takeNews(3_000, 0);
    expect(without.roomAt(1)).to.equal(Infinity);
    const meter = coldMeter();
    meter.takeNews(1_000, 0);
    expect(meter.roomAt(999)).to.be.below(COLD_START.maxInSecond);
    expect(meter.roomAt(1_500)).to.be.within(COLD_START.maxInSecond, 10 * COLD_START.maxInSecond);
    expect(meter.roomAt(5_000)).to.equal(Infinity);
  });

  it('counts what was sent before it was known to be cold', () => {
    const meter = coldMeter();
    for (let sends = 0; sends < 20; sends += 1) {
      meter.sent(0);
    }
    meter.takeNews(3_000, 100);
    expect(meter.roomAt(100)).to.equal(0);
    expect(meter.roomAt(1_200)).to.be.greaterThan(0);
  });

  it('goes by the newest word', () => {
    const meter = coldMeter();
    meter.takeNews(3_000, 0);
    meter.takeNews(0, 100);
    expect(meter.coldUntil).to.equal(100);
  });
});

describe('admission to a cold endpoint', () => {
  const ticket = (requestId: string, deadlineAtMs: number) => ({
    requestId,
    callerNode: 'n',
    deadlineAtMs,
  });

  it('makes what is beyond its rate wait, and says when to go on', () => {
    const meter = coldMeter();
    const admission = new EndpointAdmission(50, Infinity, 2, meter);
    meter.takeNews(3_000, 0);
    const room = meter.roomAt(0);
    for (let count = 0; count < room; count += 1) {
      expect(admission.offer(ticket(`r${count}`, 9_000), 0)).to.have.length(1);
    }
    expect(admission.resumesInMs(0)).to.equal(undefined);
    expect(admission.offer(ticket('last', 9_000), 0)).to.deep.equal([]);
    const delayMs = admission.resumesInMs(0) ?? 0;
    expect(delayMs).to.be.within(1, 1_200);
    expect(admission.resume(delayMs)).to.deep.equal([{ type: 'dispatch', requestId: 'last' }]);
  });

  it('refuses at once what would wait past its deadline, though no request runs', () => {
    const meter = coldMeter(0);
    const admission = new EndpointAdmission(4, Infinity, 2, meter);
    meter.takeNews(3_000, 0);
    const [effect] = admission.offer(ticket('a', 500), 10);
    expect(effect).to.include({ type: 'refuse', reason: 'cannot-finish-in-time' });
    expect(effect).to.have.property('retryAfterMs').that.is.within(500, 1_100);
  });
});

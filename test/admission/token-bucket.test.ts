/** The token bucket: for any sequence of requests and changes of the rate, no window exceeds the rate and one burst. */
import { expect } from 'chai';
import * as fc from 'fast-check';
import { TokenBucket } from '../../src/admission/token-bucket.js';

const WINDOW_MS = 4_000;
const BURST_S = 0.25;

function burstOf(ratePerS: number): number {
  return Math.max(1, ratePerS * BURST_S);
}

/** Sends whatever the bucket allows at each of the times; returns the send times. */
function sendAt(bucket: TokenBucket, timesMs: readonly number[], demand: number): number[] {
  return timesMs.flatMap((nowMs) => {
    const count = Math.min(demand, bucket.availableAt(nowMs));
    for (let sent = 0; sent < count; sent += 1) {
      bucket.recordSent('', nowMs);
    }
    return Array.from({ length: count }, () => nowMs);
  });
}

function busiestWindow(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  times.forEach((atMs, index) => {
    while ((times[first] ?? 0) < atMs - WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

describe('a token bucket', () => {
  it('does not limit at first', () => {
    const bucket = new TokenBucket();
    expect(bucket.availableAt(0)).to.equal(Infinity);
    expect(bucket.maxDelayMs(1_000, 0)).to.equal(0);
  });

  it('grants nothing early because it was asked about a later time', () => {
    const bucket = new TokenBucket();
    bucket.setRate(1, 0);
    expect(bucket.availableAt(5_000)).to.equal(1);
    expect(bucket.availableAt(500)).to.equal(0);
    expect(bucket.maxDelayMs(1, 500)).to.be.closeTo(500, 1);
  });

  it('has no token when a limit follows an unlimited rate', () => {
    const bucket = new TokenBucket();
    bucket.setRate(0.4, 10_000);
    expect(bucket.availableAt(10_000)).to.equal(0);
    expect(bucket.nextAvailableInMs(10_000)).to.equal(2_500);
    expect(bucket.maxDelayMs(3, 10_000)).to.be.closeTo(7_500, 1);
    expect(bucket.availableAt(12_500)).to.equal(1);
  });

  for (const ratePerS of [0.2, 0.4, 3.3, 17.2, 1_000]) {
    it(`allows ${ratePerS} requests a second on demand`, () => {
      const bucket = new TokenBucket();
      bucket.setRate(ratePerS, 0);
      const times = Array.from({ length: 60_000 }, (_, ms) => ms);
      const sent = sendAt(bucket, times, Infinity);
      expect(sent.length).to.be.within(ratePerS * 60 - 1, ratePerS * 60 + burstOf(ratePerS));
    });
  }

  it('keeps every window to the rate and one burst', () => {
    const gaps = fc.array(fc.integer({ min: 0, max: 3_000 }), { maxLength: 200 });
    const rates = fc.double({ min: 0.2, max: 200, noNaN: true });
    fc.assert(
      fc.property(rates, gaps, fc.integer({ min: 1, max: 400 }), (ratePerS, waits, demand) => {
        const bucket = new TokenBucket();
        bucket.setRate(ratePerS, 0);
        let nowMs = 0;
        const times = waits.map((waitMs) => (nowMs += waitMs));
        const allowed = (ratePerS * WINDOW_MS) / 1_000 + burstOf(ratePerS);
        expect(busiestWindow(sendAt(bucket, times, demand))).to.be.at.most(allowed + 1e-3);
      }),
    );
  });

  it('keeps to the highest of the rates when the rate changes', () => {
    const steps = fc.array(
      fc.record({
        waitMs: fc.integer({ min: 0, max: 2_000 }),
        ratePerS: fc.double({ min: 0.2, max: 20, noNaN: true }),
      }),
      { minLength: 1, maxLength: 100 },
    );
    fc.assert(
      fc.property(steps, (sequence) => {
        const bucket = new TokenBucket();
        bucket.setRate(sequence[0]?.ratePerS ?? 1, 0);
        let nowMs = 0;
        const sent = sequence.flatMap(({ waitMs, ratePerS }) => {
          nowMs += waitMs;
          const times = sendAt(bucket, [nowMs], Infinity);
          bucket.setRate(ratePerS, nowMs);
          return times;
        });
        const highest = Math.max(...sequence.map(({ ratePerS }) => ratePerS));
        const allowed = (highest * WINDOW_MS) / 1_000 + burstOf(highest);
        expect(busiestWindow(sent)).to.be.at.most(allowed + 1e-3);
      }),
    );
  });
});

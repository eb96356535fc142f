import { expect } from 'chai';
import { RetryBudget } from '../../src/routing/retry-budget.js';

const WINDOW_MS = 10_000;
const PERCENT = 20;

/** A budget whose clock the test sets. */
function windowedBudget(extra: number) {
  let nowMs = 0;
  const budget = new RetryBudget(0, {
    lengthMs: WINDOW_MS,
    nowMs: () => nowMs,
    maxExtra: () => extra,
  });
  return { budget, advanceTo: (ms: number) => (nowMs = ms) };
}

function takeAll(budget: RetryBudget): number {
  let count = 0;
  while (budget.take()) {
    count += 1;
  }
  return count;
}

describe('retry budget with a window', () => {
  // Guards against failed requests in a fleet whose endpoints lose many answers within a few seconds.
  it('allows all retries that the last seconds have earned at once', () => {
    const { budget, advanceTo } = windowedBudget(2);
    for (let nowMs = 0; nowMs < 8_000; nowMs += 100) {
      advanceTo(nowMs);
      budget.earn(PERCENT);
    }
    expect(takeAll(budget)).to.equal(18);
  });

  // Guards against more retries in some window than the share that operators allow.
  it('allows no more in any window than it has earned and the extra retries, whatever the load', () => {
    const { budget, advanceTo } = windowedBudget(3);
    const taken: number[] = [];
    const earned: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 50) {
      advanceTo(nowMs);
      const isBusy = Math.floor(nowMs / 7_000) % 2 === 0;
      if (isBusy || nowMs % 500 === 0) {
        budget.earn(PERCENT);
        earned.push(nowMs);
      }
      if (nowMs % 3_000 < 1_000 && budget.take()) {
        taken.push(nowMs);
      }
    }
    expect(taken.length).to.be.greaterThan(50);
    for (const endMs of taken) {
      const inWindow = (atMs: number) => atMs > endMs - WINDOW_MS && atMs <= endMs;
      const requests = earned.filter(inWindow).length;
      expect(taken.filter(inWindow).length).to.be.at.most((requests * PERCENT) / 100 + 3);
    }
  });

  it('forgets retries that were earned before the window', () => {
    const { budget, advanceTo } = windowedBudget(0);
    for (let request = 0; request < 50; request += 1) {
      budget.earn(PERCENT);
    }
    advanceTo(WINDOW_MS + 500);
    expect(budget.hasRetry).to.equal(false);
  });
});

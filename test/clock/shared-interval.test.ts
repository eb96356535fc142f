/** Periodic actions of one process: they run in the same turn and are stopped individually. */
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { SharedInterval } from '../../src/clock/shared-interval.js';

const INTERVAL_MS = 20;

describe('a shared interval', () => {
  /** Guards against separate timers, which wake the process twice in each interval. */
  it('runs all actions in one turn, regardless of when they were added', async () => {
    const interval = new SharedInterval(INTERVAL_MS);
    const turns: string[] = [];
    let isSameTurn = false;
    const recordTurn = (name: string): void => {
      turns.push(isSameTurn ? `${name} with the one before` : name);
      isSameTurn = true;
      setImmediate(() => {
        isSameTurn = false;
      });
    };
    const stopFirst = interval.add(() => recordTurn('first'));
    await delay(INTERVAL_MS / 2);
    const stopSecond = interval.add(() => recordTurn('second'));
    await delay(INTERVAL_MS);
    stopFirst();
    stopSecond();
    expect(turns).to.deep.equal(['first', 'second with the one before']);
  });

  it('continues when one action is stopped and ends with the last one', async () => {
    const interval = new SharedInterval(INTERVAL_MS);
    const counts = { first: 0, second: 0 };
    const stopFirst = interval.add(() => (counts.first += 1));
    const stopSecond = interval.add(() => (counts.second += 1));
    stopFirst();
    stopFirst();
    await delay(3 * INTERVAL_MS);
    expect(counts.first).to.equal(0);
    expect(counts.second).to.be.at.least(1);
    stopSecond();
    const { second } = counts;
    await delay(2 * INTERVAL_MS);
    expect(counts.second).to.equal(second);
  });
});

/** Regular actions of one process: they run in the same turns, and end each on its own. */
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { SharedInterval } from '../../src/clock/shared-interval.js';

const INTERVAL_MS = 20;

describe('a shared interval', () => {
  /** Two timers of one process woke it twice in each interval, though both could wait for the other. */
  it('runs all actions in one turn, whenever each was added', async () => {
    const interval = new SharedInterval(INTERVAL_MS);
    const turns: string[] = [];
    let isSameTurn = false;
    const note = (name: string): void => {
      turns.push(isSameTurn ? `${name} with the one before` : name);
      isSameTurn = true;
      setImmediate(() => {
        isSameTurn = false;
      });
    };
    const endFirst = interval.add(() => note('first'));
    await delay(INTERVAL_MS / 2);
    const endSecond = interval.add(() => note('second'));
    await delay(INTERVAL_MS);
    endFirst();
    endSecond();
    expect(turns).to.deep.equal(['first', 'second with the one before']);
  });

  it('goes on with the others once one ends, and ends with the last one', async () => {
    const interval = new SharedInterval(INTERVAL_MS);
    const counts = { first: 0, second: 0 };
    const endFirst = interval.add(() => (counts.first += 1));
    const endSecond = interval.add(() => (counts.second += 1));
    endFirst();
    endFirst();
    await delay(3 * INTERVAL_MS);
    expect(counts.first).to.equal(0);
    expect(counts.second).to.be.at.least(1);
    endSecond();
    const { second } = counts;
    await delay(2 * INTERVAL_MS);
    expect(counts.second).to.equal(second);
  });
});

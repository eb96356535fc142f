/** Counts over the last seconds. */
import { expect } from 'chai';
import { RecentCount } from '../../src/admission/recent-count.js';

describe('a count of recent events', () => {
  it('counts the events of the window and drops older ones', () => {
    const count = new RecentCount(4_000);
    for (const atMs of [0, 100, 600, 3_900]) {
      count.record(atMs);
    }
    expect(count.at(3_900)).to.equal(4);
    expect(count.at(4_100)).to.equal(2);
    expect(count.at(4_600)).to.equal(1);
    expect(count.at(9_000)).to.equal(0);
  });
});

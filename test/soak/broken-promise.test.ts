/** Guards against losses that are not seen among many cases of another promise. */
import { expect } from 'chai';
import { summarize, type BrokenPromise } from '../../tools/soak/broken-promise.js';

describe('the summary of broken promises', () => {
  it('counts each and puts losses first, then the most frequent', () => {
    const many = Array.from({ length: 30 }, (_, idx): BrokenPromise => ({
      promise: 'deadline',
      detail: `d${idx}`,
    }));
    const broken: BrokenPromise[] = [
      { promise: 'drain', detail: 'x' },
      ...many,
      { promise: 'planned-stop', detail: 'lost' },
    ];
    const counts = summarize(broken).map(({ promise, isLoss, details }) => [
      promise,
      isLoss,
      details.length,
    ]);
    expect(counts).to.deep.equal([
      ['planned-stop', true, 1],
      ['deadline', false, 30],
      ['drain', false, 1],
    ]);
  });
});

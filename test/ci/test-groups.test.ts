/** Test files divided among processes: all of them, each once, evenly, always alike. */
import { expect } from 'chai';
import { divideTests } from '../../tools/ci/test-groups.js';

const FILES = [30, 10, 9, 8, 1, 1, 1].map((weight, index) => ({ path: `f${index}`, weight }));

describe('division of test files', () => {
  it('gives every file to one group', () => {
    const paths = divideTests(FILES, 3)
      .flat()
      .map(({ path }) => path);
    expect(paths.sort()).to.deep.equal(FILES.map(({ path }) => path).sort());
  });

  it('keeps the groups even, as far as the heaviest file lets it', () => {
    const weights = divideTests(FILES, 3).map((group) =>
      group.reduce((sum, { weight }) => sum + weight, 0),
    );
    expect(weights.sort((left, right) => right - left)).to.deep.equal([30, 17, 13]);
  });

  it('does not depend on the order of the files, and makes no empty group', () => {
    expect(divideTests([...FILES].reverse(), 3)).to.deep.equal(divideTests(FILES, 3));
    expect(divideTests(FILES.slice(0, 1), 4)).to.have.length(1);
  });
});

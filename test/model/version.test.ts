import { expect } from 'chai';
import fc from 'fast-check';
import { compareVersions, isNewer, type DocumentVersion } from '../../src/model/version.js';

const digest = fc.stringMatching(/^[0-9a-f]{32}$/);
const version: fc.Arbitrary<DocumentVersion> = fc.record({ number: fc.nat(3), digest });

describe('model/version', () => {
  it('defines a total order', () => {
    fc.assert(
      fc.property(version, version, version, (a, b, c) => {
        expect(Math.sign(compareVersions(a, b))).to.equal(-Math.sign(compareVersions(b, a)) + 0);
        if (isNewer(a, b) && isNewer(b, c)) {
          expect(isNewer(a, c)).to.equal(true);
        }
        expect(compareVersions(a, b) === 0).to.equal(
          a.number === b.number && a.digest === b.digest,
        );
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  it('never considers a lower number newer, regardless of the digest', () => {
    const low = { number: 4, digest: 'f'.repeat(32) };
    const high = { number: 5, digest: '0'.repeat(32) };
    expect(isNewer(low, high)).to.equal(false);
  });
});

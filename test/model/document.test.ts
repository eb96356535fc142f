import { expect } from 'chai';
import fc from 'fast-check';
import { DeltaMismatchError, MAX_TOMBSTONES, VersionedDocument } from '../../src/model/document.js';

const values = fc
  .dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.constantFrom('1', '2', '3'))
  .map((record) => new Map(Object.entries(record)));

function contentOf(document: VersionedDocument): Record<string, string> {
  return Object.fromEntries([...document.entries.values()].map((entry) => [entry.key, entry.json]));
}

describe('model/document', () => {
  it('gives deltas that lead from any older version to the newest', () => {
    fc.assert(
      fc.property(fc.array(values, { minLength: 2, maxLength: 8 }), (contents) => {
        const documents: VersionedDocument[] = [];
        contents.forEach((content, index) => {
          const previous = documents.at(-1);
          const number = index + 1;
          documents.push(
            previous?.next(number, content) ?? VersionedDocument.fromValues(number, content),
          );
        });
        const newest = documents.at(-1) as VersionedDocument;
        for (const older of documents.slice(0, -1)) {
          const delta = newest.deltaFrom(older.version);
          expect(delta, 'history reaches back').to.not.equal(undefined);
          if (delta !== undefined) {
            expect(contentOf(older.apply(delta))).to.deep.equal(contentOf(newest));
          }
        }
      }),
      { seed: 12, numRuns: 300 },
    );
  });

  it('has a digest that depends on content only, not on the way there', () => {
    fc.assert(
      fc.property(values, values, (first, second) => {
        const walked = VersionedDocument.fromValues(1, first).next(2, second);
        const direct = VersionedDocument.fromValues(2, second);
        expect(walked.version).to.deep.equal(direct.version);
      }),
      { seed: 13, numRuns: 300 },
    );
  });

  it('refuses a delta taken from another document of the same number', () => {
    const held = VersionedDocument.fromValues(1, new Map([['a', '1']]));
    const other = VersionedDocument.fromValues(1, new Map([['a', '2']]));
    const delta = other
      .next(
        2,
        new Map([
          ['a', '2'],
          ['b', '1'],
        ]),
      )
      .deltaFrom(other.version);
    expect(() => delta && held.apply(delta)).to.throw(DeltaMismatchError);
  });

  it('gives no delta from before its history or from its own version on', () => {
    const document = VersionedDocument.fromValues(5, new Map([['a', '1']]));
    expect(document.deltaFrom({ number: 4, digest: '0'.repeat(32) })).to.equal(undefined);
    expect(document.deltaFrom(document.version)).to.equal(undefined);
  });

  it('keeps with each entry the version of its change, over deltas that skip versions', () => {
    const first = VersionedDocument.empty().change(1, [{ key: 'a', json: '1' }], []);
    const second = first.change(2, [{ key: 'b', json: '1' }], []);
    const third = second.change(3, [{ key: 'c', json: '1' }], []);
    const caughtUp = first.apply(third.deltaFrom(first.version) ?? expect.fail('no delta'));
    const assembled = VersionedDocument.fromEntries(3, [...third.entries.values()]);
    for (const copy of [caughtUp, assembled]) {
      expect(copy.version).to.deep.equal(third.version);
      expect([...copy.entries.values()].map((entry) => entry.changedAt)).to.deep.equal([1, 2, 3]);
    }
    expect(assembled.deltaFrom(second.version)).to.equal(undefined);
  });

  it('bounds its tombstones and moves its history with them', () => {
    const many = new Map(Array.from({ length: MAX_TOMBSTONES + 1 }, (_, i) => [`k${i}`, '1']));
    const full = VersionedDocument.fromValues(1, many);
    const emptied = full.next(2, new Map()).next(3, new Map([['a', '1']]));
    expect(emptied.tombstones).to.have.length(MAX_TOMBSTONES);
    expect(emptied.deltaFrom(full.version)).to.equal(undefined);
  });
});

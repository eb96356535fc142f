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
  it('provides deltas from any older version to the newest', () => {
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

  it('has a digest that depends only on the content, not on its history', () => {
    fc.assert(
      fc.property(values, values, (first, second) => {
        const incremental = VersionedDocument.fromValues(1, first).next(2, second);
        const direct = VersionedDocument.fromValues(2, second);
        expect(incremental.version).to.deep.equal(direct.version);
      }),
      { seed: 13, numRuns: 300 },
    );
  });

  it('rejects a delta from a different document with the same number', () => {
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

  it('provides no delta from a version before its history or from its own version', () => {
    const document = VersionedDocument.fromValues(5, new Map([['a', '1']]));
    expect(document.deltaFrom({ number: 4, digest: '0'.repeat(32) })).to.equal(undefined);
    expect(document.deltaFrom(document.version)).to.equal(undefined);
  });

  it('preserves changedAt of each entry across deltas that skip versions', () => {
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

  it('limits its tombstones and shortens its history accordingly', () => {
    const initialValues = new Map(
      Array.from({ length: MAX_TOMBSTONES + 1 }, (_, i) => [`k${i}`, '1']),
    );
    const full = VersionedDocument.fromValues(1, initialValues);
    const emptied = full.next(2, new Map()).next(3, new Map([['a', '1']]));
    expect(emptied.tombstones).to.have.length(MAX_TOMBSTONES);
    expect(emptied.deltaFrom(full.version)).to.equal(undefined);
  });
});

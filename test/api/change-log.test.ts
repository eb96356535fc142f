import { expect } from 'chai';
import fc from 'fast-check';
import { ChangeLog, type ChangeBatch } from '../../src/api/change-log.js';
import { formatCursor, isAhead, parseCursor } from '../../src/api/cursor.js';
import { createDigestMask } from '../../src/api/digest-mask.js';
import { createResourceVersioner } from '../../src/api/resource-version.js';
import { differenceFrom, type ResourceIndex } from '../../src/api/snapshot-difference.js';
import { secretOf, serviceOf, snapshotOf } from './api-fixture.js';

const SEED = 20;
const versionOf = createResourceVersioner('0123456789abcdef');

function batchOf(cursor: string, lines: readonly string[]): ChangeBatch {
  return { cursor, changes: lines.map((line) => ({ kind: 'service', line })) };
}

describe('ChangeLog', () => {
  it('returns every later batch in order for a known cursor, and lost for an evicted one', () => {
    const lines = fc.array(fc.string({ maxLength: 8 }), { maxLength: 4 });
    const bounds = fc.record({
      maxEvents: fc.integer({ min: 0, max: 8 }),
      maxBytes: fc.integer({ min: 0, max: 24 }),
    });
    const property = fc.property(
      fc.array(lines, { maxLength: 12 }),
      bounds,
      (batchLines, limits) => {
        const log = new ChangeLog(limits, 'c0');
        const batches = batchLines.map((changeLines, index) =>
          batchOf(`c${index + 1}`, changeLines),
        );
        batches.forEach((batch) => log.append(batch));
        let kept = 0;
        for (let seenCount = 0; seenCount <= batches.length; seenCount += 1) {
          const position = log.positionOf(`c${seenCount}`);
          if (position === undefined) {
            expect(log.read(seenCount)).to.equal('lost');
            continue;
          }
          const remaining = batches.slice(seenCount);
          expect(remaining.map((_, index) => log.read(position + index))).to.have.length(
            remaining.length,
          );
          remaining.forEach((batch, index) => {
            expect(log.read(position + index)).to.deep.include(batch);
          });
          expect(log.read(position + remaining.length)).to.equal('at-end');
          kept = Math.max(kept, remaining.flatMap((batch) => batch.changes).length);
        }
        expect(kept).to.be.at.most(limits.maxEvents);
        expect(log.positionOf(`c${batches.length}`)).to.equal(batches.length);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it('does not know cursors of another history', () => {
    expect(new ChangeLog({ maxEvents: 1, maxBytes: 1 }, 'c0').positionOf('d0')).to.equal(undefined);
  });
});

describe('differenceFrom', () => {
  it('transforms any snapshot into any other', () => {
    const resources = fc
      .uniqueArray(fc.tuple(fc.integer({ min: 0, max: 6 }), fc.integer({ min: 1, max: 3 })), {
        selector: ([name]) => name,
      })
      .map((pairs) => pairs.map(([name, timeout]) => serviceOf(`s${name}`, timeout)));
    const property = fc.property(resources, resources, (before, after) => {
      const first = differenceFrom(new Map(), snapshotOf(1, before), versionOf);
      const second = differenceFrom(first.index, snapshotOf(2, after), versionOf);
      const versionsByKey = new Map([...first.index].map(([key, entry]) => [key, entry.version]));
      second.removals.forEach(({ resource }) => versionsByKey.delete(`service/${resource.name}`));
      for (const { resource, version } of second.upserts) {
        expect(versionsByKey.get(`service/${resource.name}`)).not.to.equal(version);
        versionsByKey.set(`service/${resource.name}`, version);
      }
      expect(versionsByKey).to.deep.equal(versions(second.index));
      expect(versions(second.index)).to.deep.equal(
        versions(differenceFrom(new Map(), snapshotOf(2, after), versionOf).index),
      );
    });
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  function versions(index: ResourceIndex): Map<string, string> {
    return new Map([...index].map(([key, entry]) => [key, entry.version]));
  }
});

describe('resource versions', () => {
  it('depend only on content, name and fleet key', () => {
    const other = createResourceVersioner('fedcba9876543210');
    const same = createResourceVersioner('0123456789abcdef');
    expect(versionOf(secretOf('s', 'a'))).to.equal(same(secretOf('s', 'a')));
    expect(versionOf(secretOf('s', 'a'))).not.to.equal(versionOf(secretOf('s', 'b')));
    expect(versionOf(secretOf('s', 'a'))).not.to.equal(versionOf(secretOf('t', 'a')));
    expect(versionOf(secretOf('s', 'a'))).not.to.equal(other(secretOf('s', 'a')));
  });
});

describe('cursors', () => {
  const mask = createDigestMask('0123456789abcdef');
  const digest = 'a'.repeat(32);
  const version = { source: { number: 7, digest }, operator: { number: 2, digest } };
  const text = formatCursor(version, mask);

  it('contain the version numbers and only masked digests', () => {
    expect(parseCursor(text)).to.deep.equal({ source: 7, operator: 2 });
    expect(text).not.to.contain(digest);
    expect(text).to.equal(formatCursor(version, createDigestMask('0123456789abcdef')));
    expect(text).not.to.equal(formatCursor(version, createDigestMask('fedcba9876543210')));
  });

  const invalidCursors = [
    '',
    '1',
    `${text}x`,
    `-${text}`,
    '7.a-0.b',
    text.replace('7', '9'.repeat(16)),
  ];
  for (const invalidCursor of invalidCursors) {
    it(`reject ${JSON.stringify(invalidCursor)}`, () => {
      expect(parseCursor(invalidCursor)).to.equal(undefined);
    });
  }

  it('are ahead if either number is higher', () => {
    expect(isAhead({ source: 8, operator: 0 }, version)).to.equal(true);
    expect(isAhead({ source: 0, operator: 3 }, version)).to.equal(true);
    expect(isAhead({ source: 7, operator: 2 }, version)).to.equal(false);
  });
});

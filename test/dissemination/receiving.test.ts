import { expect } from 'chai';
import { MAX_CHUNK_BYTES, entryBytes } from '../../src/dissemination/document-parts.js';
import { VersionedDocument } from '../../src/model/document.js';
import { NO_VERSION } from '../../src/model/version.js';
import type { SnapshotChunkMessage } from '../../src/wire/message.js';
import { sourceValues } from '../control/control-fixtures.js';
import {
  NEAR,
  REMOTE,
  version,
  versionsOf,
  deltaMessage,
  chunkMessages,
  Bench,
  sent,
  fetchIn,
  FETCH_NEAR,
} from './dissemination-bench.js';

describe('deltas', () => {
  const damaged = { ...deltaMessage(2, 3), upserts: [] };
  for (const { name, held, messages, expected, fetches } of [
    { name: 'that apply', held: 2, messages: [deltaMessage(2, 3)], expected: 3, fetches: false },
    {
      name: 'that are duplicated',
      held: 2,
      messages: [deltaMessage(2, 3), deltaMessage(2, 3)],
      expected: 3,
      fetches: false,
    },
    { name: 'that are late', held: 3, messages: [deltaMessage(1, 2)], expected: 3, fetches: false },
    {
      name: 'that start at an earlier version',
      held: 2,
      messages: [deltaMessage(1, 3)],
      expected: 3,
      fetches: false,
    },
    {
      name: 'that arrive out of order',
      held: 1,
      messages: [deltaMessage(2, 3), deltaMessage(1, 2)],
      expected: 2,
      fetches: true,
    },
    {
      name: 'that follow a gap',
      held: 1,
      messages: [deltaMessage(2, 3)],
      expected: 1,
      fetches: true,
    },
    {
      name: 'that do not match their digest',
      held: 2,
      messages: [damaged],
      expected: 2,
      fetches: true,
    },
    {
      name: 'from nothing on a node that holds nothing',
      held: 0,
      messages: [deltaMessage(0, 3)],
      expected: 3,
      fetches: false,
    },
  ]) {
    it(`${name} leave version ${expected} held`, () => {
      const bench = new Bench(held);
      bench.announce(NEAR, versionsOf(version(Math.max(held, 1)).version).source);
      const effects = bench.receive(NEAR, ...messages);
      expect(bench.held).to.equal(expected);
      expect(sent(effects).includes(FETCH_NEAR)).to.equal(fetches);
    });
  }

  it('that do not apply cause a fetch of the full document', () => {
    const bench = new Bench(2);
    bench.announce(NEAR, version(2).version);
    expect(fetchIn(bench.receive(NEAR, damaged))).to.deep.equal(NO_VERSION);
    expect(bench.counters.get('ferryspool_delta_mismatches_total')).to.equal(1);
  });

  it('from nothing replace a document of another history with the same number', () => {
    const bench = new Bench(0);
    const values = new Map([...sourceValues(9), ...sourceValues(8, 1)]);
    bench.store.adopt('source', VersionedDocument.fromValues(2, values));
    bench.announce(NEAR, version(2).version);
    expect(fetchIn(bench.receive(NEAR, deltaMessage(2, 3)))).to.deep.equal(NO_VERSION);
    bench.receive(NEAR, deltaMessage(0, 3));
    expect(bench.store.held('source').version).to.deep.equal(version(3).version);
  });

  it('from nothing include the entries of a document numbered 0', () => {
    const zero = VersionedDocument.fromValues(0, sourceValues(9, 1));
    const next = zero.next(1, sourceValues(10, 1));
    const delta = next.deltaFrom(NO_VERSION);
    expect(delta === undefined ? '' : VersionedDocument.empty().apply(delta).version).to.deep.equal(
      next.version,
    );
  });

  it('from nothing that are damaged are not requested again immediately', () => {
    const bench = new Bench(0);
    bench.announce(NEAR, version(3).version);
    const effects = bench.receive(NEAR, { ...deltaMessage(0, 3), upserts: [] });
    expect(sent(effects)).to.deep.equal([]);
    expect(bench.dissemination.nextWakeAt()).to.be.greaterThan(1_000);
  });

  for (const [known, change, expected] of [
    [1, 2, 'delta'],
    [1, 4, 'versions'],
    [undefined, 2, 'versions'],
  ] as const) {
    it(`to a neighbour at version ${known ?? 'unknown'} for version ${change}: sends ${expected}`, () => {
      const bench = new Bench(1, [NEAR, REMOTE]);
      if (known !== undefined) {
        bench.announce(NEAR, version(known).version);
      }
      bench.announce(REMOTE, version(change).version);
      const values = new Map([...version(change).entries].map(([key, entry]) => [key, entry.json]));
      const answer = { outcome: 'document', number: change, values } as const;
      const effects = bench.dissemination.documents.offer('source', answer, 0);
      expect(sent(effects)).to.deep.equal([`${NEAR.id} ${expected}`]);
    });
  }
});

describe('snapshot chunks', () => {
  const chunks = chunkMessages(4);
  const [first, second] = chunks as [SnapshotChunkMessage, SnapshotChunkMessage];
  const afterFirst = chunks.slice(1);
  const damaged = [...chunks.slice(0, -1), { ...(chunks.at(-1) ?? first), entries: [] }];
  for (const { name, messages, expected } of [
    { name: 'in order', messages: chunks, expected: 4 },
    {
      name: 'with a duplicate',
      messages: [first, second, second, ...chunks.slice(2)],
      expected: 4,
    },
    { name: 'restarted from the first', messages: [first, second, ...chunks], expected: 4 },
    { name: 'without the first', messages: afterFirst, expected: 0 },
    { name: 'with a gap', messages: [first, ...chunks.slice(2)], expected: 0 },
    { name: 'out of order', messages: [second, first, ...chunks.slice(2)], expected: 0 },
    { name: 'that do not match their digest', messages: damaged, expected: 0 },
    {
      name: 'superseded by a delta to the same version',
      messages: [first, deltaMessage(0, 4), ...afterFirst],
      expected: 4,
    },
  ]) {
    it(`${name}: version ${expected} is held`, () => {
      const bench = new Bench(0);
      expect(sent(bench.announce(NEAR, version(4).version))).to.deep.equal([FETCH_NEAR]);
      bench.receive(NEAR, ...messages);
      expect(bench.held).to.equal(expected);
    });
  }

  it('of an older version that arrive late do not affect the current fetch', () => {
    const bench = new Bench(3);
    bench.announce(NEAR, version(4).version);
    bench.receive(NEAR, first, ...chunkMessages(2), ...afterFirst);
    expect(bench.held).to.equal(4);
  });

  it('of a version that was meanwhile adopted from another neighbour are dropped without a penalty', () => {
    const bench = new Bench(0, [NEAR, REMOTE]);
    bench.announce(NEAR, version(4).version);
    bench.receive(NEAR, first);
    bench.receive(REMOTE, deltaMessage(0, 4));
    bench.receive(NEAR, ...afterFirst);
    expect(bench.held).to.equal(4);
    expect(bench.counters.get('ferryspool_snapshot_chunks_dropped_total')).to.equal(
      afterFirst.length,
    );
    expect(bench.dissemination.nextWakeAt()).to.equal(Infinity);
  });

  it('that were not requested are dropped', () => {
    const bench = new Bench(0);
    bench.receive(NEAR, ...chunks);
    expect(bench.held).to.equal(0);
    expect(bench.counters.get('ferryspool_snapshot_chunks_dropped_total')).to.equal(chunks.length);
  });

  it('do not exceed the maximum size', () => {
    expect(chunks.length).to.be.greaterThan(3);
    for (const { entries } of chunks) {
      const bytes = entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
      expect(bytes).to.be.at.most(MAX_CHUNK_BYTES);
    }
  });
});

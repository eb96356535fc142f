import { expect } from 'chai';
import type { ControlEffect } from '../../src/control/control-event.js';
import { Dissemination } from '../../src/dissemination/dissemination.js';
import { FETCH_TIMEOUT_MS } from '../../src/dissemination/document-fetcher.js';
import { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { MAX_CHUNK_BYTES, entryBytes, partsOf } from '../../src/dissemination/document-parts.js';
import { DocumentStore } from '../../src/dissemination/document-store.js';
import {
  CHUNK_INTERVAL_MS,
  MAX_CONCURRENT_TRANSFERS,
} from '../../src/dissemination/snapshot-server.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { VersionedDocument } from '../../src/model/document.js';
import { NO_VERSION, type DocumentVersion } from '../../src/model/version.js';
import type {
  DeltaMessage,
  HeldVersions,
  PeerMessage,
  SnapshotChunkMessage,
} from '../../src/wire/message.js';
import { MapCounters, identityOf, seededRandom, sourceValues } from '../control/message-pump.js';

const SELF = identityOf(0);
const NEAR = identityOf(1);
const OTHER_ZONE = identityOf(2, 'zone-b');
const REMOTE = identityOf(3, 'zone-c', 'region-2');
const ANNOUNCEMENT_INTERVAL_MS = 4_000;

/** Versions 1 to 4 of one history: 1 to 3 small, 4 with many services. */
const HISTORY = [1, 2, 3, 4].reduce<VersionedDocument[]>((history, number) => {
  const last = history[history.length - 1] ?? VersionedDocument.empty();
  return [...history, last.next(number, sourceValues(number, number === 4 ? 2_000 : 0))];
}, []);

function version(number: number): VersionedDocument {
  const document = HISTORY[number - 1];
  if (document === undefined) {
    throw new Error(`no version ${number}`);
  }
  return document;
}

function versionsOf(source: DocumentVersion): HeldVersions {
  return { source, operator: NO_VERSION, machines: NO_VERSION };
}

function deltaMessage(from: number, to: number): DeltaMessage {
  const delta = version(to).deltaFrom(from === 0 ? NO_VERSION : version(from).version);
  if (delta === undefined) {
    throw new Error('no delta');
  }
  return { type: 'delta', document: 'source', ...delta };
}

function chunkMessages(number: number): SnapshotChunkMessage[] {
  const { chunks } = partsOf(version(number));
  return chunks.map((entries, index) => ({
    type: 'snapshot-chunk',
    document: 'source',
    version: version(number).version,
    index,
    count: chunks.length,
    entries,
  }));
}

/** One node's dissemination with its neighbours played by the test. */
class Bench {
  nowMs = 0;
  readonly counters = new MapCounters();
  readonly store = new DocumentStore(new DocumentMemo(), this.counters);
  readonly dissemination = new Dissemination({
    self: SELF,
    store: this.store,
    random: seededRandom(1),
    counters: this.counters,
    announcementIntervalMs: ANNOUNCEMENT_INTERVAL_MS,
  });

  constructor(held: number, neighbours: readonly PeerIdentity[] = [NEAR]) {
    if (held > 0) {
      this.store.adopt('source', version(held));
    }
    for (const peer of neighbours) {
      this.dissemination.addNeighbour(peer, this.nowMs, []);
    }
  }

  get held(): number {
    return this.store.held('source').version.number;
  }

  receive(from: PeerIdentity, ...messages: readonly PeerMessage[]): ControlEffect[] {
    const effects: ControlEffect[] = [];
    for (const message of messages) {
      this.dissemination.handleMessage(from.id, message, this.nowMs, effects);
    }
    return effects;
  }

  announce(from: PeerIdentity, held: DocumentVersion): ControlEffect[] {
    return this.receive(from, { type: 'versions', versions: versionsOf(held) });
  }

  wakeAfter(byMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    this.nowMs += byMs;
    this.dissemination.wake(this.nowMs, effects);
    return effects;
  }
}

/** Sent messages as `to type`, in order. */
function sent(effects: readonly ControlEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.type === 'send' ? [`${effect.to} ${effect.message.type}`] : [],
  );
}

function fetchIn(effects: readonly ControlEffect[]): DocumentVersion | undefined {
  for (const effect of effects) {
    if (effect.type === 'send' && effect.message.type === 'fetch') {
      return effect.message.have;
    }
  }
  return undefined;
}

const FETCH_NEAR = `${NEAR.id} fetch`;

describe('deltas', () => {
  const damaged = { ...deltaMessage(2, 3), upserts: [] };
  for (const { name, held, messages, expected, fetches } of [
    { name: 'that fit', held: 2, messages: [deltaMessage(2, 3)], expected: 3, fetches: false },
    {
      name: 'twice',
      held: 2,
      messages: [deltaMessage(2, 3), deltaMessage(2, 3)],
      expected: 3,
      fetches: false,
    },
    { name: 'that are late', held: 3, messages: [deltaMessage(1, 2)], expected: 3, fetches: false },
    {
      name: 'that begin earlier',
      held: 2,
      messages: [deltaMessage(1, 3)],
      expected: 3,
      fetches: false,
    },
    {
      name: 'in the wrong order',
      held: 1,
      messages: [deltaMessage(2, 3), deltaMessage(1, 2)],
      expected: 2,
      fetches: true,
    },
    {
      name: 'with a gap before them',
      held: 1,
      messages: [deltaMessage(2, 3)],
      expected: 1,
      fetches: true,
    },
    { name: 'of another digest', held: 2, messages: [damaged], expected: 2, fetches: true },
    {
      name: 'for a node that holds nothing',
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

  it('that do not apply lead to a fetch of the whole document', () => {
    const bench = new Bench(2);
    bench.announce(NEAR, version(2).version);
    expect(fetchIn(bench.receive(NEAR, damaged))).to.deep.equal(NO_VERSION);
    expect(bench.counters.get('ferryspool_delta_mismatches_total')).to.equal(1);
  });

  it('from nothing replace a document of another history under the same number', () => {
    const bench = new Bench(0);
    const values = new Map([...sourceValues(9), ...sourceValues(8, 1)]);
    bench.store.adopt('source', VersionedDocument.fromValues(2, values));
    bench.announce(NEAR, version(2).version);
    expect(fetchIn(bench.receive(NEAR, deltaMessage(2, 3)))).to.deep.equal(NO_VERSION);
    bench.receive(NEAR, deltaMessage(0, 3));
    expect(bench.store.held('source').version).to.deep.equal(version(3).version);
  });

  it('from nothing hold the entries of a document numbered 0, too', () => {
    const zero = VersionedDocument.fromValues(0, sourceValues(9, 1));
    const next = zero.next(1, sourceValues(10, 1));
    const delta = next.deltaFrom(NO_VERSION);
    expect(delta === undefined ? '' : VersionedDocument.empty().apply(delta).version).to.deep.equal(
      next.version,
    );
  });

  it('from nothing that are damaged are not asked for again at once', () => {
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
    it(`go to a neighbour at version ${known ?? 'unknown'} for ${change}: ${expected}`, () => {
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
  const rest = chunks.slice(1);
  const damaged = [...chunks.slice(0, -1), { ...(chunks.at(-1) ?? first), entries: [] }];
  for (const { name, messages, expected } of [
    { name: 'in order', messages: chunks, expected: 4 },
    { name: 'with one twice', messages: [first, second, second, ...chunks.slice(2)], expected: 4 },
    { name: 'begun anew', messages: [first, second, ...chunks], expected: 4 },
    { name: 'without the first', messages: rest, expected: 0 },
    { name: 'with a gap', messages: [first, ...chunks.slice(2)], expected: 0 },
    { name: 'out of order', messages: [second, first, ...chunks.slice(2)], expected: 0 },
    { name: 'of another digest', messages: damaged, expected: 0 },
    {
      name: 'overtaken by a newer version',
      messages: [first, deltaMessage(0, 4), ...rest],
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

  it('of an older version, late, do not disturb the ones that are awaited', () => {
    const bench = new Bench(3);
    bench.announce(NEAR, version(4).version);
    bench.receive(NEAR, first, ...chunkMessages(2), ...rest);
    expect(bench.held).to.equal(4);
  });

  it('of a version that came from elsewhere meanwhile are dropped, and blame nobody', () => {
    const bench = new Bench(0, [NEAR, REMOTE]);
    bench.announce(NEAR, version(4).version);
    bench.receive(NEAR, first);
    bench.receive(REMOTE, deltaMessage(0, 4));
    bench.receive(NEAR, ...rest);
    expect(bench.held).to.equal(4);
    expect(bench.counters.get('ferryspool_snapshot_chunks_dropped_total')).to.equal(rest.length);
    expect(bench.dissemination.nextWakeAt()).to.equal(Infinity);
  });

  it('that nobody asked for are dropped', () => {
    const bench = new Bench(0);
    bench.receive(NEAR, ...chunks);
    expect(bench.held).to.equal(0);
    expect(bench.counters.get('ferryspool_snapshot_chunks_dropped_total')).to.equal(chunks.length);
  });

  it('stay below their bound', () => {
    expect(chunks.length).to.be.greaterThan(3);
    for (const { entries } of chunks) {
      const bytes = entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
      expect(bytes).to.be.at.most(MAX_CHUNK_BYTES);
    }
  });
});

describe('fetches', () => {
  it('go to one neighbour at a time, the nearest first', () => {
    const bench = new Bench(0, [REMOTE, OTHER_ZONE, NEAR]);
    expect(sent(bench.announce(REMOTE, version(4).version))).to.deep.equal([]);
    expect(sent(bench.announce(OTHER_ZONE, version(4).version))).to.deep.equal([]);
    expect(sent(bench.announce(NEAR, version(4).version))).to.deep.equal([FETCH_NEAR]);
    expect(sent(bench.wakeAfter(1_000))).to.deep.equal([]);
  });

  it('go to a far neighbour when no nearer one has the version in time', () => {
    const bench = new Bench(0, [REMOTE, NEAR]);
    bench.announce(REMOTE, version(4).version);
    expect(sent(bench.wakeAfter(300))).to.deep.equal([`${REMOTE.id} fetch`]);
  });

  for (const [name, fail] of [
    ['a timeout', (bench: Bench) => bench.wakeAfter(FETCH_TIMEOUT_MS)],
    [
      'a refusal',
      (bench: Bench) =>
        bench.receive(NEAR, { type: 'fetch-refused', document: 'source', retryAfterMs: 400 }),
    ],
    [
      'the loss of the neighbour',
      (bench: Bench) => {
        const effects: ControlEffect[] = [];
        bench.dissemination.removeNeighbour(NEAR.id, bench.nowMs, effects);
        return effects;
      },
    ],
  ] as const) {
    it(`turn to the next neighbour after ${name}`, () => {
      const bench = new Bench(0, [NEAR, OTHER_ZONE]);
      bench.announce(NEAR, version(4).version);
      bench.announce(OTHER_ZONE, version(4).version);
      const effects = [...fail(bench), ...bench.wakeAfter(100)];
      expect(sent(effects)).to.deep.equal([`${OTHER_ZONE.id} fetch`]);
    });
  }

  it('come back to the only neighbour after its refusal has passed', () => {
    const bench = new Bench(0);
    bench.announce(NEAR, version(4).version);
    bench.receive(NEAR, { type: 'fetch-refused', document: 'source', retryAfterMs: 400 });
    expect(bench.dissemination.nextWakeAt()).to.equal(400);
    expect(sent(bench.wakeAfter(400))).to.deep.equal([FETCH_NEAR]);
  });

  for (const [have, expected] of [
    [version(3).version, 'snapshot-chunk'],
    [version(2).version, 'snapshot-chunk'],
    [version(4).version, 'versions'],
    [NO_VERSION, 'snapshot-chunk'],
  ] as const) {
    it(`from version ${have.number} are answered by ${expected}`, () => {
      const effects = new Bench(4).receive(NEAR, { type: 'fetch', document: 'source', have });
      expect(sent(effects)).to.deep.equal([`${NEAR.id} ${expected}`]);
    });
  }

  it('are answered by a delta where that is smaller', () => {
    const fetch = { type: 'fetch', document: 'source', have: version(2).version } as const;
    expect(sent(new Bench(3).receive(NEAR, fetch))).to.deep.equal([`${NEAR.id} delta`]);
  });

  it('beyond the bound on transfers are refused, until one has ended', () => {
    const bench = new Bench(4);
    const fetch = { type: 'fetch', document: 'source', have: NO_VERSION } as const;
    const peers = Array.from({ length: MAX_CONCURRENT_TRANSFERS + 1 }, (_, n) =>
      identityOf(10 + n),
    );
    const answers = peers.flatMap((peer) => sent(bench.receive(peer, fetch)));
    expect(answers.filter((one) => one.endsWith('snapshot-chunk'))).to.have.length(
      MAX_CONCURRENT_TRANSFERS,
    );
    expect(answers.at(-1)).to.match(/fetch-refused$/);
    let chunks = 0;
    for (let count = 0; count <= chunkMessages(4).length; count += 1) {
      chunks += sent(bench.wakeAfter(CHUNK_INTERVAL_MS)).length;
    }
    expect(chunks).to.equal(MAX_CONCURRENT_TRANSFERS * (chunkMessages(4).length - 1));
    expect(bench.dissemination.nextWakeAt()).to.equal(Infinity);
    expect(sent(bench.receive(NEAR, fetch))).to.deep.equal([`${NEAR.id} snapshot-chunk`]);
  });
});

describe('anti-entropy', () => {
  const other = { type: 'heartbeat', versionsDigest: 'f'.repeat(16) } as const;

  it('announces versions when another digest lasts, and not too often', () => {
    const bench = new Bench(1);
    bench.nowMs = ANNOUNCEMENT_INTERVAL_MS;
    const answers = [1, 2, 3, 4].map(() => sent(bench.receive(NEAR, other)).length);
    expect(answers).to.deep.equal([0, 1, 0, 0]);
    bench.nowMs += ANNOUNCEMENT_INTERVAL_MS;
    expect(sent(bench.receive(NEAR, other))).to.deep.equal([`${NEAR.id} versions`]);
  });

  it('says nothing while digests agree', () => {
    const bench = new Bench(1);
    bench.nowMs = ANNOUNCEMENT_INTERVAL_MS;
    const same = bench.dissemination.heartbeatMessage();
    expect(sent(bench.receive(NEAR, other, same, other, same))).to.deep.equal([]);
  });

  it('helps a neighbour along that is behind, without an endless exchange', () => {
    const bench = new Bench(3);
    expect(sent(bench.announce(NEAR, version(2).version))).to.deep.equal([`${NEAR.id} delta`]);
    expect(sent(bench.announce(REMOTE, version(2).version))).to.deep.equal([]);
  });
});

describe('rejections', () => {
  const bad = VersionedDocument.fromValues(2, new Map([['service/tiles', '{']]));
  const badAnswer = {
    outcome: 'document',
    number: 2,
    values: new Map([['service/tiles', '{']]),
  } as const;

  it('are told once to every neighbour and to new ones', () => {
    const bench = new Bench(1, [NEAR, REMOTE]);
    const { documents } = bench.dissemination;
    expect(sent(documents.offer('source', badAnswer, 0))).to.deep.equal([
      `${NEAR.id} rejection`,
      `${REMOTE.id} rejection`,
    ]);
    expect(sent(documents.offer('source', badAnswer, 0))).to.deep.equal([]);
    const effects: ControlEffect[] = [];
    bench.dissemination.addNeighbour(OTHER_ZONE, 0, effects);
    expect(sent(effects)).to.include(`${OTHER_ZONE.id} rejection`);
  });

  it('are passed on once, and end with a newer version', () => {
    const bench = new Bench(1, [NEAR, REMOTE]);
    const rejection = { type: 'rejection', version: bad.version, reason: 'dangling' } as const;
    expect(sent(bench.receive(NEAR, rejection, rejection))).to.deep.equal([
      `${REMOTE.id} rejection`,
    ]);
    expect(bench.dissemination.rejectedSource()?.reason).to.equal('dangling');
    bench.receive(NEAR, deltaMessage(1, 3));
    expect(bench.dissemination.rejectedSource()).to.equal(undefined);
    expect(sent(bench.receive(REMOTE, { ...rejection, reason: 'late' }))).to.deep.equal([]);
  });

  it('of versions that are overtaken already are not passed on', () => {
    const bench = new Bench(3, [NEAR, REMOTE]);
    const rejection = { type: 'rejection', version: bad.version, reason: 'dangling' } as const;
    expect(sent(bench.receive(NEAR, rejection))).to.deep.equal([]);
    expect(bench.dissemination.rejectedSource()).to.equal(undefined);
  });

  it('keep the version from being fetched', () => {
    const bench = new Bench(1);
    bench.dissemination.documents.offer('source', badAnswer, 0);
    expect(sent(bench.announce(NEAR, bad.version))).to.deep.equal([]);
    expect(bench.held).to.equal(1);
  });
});

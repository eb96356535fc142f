import { expect } from 'chai';
import type { ControlEffect } from '../../src/control/control-event.js';
import { FETCH_TIMEOUT_MS } from '../../src/dissemination/document-fetcher.js';
import {
  CHUNK_INTERVAL_MS,
  MAX_CONCURRENT_TRANSFERS,
} from '../../src/dissemination/snapshot-server.js';
import { VersionedDocument } from '../../src/model/document.js';
import { NO_VERSION } from '../../src/model/version.js';
import { identityOf } from '../control/control-fixtures.js';
import {
  NEAR,
  OTHER_ZONE,
  REMOTE,
  ANNOUNCEMENT_INTERVAL_MS,
  version,
  deltaMessage,
  chunkMessages,
  Bench,
  sent,
  FETCH_NEAR,
} from './dissemination-bench.js';

describe('fetches', () => {
  it('are sent to one neighbour at a time, the nearest first', () => {
    const alsoNear = identityOf(9);
    const bench = new Bench(0, [REMOTE, OTHER_ZONE, NEAR, alsoNear]);
    expect(sent(bench.announce(REMOTE, version(4).version))).to.deep.equal([]);
    expect(sent(bench.announce(OTHER_ZONE, version(4).version))).to.deep.equal([]);
    expect(sent(bench.announce(NEAR, version(4).version))).to.deep.equal([FETCH_NEAR]);
    expect(sent(bench.announce(alsoNear, version(4).version))).to.deep.equal([]);
    expect(sent(bench.wakeAfter(1_000))).to.deep.equal([]);
  });

  it('are sent to a remote neighbour if no nearer one announces the version in time', () => {
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
      'the removal of the neighbour',
      (bench: Bench) => {
        const effects: ControlEffect[] = [];
        bench.dissemination.removeNeighbour(NEAR.id, bench.nowMs, effects);
        return effects;
      },
    ],
  ] as const) {
    it(`are sent to the next neighbour after ${name}`, () => {
      const bench = new Bench(0, [NEAR, OTHER_ZONE]);
      bench.announce(NEAR, version(4).version);
      bench.announce(OTHER_ZONE, version(4).version);
      const effects = [...fail(bench), ...bench.wakeAfter(100)];
      expect(sent(effects)).to.deep.equal([`${OTHER_ZONE.id} fetch`]);
    });
  }

  it('are retried with the only neighbour after its retry delay', () => {
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
    it(`from version ${have.number} are answered with ${expected}`, () => {
      const effects = new Bench(4).receive(NEAR, { type: 'fetch', document: 'source', have });
      expect(sent(effects)).to.deep.equal([`${NEAR.id} ${expected}`]);
    });
  }

  it('are answered with a delta if it is smaller', () => {
    const fetch = { type: 'fetch', document: 'source', have: version(2).version } as const;
    expect(sent(new Bench(3).receive(NEAR, fetch))).to.deep.equal([`${NEAR.id} delta`]);
  });

  it('beyond the maximum number of transfers are refused until one has ended', () => {
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

  it('announces versions when a digest difference persists, at most once per interval', () => {
    const bench = new Bench(1);
    bench.nowMs = ANNOUNCEMENT_INTERVAL_MS;
    const answers = [1, 2, 3, 4].map(() => sent(bench.receive(NEAR, other)).length);
    expect(answers).to.deep.equal([0, 1, 0, 0]);
    bench.nowMs += ANNOUNCEMENT_INTERVAL_MS;
    expect(sent(bench.receive(NEAR, other))).to.deep.equal([`${NEAR.id} versions`]);
  });

  it('sends nothing while no digest difference persists', () => {
    const bench = new Bench(1);
    bench.nowMs = ANNOUNCEMENT_INTERVAL_MS;
    const same = bench.dissemination.heartbeatMessage();
    expect(sent(bench.receive(NEAR, other, same, other, same))).to.deep.equal([]);
  });

  it('pushes a delta to a neighbour with an older version, but not to a peer that is no neighbour', () => {
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

  it('are sent once to every neighbour and to new neighbours', () => {
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

  it('are propagated once, and cleared by a newer version', () => {
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

  it('of versions that are already superseded are not propagated', () => {
    const bench = new Bench(3, [NEAR, REMOTE]);
    const rejection = { type: 'rejection', version: bad.version, reason: 'dangling' } as const;
    expect(sent(bench.receive(NEAR, rejection))).to.deep.equal([]);
    expect(bench.dissemination.rejectedSource()).to.equal(undefined);
  });

  it('prevent the version from being fetched', () => {
    const bench = new Bench(1);
    bench.dissemination.documents.offer('source', badAnswer, 0);
    expect(sent(bench.announce(NEAR, bad.version))).to.deep.equal([]);
    expect(bench.held).to.equal(1);
  });
});

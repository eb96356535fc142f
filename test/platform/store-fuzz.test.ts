/**
 * Whatever stands in the store and whatever it answers: no call rejects, nothing throws, each entry that is
 * taken holds what the product expects of an endpoint, and the valid entries around it are always used, at
 * nodes that read the store and at nodes that are told by their feeds.
 */
import http, { type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { createRecordReader } from '../../platform/records.js';
import {
  createAnswerReader,
  readListPage,
  readWatchBatch,
  type StoreAnswerReader,
} from '../../platform/store-answers.js';
import { arriveInPieces } from './answer-pieces.js';
import { StoreClient } from '../../platform/store-client.js';
import { InvalidConfigurationError } from '../../src/model/configuration-error.js';
import { endpointSpecSchema } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import { feedDeltaSince, resolveFeedDelta } from '../../src/peers/feed-delta.js';
import { decodeFeedMessage, encodeFeedMessage } from '../../src/peers/feed-message.js';
import { encodeDelta } from '../../src/peers/delta-codec.js';
import type { StoreRecord } from '../../src/store/configuration-record.js';
import { InvalidItemError } from '../../src/store/item-fault.js';
import type { StoreChange } from '../../src/store/key-value-store.js';
import { SnapshotBuilder } from '../../src/store/snapshot-builder.js';
import { StoreReplica } from '../../src/store/store-replica.js';
import { changedItem, foreignBytes } from './foreign-values.js';
import { platformConfiguration } from './fixtures.js';

const SEED = 20_261_203;
const RUNS = 2_000;
const WIRE_RUNS = 150;
const HOST = '127.0.0.1';
const CONFIGURATION = platformConfiguration('0000001c');
const GOOD_COUNT = 3;
const FRESHNESS = { ageMs: 1, reader: HOST, confirmation: 1 };
const readRecord = createRecordReader({ retryBudgetPercent: 20, regionOfZone: () => 'r1' });

/** An item as the store writes it in its answers. */
interface RawItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

function entry(address: string): unknown {
  return {
    address,
    info: { service: 'a', version: 'v1', zone: 'z1', slots: 9 },
    status: { state: 'ready', sequence: 4, coldRemainingS: 0 },
  };
}

/** Entries that are changed name this address, so that one which stays valid takes none of the others'. */
const FOREIGN_ENTRY = entry('10.9.9.9:80');

function rawItem(key: string, revision: number, value: unknown): RawItem {
  const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
  return { key, revision, value: bytes.toString('base64') };
}

function goodItems(): RawItem[] {
  const entries = Array.from({ length: GOOD_COUNT }, (_, index) =>
    rawItem(`servers/good${index}`, index + 2, entry(`10.1.0.${index + 1}:80`)),
  );
  return [rawItem('op/config', 1, CONFIGURATION), ...entries];
}

const foreignKey = fc.oneof(
  fc.constantFrom(
    'servers/\uD800',
    'servers/x',
    'servers/y',
    'servers/',
    'other',
    '__proto__',
    'op/config2',
  ),
  fc.string({ unit: 'binary', maxLength: 20 }),
  fc.string({ unit: 'grapheme', maxLength: 20 }).map((text) => `servers/x${text}`),
);

/** An item of another writer, or what is no item at all. */
const foreignItem: fc.Arbitrary<unknown> = fc.oneof(
  { arbitrary: fc.jsonValue(), weight: 1 },
  {
    arbitrary: changedItem(rawItem('servers/x', 9, FOREIGN_ENTRY)),
    weight: 1,
  },
  {
    arbitrary: fc
      .tuple(foreignKey, fc.integer({ min: 0, max: 60 }), foreignBytes([FOREIGN_ENTRY]))
      .map(([key, revision, bytes]) => rawItem(key, revision, bytes)),
    weight: 4,
  },
);

function expectTyped(record: StoreRecord): void {
  if (record.kind === 'endpoint') {
    const { spec } = record.endpoint;
    expect(endpointSpecSchema.safeParse({ ...spec, service: 's', zone: 'z' }).error).to.equal(
      undefined,
    );
    expect([typeof spec.service, typeof spec.zone]).to.deep.equal(['string', 'string']);
    expect(record.endpoint.name).to.match(/^[\x21-\x7e]+$/);
  } else if (record.kind === 'configuration') {
    expect(Number.isSafeInteger(record.number)).to.equal(true);
    try {
      buildSnapshot(NO_SNAPSHOT_VERSION, record.resources, record.callerLimits);
    } catch (error) {
      expect(error).to.be.instanceOf(InvalidConfigurationError);
    }
  } else if (record.kind === 'evacuation') {
    expect(record.zone).to.match(/^[\x21-\x2e\x30-\x7e]+$/);
  } else if (record.fault !== undefined) {
    expect(JSON.stringify(record.fault).length).to.be.below(600);
  }
}

/** Checks that an endpoint says what its entry says, and that the entry says all that one has to. */
function expectSaid(record: StoreRecord, text: string): void {
  if (record.kind !== 'endpoint') {
    return;
  }
  const { spec } = record.endpoint;
  const { address, info, status, born } = JSON.parse(text) as {
    readonly address: unknown;
    readonly info: Record<string, unknown>;
    readonly status: Record<string, unknown>;
    readonly born?: unknown;
  };
  expect(`${spec.address}:${spec.port}`).to.equal(address);
  const { service, zone, slots } = spec;
  expect(info).to.deep.include({ service, zone, slots });
  expect(info.version).to.be.a('string');
  const { state, sequence, coldRemainingS } = status;
  expect(state).to.equal(spec.state === 'active' ? 'ready' : 'draining');
  expect(Number.isSafeInteger(sequence)).to.equal(true);
  expect(coldRemainingS).to.be.a('number');
  expect(born === undefined || Number.isSafeInteger(born)).to.equal(true);
}

function expectChanges(changes: readonly StoreChange[]): void {
  for (const { key, revision, value } of changes) {
    expect(key).to.be.a('string').and.not.empty;
    expect(Number.isSafeInteger(revision)).to.equal(true);
    expect(value === undefined || typeof value === 'string').to.equal(true);
  }
}

/** What `read` makes of an answer; undefined when it refuses it in the way that is meant. */
function readOrRefuse<T>(read: (reader: StoreAnswerReader) => T, body: string): T | undefined {
  try {
    return read(readerOf(body));
  } catch (error) {
    expect(error).to.be.instanceOf(InvalidItemError);
    return undefined;
  }
}

/** A reader that has read `body`, which arrived in pieces. */
function readerOf(body: string): StoreAnswerReader {
  const reader = createAnswerReader();
  arriveInPieces(reader, body);
  return reader;
}

function replicaOf(items: readonly unknown[], at: number): StoreReplica {
  const replica = new StoreReplica();
  const { items: changes } = readListPage(readerOf(JSON.stringify({ at, items })));
  replica.applyList(changes, at);
  return replica;
}

/** A replica that is told of the other one by a line of its feed. */
function followerOf(replica: StoreReplica): StoreReplica {
  const follower = new StoreReplica();
  const delta = feedDeltaSince(replica, 0);
  const message = decodeFeedMessage(encodeFeedMessage(FRESHNESS, encodeDelta(delta)).trimEnd());
  const told = message?.delta && resolveFeedDelta(follower, message.delta);
  if (told === undefined) {
    throw new Error('the feed can not be read');
  }
  follower.applyDelta(told);
  return follower;
}

function snapshotOf(replica: StoreReplica): Snapshot | undefined {
  return new SnapshotBuilder(readRecord).build(replica.items()).snapshot;
}

function endpointNames(snapshot: Snapshot | undefined): string[] {
  return (snapshot?.endpointsByService.get('a') ?? []).map(({ name }) => name);
}

describe('whatever stands in the store', () => {
  it('is refused, or is an endpoint or a configuration in all that it says', () => {
    const key = fc.oneof(fc.constantFrom('op/config', 'servers/x'), foreignKey);
    const bytes = foreignBytes([FOREIGN_ENTRY, CONFIGURATION]);
    const property = fc.property(key, bytes, (itemKey, value) => {
      expectTyped(readRecord(itemKey, value.toString('utf8')));
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('is an endpoint only where it says all that an entry has to, with nothing added', () => {
    const born = 1_700_000_000_000;
    const valid = { ...(FOREIGN_ENTRY as object), born };
    const property = fc.property(changedItem(valid), (item) => {
      const text = JSON.stringify(item) ?? '';
      const record = readRecord('servers/x', text);
      expectTyped(record);
      expectSaid(record, text);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('leaves every valid entry in use, at readers and at followers', () => {
    const property = fc.property(fc.array(foreignItem, { maxLength: 12 }), (foreign) => {
      const [first, ...others] = goodItems();
      const replica = replicaOf([first, ...foreign, ...others], 50);
      for (const snapshot of [snapshotOf(replica), snapshotOf(followerOf(replica))]) {
        expect(snapshot?.version.source.number).to.equal(0x1c);
        expect(endpointNames(snapshot)).to.include.members(['good0', 'good1', 'good2']);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('names nobody where it overwrites an entry, and leaves the configuration where it overwrites that', () => {
    const property = fc.property(
      fc.constantFrom('op/config', 'servers/good1'),
      foreignBytes([FOREIGN_ENTRY, CONFIGURATION]),
      (key, bytes) => {
        const replica = replicaOf(goodItems(), 50);
        const builder = new SnapshotBuilder(readRecord);
        builder.build(replica.items());
        const written = rawItem(key, 60, bytes);
        const { changes } = readWatchBatch(readerOf(JSON.stringify({ at: 60, events: [written] })));
        replica.applyChanges(changes, 60);
        const { snapshot } = builder.build(replica.items());
        const record = readRecord(key, replica.changeOf(key)?.value ?? '');
        if (record.kind === 'unused') {
          const expected = key === 'op/config' ? ['good0', 'good1', 'good2'] : ['good0', 'good2'];
          expect(endpointNames(snapshot)).to.have.members(expected);
        }
        expect(snapshot?.version.source.number).to.be.at.least(0x1c);
      },
    );
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});

describe('whatever the store answers', () => {
  const answer = { at: 50, hasMore: true, items: goodItems(), events: goodItems() };
  const body = fc.oneof(
    fc.json(),
    fc.string({ unit: 'binary' }),
    changedItem(answer).map((value) => JSON.stringify(value) ?? ''),
    fc
      .array(foreignItem, { maxLength: 5 })
      .map((items) => JSON.stringify({ ...answer, items, events: items })),
  );

  it('is refused whole, or gives items with key, revision and text', () => {
    const property = fc.property(body, (text) => {
      expectChanges(readOrRefuse(readListPage, text)?.items ?? []);
      expectChanges(readOrRefuse(readWatchBatch, text)?.changes ?? []);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  describe('over a connection', () => {
    let respond: (response: ServerResponse) => void;
    let server: http.Server;
    let client: StoreClient;

    beforeEach(async () => {
      server = http.createServer((_request, response) => respond(response));
      server.listen(0, HOST);
      await once(server, 'listening');
      client = new StoreClient({ address: HOST, port: (server.address() as AddressInfo).port });
    });

    afterEach(() => {
      client.close();
      server.close();
      server.closeAllConnections();
    });

    /** A whole answer with a foreign body, or bytes on the connection that are no answer, or more than one. */
    const response: fc.Arbitrary<(response: ServerResponse) => void> = fc.oneof(
      fc.tuple(fc.constantFrom(200, 200, 200, 204, 304, 410, 429, 503), body).map(
        ([status, text]) =>
          (response: ServerResponse) =>
            void response.writeHead(status).end(text),
      ),
      fc.tuple(fc.uint8Array({ maxLength: 40 }), fc.boolean()).map(([bytes, isBehind]) => {
        const start = isBehind ? 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}' : '';
        return (response: ServerResponse) => {
          response.socket?.write(start);
          response.socket?.end(bytes);
        };
      }),
    );

    it('is an answer or none, and the next one counts', async () => {
      const property = fc.asyncProperty(response, fc.boolean(), async (foreign, isList) => {
        const call = (afterKey?: string) =>
          isList ? client.list(afterKey, 'current') : client.watch(1, 1, 'current');
        respond = foreign;
        const first = await call();
        expect(first.outcome).to.be.oneOf(['page', 'changes', 'history-lost', 'unavailable']);
        const lastKey = first.outcome === 'page' ? first.lastKey : undefined;
        respond = (good) => good.end(JSON.stringify(answer));
        // The connection may have been lost with what was on it.
        const outcomes = [(await call(lastKey)).outcome, (await call(lastKey)).outcome];
        expect(outcomes).to.include(isList ? 'page' : 'changes');
      });
      await fc.assert(property, { seed: SEED, numRuns: WIRE_RUNS });
    }).timeout(60_000);
  });
});

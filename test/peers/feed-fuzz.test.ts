/**
 * Fuzzes the messages of a peer's feed. A line is accepted only if all its fields are valid, and accepted
 * deltas are applied to the replica without errors.
 */
import http, { type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { deflateSync } from 'node:zlib';
import { expect } from 'chai';
import fc from 'fast-check';
import { FeedClient } from '../../src/peers/feed-client.js';
import { resolveFeedDelta } from '../../src/peers/feed-delta.js';
import { decodeDelta, decodeFeedMessage } from '../../src/peers/feed-message.js';
import { StoreReplica, type ReplicaDelta } from '../../src/store/store-replica.js';
import { changedItem } from '../platform/foreign-values.js';

const SEED = 20_261_203;
const RUNS = 4_000;
const WIRE_RUNS = 100;
const HOST = '127.0.0.1';

const MESSAGE = {
  ageMs: 5,
  reader: '10.0.0.1',
  confirmation: 7,
  delta: {
    sinceRevision: 2,
    revision: 4,
    changes: [
      { key: 'a', revision: 3, value: 'new' },
      { key: 'b', revision: 4 },
      { key: 'c', revision: 4, baseRevision: 2, patch: [[0, 2], 'x', [1, 3]] },
    ],
  },
};

/** A deflated delta, intact or with one byte changed. */
const deflated = fc
  .tuple(changedItem(MESSAGE.delta), fc.option(fc.tuple(fc.nat(200), fc.nat(255))))
  .map(([value, change]) => {
    const bytes = deflateSync(JSON.stringify(value) ?? '');
    if (change !== null) {
      const [offset, byte] = change;
      bytes[offset % bytes.length] = byte;
    }
    return { deflated: bytes.toString('base64') };
  });

/** A line without its newline. */
const line = fc
  .oneof(
    deflated.map((delta) => JSON.stringify({ ...MESSAGE, delta })),
    deflated.map((delta) => JSON.stringify(delta)),
    fc.json(),
    fc.string({ unit: 'binary' }),
    changedItem(MESSAGE).map((value) => JSON.stringify(value) ?? ''),
    changedItem(MESSAGE.delta).map((value) => JSON.stringify(value) ?? ''),
  )
  .map((text) => text.replaceAll('\n', ' '));

function replica(): StoreReplica {
  const held = new StoreReplica();
  const changes = ['a', 'b', 'c'].map((key) => ({ key, revision: 2, value: `old ${key}` }));
  held.applyChanges(changes, 2);
  return held;
}

function applyAndCheck(delta: ReplicaDelta | undefined, held: StoreReplica): void {
  if (delta !== undefined) {
    held.applyDelta(delta);
  }
  expect(Number.isSafeInteger(held.revision)).to.equal(true);
  for (const { key, revision, value } of held.items()) {
    expect(key).to.be.a('string').and.not.empty;
    expect(Number.isSafeInteger(revision)).to.equal(true);
    expect(value).to.be.a('string');
  }
}

describe('feed messages under fuzzing', () => {
  it('are decoded with valid fields or refused', () => {
    const property = fc.property(line, (text) => {
      const message = decodeFeedMessage(text);
      if (message !== undefined) {
        expect(message.ageMs).to.be.within(0, 3_600_000);
        expect(message.reader).to.be.a('string').and.not.empty;
        expect(Number.isSafeInteger(message.confirmation)).to.equal(true);
      }
      const held = replica();
      applyAndCheck(message?.delta && resolveFeedDelta(held, message.delta), held);
      const bare = replica();
      const delta = decodeDelta(text);
      applyAndCheck(delta && resolveFeedDelta(bare, delta), bare);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('are decoded if they are unchanged', () => {
    const held = replica();
    const message = decodeFeedMessage(JSON.stringify(MESSAGE));
    applyAndCheck(message?.delta && resolveFeedDelta(held, message.delta), held);
    const values = [...held.items()].map(({ key, value }) => [key, value]);
    expect(values).to.deep.equal([
      ['a', 'new'],
      ['c', 'olxld'],
    ]);
  });

  it('end the feed if they are malformed', async () => {
    let respond: (response: ServerResponse) => void = () => undefined;
    const server = http.createServer((_request, response) => respond(response));
    server.listen(0, HOST);
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const bytes = fc.oneof(
      fc.uint8Array({ maxLength: 40 }).map((some) => Buffer.from(some)),
      line.map((text) => Buffer.from(`${text}\n`)),
    );
    const property = fc.asyncProperty(bytes, fc.boolean(), async (sentBytes, isBare) => {
      let messageCount = 0;
      respond = (response) => {
        if (isBare) {
          response.socket?.end(sentBytes);
        } else {
          response.end(sentBytes);
        }
      };
      await new Promise<void>((resolve) => {
        const client = new FeedClient({
          port,
          onMessage: () => (messageCount += 1),
          onProgress: () => undefined,
          onEnd: () => resolve(),
        });
        client.open(HOST, 1);
      });
      const lines = sentBytes.toString('utf8').split('\n').slice(0, -1);
      const messages = lines.filter((one) => decodeFeedMessage(one) !== undefined);
      expect(messageCount).to.be.at.most(messages.length);
    });
    await fc.assert(property, { seed: SEED, numRuns: WIRE_RUNS });
    server.close();
    server.closeAllConnections();
  }).timeout(30_000);
});

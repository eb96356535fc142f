/**
 * Answers of the store that are none, and items in them that another writer made or that are no items.
 *
 * An answer whose `items` were no list made the call reject, which ended the process; an item without a key
 * or a revision, or whose value was no text, was taken as it was and told to the nodes that follow.
 */
import http from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { StoreClient } from '../../platform/store-client.js';

const HOST = '127.0.0.1';
/** An item that is as it should be, between those that are not. */
const GOOD = { key: 'servers/good', revision: 3, value: base64('{}') };
/** What stands for a value that is no text. */
const NO_TEXT = '\uFFFD';

function base64(text: string): string {
  return Buffer.from(text).toString('base64');
}

describe('answers of the store that are not valid', () => {
  let body: string | Buffer = '';
  let server: http.Server;
  let client: StoreClient;

  beforeEach(async () => {
    server = http.createServer((_request, response) => response.end(body));
    server.listen(0, HOST);
    await once(server, 'listening');
    client = new StoreClient({ address: HOST, port: (server.address() as AddressInfo).port });
  });

  afterEach(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });

  /** What the client makes of a list and of a watch with these items. */
  async function answersWith(items: readonly unknown[]): Promise<unknown[]> {
    body = JSON.stringify({ at: 9, hasMore: false, items, events: items });
    return [await client.list(undefined, 'current'), await client.watch(1, 10, 'current')];
  }

  const foreign = [
    '',
    'null',
    '7',
    '"at"',
    '[]',
    '{}',
    '{"at":"9","items":[],"events":[]}',
    '{"at":1.5,"items":[],"events":[]}',
    '{"at":-1,"items":[],"events":[]}',
    '{"at":9,"items":{},"events":{}}',
    '{"at":9,"items":7,"events":7}',
    '{"at":9,"items":"all","events":"all"}',
    '{"at":9,"hasMore":"no","items":[],"events":7}',
    `{"at":9,"items":${'['.repeat(100_000)}`,
  ];
  for (const text of foreign) {
    it(`count as no answer: ${text.slice(0, 60) || 'no bytes'}`, async () => {
      body = text;
      const outcomes = [
        await client.list(undefined, 'current'),
        await client.watch(1, 10, 'current'),
      ];
      expect(outcomes.map(({ outcome }) => outcome)).to.deep.equal(['unavailable', 'unavailable']);
    });
  }

  for (const text of ['{"at":9}', '{"at":9,"items":null,"events":null}']) {
    it(`are no list without items, and a watch without changes: ${text}`, async () => {
      body = text;
      expect((await client.list(undefined, 'current')).outcome).to.equal('unavailable');
      const batch = { outcome: 'changes', changes: [], revision: 9 };
      expect(await client.watch(1, 10, 'current')).to.deep.equal(batch);
    });
  }

  const items: readonly { name: string; item: unknown; path: string; found: string }[] = [
    { name: 'null', item: null, path: '', found: 'null' },
    { name: 'a text', item: 'x', path: '', found: '"x"' },
    { name: 'a list', item: [], path: '', found: 'a list' },
    { name: 'without a key', item: { ...GOOD, key: undefined }, path: 'key', found: 'nothing' },
    { name: 'with a number for a key', item: { ...GOOD, key: 4 }, path: 'key', found: '4' },
    { name: 'with an empty key', item: { ...GOOD, key: '' }, path: 'key', found: '""' },
    {
      name: 'with a key that is no text',
      item: { ...GOOD, key: 'servers/\uD800' },
      path: 'key',
      found: JSON.stringify('servers/\uD800'),
    },
    {
      name: 'without a revision',
      item: { ...GOOD, revision: undefined },
      path: 'revision',
      found: 'nothing',
    },
    {
      name: 'with a text for a revision',
      item: { ...GOOD, revision: '3' },
      path: 'revision',
      found: '"3"',
    },
    {
      name: 'with a part of a revision',
      item: { ...GOOD, revision: 2.5 },
      path: 'revision',
      found: '2.5',
    },
    {
      name: 'with a revision that the store has not reached',
      item: { ...GOOD, revision: 10 },
      path: 'revision',
      found: '10',
    },
  ];
  for (const { name, item, path, found } of items) {
    it(`leave an item out that is ${name}, and hold the others`, async () => {
      const after = { ...GOOD, key: 'servers/z' };
      const [page, batch] = await answersWith([GOOD, item, after]);
      for (const [answer, list] of [
        [page, 'items'],
        [batch, 'changes'],
      ] as const) {
        expect(answer).to.have.property(list).with.length(2);
        expect(answer).to.have.nested.property(`${list}[1].key`, 'servers/z');
        expect(answer).to.have.property('refused').with.length(1);
        expect(answer).to.have.nested.property('refused[0].fault.path', path);
        expect(answer).to.have.nested.property('refused[0].fault.found', found);
      }
    });
  }

  const values: readonly { name: string; value: unknown }[] = [
    {
      name: 'bytes that are no text',
      value: Buffer.from([0x7b, 0xff, 0xfe, 0x7d]).toString('base64'),
    },
    { name: 'a text that is no base64', value: '{"address":1}' },
    { name: 'a number', value: 12 },
    { name: 'nothing', value: undefined },
    { name: 'null', value: null },
    { name: 'more than an entry may have', value: base64('x'.repeat(200_000)) },
  ];
  for (const { name, value } of values) {
    it(`hold an item whose value is ${name} as one that can't be read`, async () => {
      for (const answer of await answersWith([{ ...GOOD, value }])) {
        const [held] = Object.values(answer as object).filter(Array.isArray) as object[][];
        expect(held?.[0]).to.deep.equal({ key: GOOD.key, revision: 3, value: NO_TEXT });
      }
    });
  }

  it('tell where the next page of a list begins, also behind an item that is left out', async () => {
    body = JSON.stringify({ at: 9, hasMore: true, items: [GOOD, { key: 'servers/z' }] });
    expect(await client.list(undefined, 'current')).to.have.property('lastKey', 'servers/z');
  });
});

/**
 * Responses of a peer to a request for changes. Guards against buffering a response that never ends: a string
 * can't hold half a gigabyte, so that the process would end with `Invalid string length` or out of memory.
 */
import http, { type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { fetchDelta } from '../../src/peers/delta-fetch.js';
import { MAX_MESSAGE_LENGTH } from '../../src/peers/feed-message.js';

const HOST = '127.0.0.1';
const CHUNK = ' '.repeat(1024 * 1024);

describe('fetchDelta', () => {
  let answer: (response: ServerResponse) => void;
  let server: http.Server;
  let port: number;

  beforeEach(async () => {
    server = http.createServer((_request, response) => answer(response));
    server.listen(0, HOST);
    await once(server, 'listening');
    ({ port } = server.address() as AddressInfo);
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('returns the decoded changes', async () => {
    const delta = { sinceRevision: 1, revision: 2, changes: [{ key: 'a', revision: 2 }] };
    answer = (response) => response.end(JSON.stringify(delta));
    expect(await fetchDelta(HOST, port, 1)).to.deep.equal(delta);
  });

  for (const text of ['', '[]', '7', '{"sinceRevision":0,"revision":1,"changes":[7]}']) {
    it(`returns undefined for ${text || 'an empty response'}`, async () => {
      answer = (response) => response.end(text);
      expect(await fetchDelta(HOST, port, 1)).to.equal(undefined);
    });
  }

  it('times out if the response does not end', async () => {
    answer = (response) => {
      const timer = setInterval(() => response.write(' '), 100);
      response.on('close', () => clearInterval(timer));
    };
    const startedAtMs = performance.now();
    expect(await fetchDelta(HOST, port, 1)).to.equal(undefined);
    expect(performance.now() - startedAtMs).to.be.below(6_000);
  }).timeout(10_000);

  it('aborts if the response exceeds the maximum message length', async () => {
    let sentLength = 0;
    let isCut = false;
    answer = (response) => {
      const send = (): void => {
        sentLength += CHUNK.length;
        if (!isCut && sentLength < 8 * MAX_MESSAGE_LENGTH) {
          response.write(CHUNK, send);
        }
      };
      response.on('error', () => undefined);
      response.on('close', () => (isCut = true));
      send();
    };
    expect(await fetchDelta(HOST, port, 1)).to.equal(undefined);
    expect(sentLength).to.be.below(4 * MAX_MESSAGE_LENGTH);
  });
});

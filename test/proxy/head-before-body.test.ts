/**
 * The head of a request whose body is still to come goes to its endpoint at once: it tells the time that
 * is left, which runs on while the body is awaited. Held back until the first bytes of the body get their
 * turn on the link, it would promise the endpoint more time than the caller has.
 */
import { once } from 'node:events';
import http, { type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import { ExchangeAgent, startExchange, type Exchange } from '../../src/proxy/http-exchange.js';
import { StreamedBody } from '../../src/proxy/request-body.js';

const HOST = '127.0.0.1';
const BODY = 'x'.repeat(300_000);
const LIMITS = { connectTimeoutMs: 1_000, answerIdleTimeoutMs: 1_000 };

class Source extends PassThrough {
  complete = false;

  finish(body: string): void {
    this.complete = true;
    this.end(body);
  }
}

describe('the head of a request whose body is to come', () => {
  const agent = new ExchangeAgent();
  let server: Server;

  beforeEach(async () => {
    server = http.createServer().listen(0, HOST);
    await once(server, 'listening');
  });

  afterEach(() => {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  });

  function send(body: StreamedBody): Exchange {
    const { port } = server.address() as AddressInfo;
    const headers = ['Host', HOST, 'x-deadline-ms', '5000'];
    return startExchange(
      agent,
      { host: HOST, port, method: 'POST', target: '/', headers, body, limits: LIMITS },
      { answered: () => undefined, failed: () => undefined },
    );
  }

  for (const length of [BODY.length, undefined]) {
    it(`is sent before the body's first bytes, ${length === undefined ? 'chunked' : 'sized'}`, async () => {
      const source = new Source();
      send(new StreamedBody(source, length, [], BODY.length));
      const [request] = (await once(server, 'request')) as [IncomingMessage];
      expect(request.headers['x-deadline-ms']).to.equal('5000');
      let received = '';
      request.on('data', (bytes: Buffer) => {
        received += bytes.toString('latin1');
      });
      source.finish(BODY);
      await once(request, 'end');
      expect(received).to.equal(BODY);
    });
  }
});

import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import type { PlatformAnswer, PlatformDocument } from '../../src/control/control-event.js';
import { MAX_RETRY_AFTER_MS } from '../../src/source/platform-answer.js';
import { PlatformClient, type PlatformClientOptions } from '../../src/source/platform-client.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const MAX_TEST_ANSWER_BYTES = 4_096;
const LONG_TIMEOUT_MS = 30_000;
const service = { kind: 'service', name: 'tiles', spec: {} };
const danglingRoute = {
  kind: 'route',
  name: 'map',
  spec: { pathPrefix: '/', service: 'absent' },
};
const machine = {
  id: 'm1',
  address: '10.0.0.1',
  controlPort: 1,
  relayPort: 2,
  zone: 'a',
  region: 'r',
  seniority: 1,
  state: 'live',
};

/** A deadline that no test reaches. */
function longDeadline(): number {
  return performance.now() + LONG_TIMEOUT_MS;
}

function respondWith(status: number, body: unknown, headers: Record<string, string> = {}): Handler {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  return (_request, response) => response.writeHead(status, headers).end(text);
}

/** A platform server with one request handler that tracks its open connections. */
class TestPlatform {
  openConnections = 0;
  peakConnections = 0;
  requests = 0;
  private constructor(private readonly server: Server) {}

  static async start(handler: Handler): Promise<TestPlatform> {
    const server = createServer(handler);
    const platform = new TestPlatform(server);
    server.on('request', () => (platform.requests += 1));
    server.on('connection', (socket) => {
      platform.openConnections += 1;
      platform.peakConnections = Math.max(platform.peakConnections, platform.openConnections);
      socket.once('close', () => (platform.openConnections -= 1));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return platform;
  }

  client(options: Partial<PlatformClientOptions> = {}): PlatformClient {
    const origin = `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    return new PlatformClient({
      configurationUrl: `${origin}/configuration`,
      machinesUrl: `${origin}/machines`,
      maxAnswerBytes: MAX_TEST_ANSWER_BYTES,
      ...options,
    });
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }
}

interface AnswerCase {
  readonly name: string;
  readonly handler: Handler;
  readonly document?: PlatformDocument;
  readonly known?: number;
  /** Outcome, number (or retry delay), and path of the first fault; undefined where not applicable. */
  readonly expected: readonly unknown[];
}

const UNAVAILABLE = ['unavailable', undefined, undefined];
const cases: readonly AnswerCase[] = [
  {
    name: 'a document',
    handler: respondWith(200, { version: 7, resources: [service] }),
    expected: ['document', 7, undefined],
  },
  {
    name: 'a machine list',
    document: 'machines',
    handler: respondWith(200, { version: 3, machines: [machine] }),
    expected: ['document', 3, undefined],
  },
  {
    name: 'a duplicate machine',
    document: 'machines',
    handler: respondWith(200, { version: 3, machines: [machine, machine] }),
    expected: ['invalid', 3, 'machine/m1'],
  },
  {
    name: 'an invalid machine',
    document: 'machines',
    handler: respondWith(200, { version: 3, machines: [{ ...machine, address: 'host' }] }),
    expected: ['invalid', 3, 'machines.0.address'],
  },
  {
    name: '304',
    known: 4,
    handler: respondWith(304, ''),
    expected: ['not-modified', undefined, undefined],
  },
  { name: '304 to an unconditional read', handler: respondWith(304, ''), expected: UNAVAILABLE },
  {
    name: 'a dangling route',
    handler: respondWith(200, { version: 8, resources: [danglingRoute] }),
    expected: ['invalid', 8, 'route/map'],
  },
  {
    name: 'an unknown key',
    handler: respondWith(200, { version: 8, resources: [], extra: 1 }),
    expected: ['invalid', 8, ''],
  },
  {
    name: 'malformed JSON',
    handler: respondWith(200, '{"version":'),
    expected: ['invalid', 0, 'body'],
  },
  { name: 'JSON null', handler: respondWith(200, 'null'), expected: ['invalid', 0, ''] },
  {
    name: 'an oversized answer',
    handler: respondWith(200, ' '.repeat(MAX_TEST_ANSWER_BYTES + 1)),
    expected: ['invalid', 0, 'body'],
  },
  {
    name: '503 with Retry-After',
    handler: respondWith(503, '', { 'retry-after': '2' }),
    expected: ['unavailable', 2_000, undefined],
  },
  {
    name: '503 with an excessive Retry-After',
    handler: respondWith(503, '', { 'retry-after': '99999999' }),
    expected: ['unavailable', MAX_RETRY_AFTER_MS, undefined],
  },
  {
    name: '503 with a malformed Retry-After',
    handler: respondWith(503, '', { 'retry-after': 'soon' }),
    expected: UNAVAILABLE,
  },
  { name: '500', handler: respondWith(500, 'x'), expected: UNAVAILABLE },
  {
    name: 'a connection reset before the response',
    handler: (r) => r.socket.destroy(),
    expected: UNAVAILABLE,
  },
  {
    name: 'a truncated body',
    handler: (_request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('{"version":1,"resources":[]}');
      setImmediate(() => response.destroy());
    },
    expected: UNAVAILABLE,
  },
  {
    name: 'bytes that are not HTTP',
    handler: (request) => request.socket.end('garbage\r\n\r\n'),
    expected: UNAVAILABLE,
  },
];

function summary(answer: PlatformAnswer): unknown[] {
  switch (answer.outcome) {
    case 'document':
      return [answer.outcome, answer.number, undefined];
    case 'invalid':
      return [answer.outcome, answer.number, answer.faults[0]?.path];
    case 'unavailable':
      return [answer.outcome, answer.retryAfterMs, undefined];
    case 'not-modified':
      return [answer.outcome, undefined, undefined];
  }
}

describe('platform client', () => {
  for (const { name, handler, document, known, expected } of cases) {
    it(`reads ${name}`, async () => {
      const platform = await TestPlatform.start(handler);
      const answer = await platform.client().read(document ?? 'source', known ?? 0, longDeadline());
      expect(summary(answer)).to.deep.equal(expected);
      await platform.stop();
    });
  }

  it('sends conditional requests to the URL of each document', async () => {
    const received: unknown[] = [];
    const platform = await TestPlatform.start((request, response) => {
      received.push([request.url, request.headers['if-none-match']]);
      response.writeHead(304).end();
    });
    const client = platform.client();
    await client.read('source', 12, longDeadline());
    await client.read('machines', 0, longDeadline());
    expect(received).to.deep.equal([
      ['/configuration', '"12"'],
      ['/machines', undefined],
    ]);
    await platform.stop();
  });

  it('never quotes the text of a malformed response', async () => {
    const platform = await TestPlatform.start(respondWith(200, 'hunter2 {'));
    const answer = await platform.client().read('source', 0, longDeadline());
    expect(JSON.stringify(answer)).to.not.contain('hunter2');
    await platform.stop();
  });

  it('opens one connection at a time and keeps none open', async () => {
    const platform = await TestPlatform.start(respondWith(200, { version: 1, resources: [] }));
    const client = platform.client();
    const reads = Array.from({ length: 5 }, () => client.read('source', 0, longDeadline()));
    const answers = await Promise.all(reads);
    expect(answers.map((answer) => answer.outcome)).to.deep.equal(Array(5).fill('document'));
    expect(platform.peakConnections).to.equal(1);
    await platform.stop();
  });

  it('aborts a read at its deadline', async () => {
    const platform = await TestPlatform.start(() => undefined);
    const answer = await platform.client().read('source', 0, performance.now() + 50);
    expect(answer.outcome).to.equal('unavailable');
    await platform.stop();
  });

  it('aborts running and queued reads on close(); later reads still work', async () => {
    let isHanging = true;
    const platform = await TestPlatform.start((request, response) => {
      if (isHanging) {
        client.close();
        return;
      }
      respondWith(200, { version: 1, resources: [] })(request, response);
    });
    const client = platform.client();
    const answers = await Promise.all([
      client.read('source', 0, longDeadline()),
      client.read('machines', 0, longDeadline()),
    ]);
    expect(answers.map((answer) => answer.outcome)).to.deep.equal(['unavailable', 'unavailable']);
    expect(platform.requests).to.equal(1);
    isHanging = false;
    expect((await client.read('source', 0, longDeadline())).outcome).to.equal('document');
    await platform.stop();
  });

  it('sends nothing if the deadline passed while the process was suspended', async () => {
    const platform = await TestPlatform.start(respondWith(200, { version: 1, resources: [] }));
    // The clock jumps after the request was created and before its connection is established.
    const times = [0, 1];
    const client = platform.client({ now: () => times.shift() ?? LONG_TIMEOUT_MS });
    const answer = await client.read('source', 0, LONG_TIMEOUT_MS);
    expect(answer.outcome).to.equal('unavailable');
    expect(platform.requests).to.equal(0);
    await platform.stop();
  });

  it('resolves to unavailable if the platform does not listen', async () => {
    const platform = await TestPlatform.start(respondWith(200, ''));
    const client = platform.client();
    await platform.stop();
    expect((await client.read('source', 0, longDeadline())).outcome).to.equal('unavailable');
  });
});

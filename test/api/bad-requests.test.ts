import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { API_COUNTERS } from '../../src/api/api-counters.js';
import { MAX_URL_LENGTH } from '../../src/api/api-request.js';
import { MAX_HEADER_BYTES, MAX_NON_WATCH_CONNECTIONS } from '../../src/api/listener-limits.js';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import { ADMIN_TOKEN, call, callRaw, openApi, serviceOf, type ApiFixture } from './api-fixture.js';

const MAX_BODY_BYTES = 2_048;
const AUTHORIZED = { authorization: `Bearer ${ADMIN_TOKEN}` };
const CREATE = { ...AUTHORIZED, 'if-none-match': '*' };
const PUT = 'PUT /v1/services/tiles';
const BIG = 'x'.repeat(MAX_BODY_BYTES);
const NESTED = `{"spec":${'['.repeat(900)}${']'.repeat(900)}}`;

/** An invalid request: description, method and path, expected answer, headers and body. */
type BadRequest = readonly [
  description: string,
  line: string,
  answer: string,
  headers?: Record<string, string>,
  body?: string,
];

const BAD_READS: readonly BadRequest[] = [
  ['no token', 'GET /v1/services', '401 TOKEN_REQUIRED', {}],
  ['a basic token', 'GET /v1/services', '401 TOKEN_REQUIRED', { authorization: 'Basic x' }],
  ['a wrong token', 'GET /v1/services', '403 TOKEN_REFUSED', { authorization: 'Bearer x' }],
  ['an unknown path', 'GET /v2/services', '404 NOT_FOUND'],
  ['an unknown kind', 'GET /v1/clusters', '404 NOT_FOUND'],
  ['a kind that is an inherited property name', 'GET /v1/__proto__', '404 NOT_FOUND'],
  ['a path too deep', 'GET /v1/services/a/b', '404 NOT_FOUND'],
  ['an unknown resource', 'GET /v1/services/none', '404 NOT_FOUND'],
  ['a name with capitals', 'GET /v1/services/Tiles', '400 MALFORMED_REQUEST'],
  ['a broken escape', 'GET /v1/services/%zz', '400 MALFORMED_REQUEST'],
  ['an invalid URL', 'GET //', '400 MALFORMED_REQUEST'],
  ['an unknown parameter', 'GET /v1/routes?limit=1', '400 MALFORMED_REQUEST'],
  ['a parameter twice', 'GET /v1/routes?watch=1&watch=1', '400 MALFORMED_REQUEST'],
  ['an unknown watch', 'GET /v1/routes?watch=2', '400 MALFORMED_REQUEST'],
  ['a cursor without watch', 'GET /v1/routes?from=1', '400 MALFORMED_REQUEST'],
  ['a garbage cursor', 'GET /v1/routes?watch=1&from=x', '400 MALFORMED_REQUEST'],
  ['a long URL', `GET /${'x'.repeat(MAX_URL_LENGTH)}`, '414 URL_TOO_LONG'],
  [
    'oversized headers',
    'GET /v1/status',
    '431 HEADERS_TOO_LARGE',
    { a: 'x'.repeat(MAX_HEADER_BYTES) },
  ],
  ['an unknown expectation', 'GET /v1/status', '417 EXPECTATION_FAILED', { expect: 'miracles' }],
];

const BAD_WRITES: readonly BadRequest[] = [
  ['no token', PUT, '401 TOKEN_REQUIRED', { 'if-none-match': '*' }, '{"spec":{}}'],
  ['a wrong method', 'POST /v1/services/tiles', '405 METHOD_NOT_ALLOWED'],
  ['a write of a list', 'PUT /v1/routes', '405 METHOD_NOT_ALLOWED'],
  ['a delete of the status', 'DELETE /v1/status', '405 METHOD_NOT_ALLOWED'],
  ['a write without precondition', PUT, '428 PRECONDITION_REQUIRED', AUTHORIZED],
  ['both preconditions', PUT, '400 MALFORMED_REQUEST', { ...CREATE, 'if-match': '*' }],
  ['a weak entity tag', PUT, '400 MALFORMED_REQUEST', { ...AUTHORIZED, 'if-match': 'W/"ab"' }],
  ['an absent version', PUT, '400 MALFORMED_REQUEST', { ...AUTHORIZED, 'if-none-match': '"ab"' }],
  ['a declared oversized body', PUT, '413 BODY_TOO_LARGE', CREATE, BIG + BIG],
  [
    'a chunked oversized body',
    PUT,
    '413 BODY_TOO_LARGE',
    { ...CREATE, 'transfer-encoding': 'chunked' },
    BIG.repeat(4),
  ],
  [
    'a body of another type',
    PUT,
    '415 UNSUPPORTED_MEDIA_TYPE',
    { ...CREATE, 'content-type': 'text/yaml' },
    'spec: {}',
  ],
  ['a body that is not JSON', PUT, '400 MALFORMED_REQUEST', CREATE, '{"spec":'],
  ['no body', PUT, '400 MALFORMED_REQUEST'],
  ['another name in the body', PUT, '400 MALFORMED_REQUEST', CREATE, '{"name":"other","spec":{}}'],
  ['another kind in the body', PUT, '400 MALFORMED_REQUEST', CREATE, '{"kind":"route","spec":{}}'],
  ['an unknown field', PUT, '422 INVALID_RESOURCE', CREATE, '{"spec":{"color":1}}'],
  ['a body that is a list', PUT, '422 INVALID_RESOURCE', CREATE, '[]'],
  ['deep nesting', PUT, '422 INVALID_RESOURCE', CREATE, NESTED],
];

/** Opens connections sequentially; resolves once the listener has refused one. */
async function openConnections(port: number, count: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  for (let opened = 0; opened < count; opened += 1) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
  }
  await Promise.race(sockets.map((socket) => once(socket, 'close')));
  return sockets;
}

async function closeSocket(socket: Socket): Promise<void> {
  if (!socket.closed) {
    socket.destroy();
    await once(socket, 'close');
  }
}

/** Resolves once the listener has detected closed connections and answers on a new one. */
async function waitUntilAnswering(api: ApiFixture): Promise<void> {
  for (;;) {
    const answer = await call(api, 'GET', '/healthz').catch(() => undefined);
    if (answer?.status === 200) {
      return;
    }
  }
}

describe('the admin server on invalid requests', () => {
  let api: ApiFixture;

  beforeEach(async () => {
    api = await openApi({ adminToken: ADMIN_TOKEN, api: { maxBodyBytes: MAX_BODY_BYTES } });
    api.view.set(4, serviceOf('tiles'));
  });

  afterEach(() => {
    api.server.abort();
  });

  for (const [description, line, expected, headers, body] of [...BAD_READS, ...BAD_WRITES]) {
    it(`answers ${description} with ${expected}, writes nothing and keeps serving`, async () => {
      const [method = '', path = ''] = line.split(' ');
      const isWrite = method !== 'GET';
      const answer = await call(api, method, path, headers ?? CREATE, body);
      expect(`${answer.status} ${String(answer.body['code'])}`).to.equal(expected);
      expect(answer.body['message']).to.be.a('string');
      expect(answer.body['verdict']).to.equal(isWrite ? 'not-run' : undefined);
      expect(answer.headers[VERDICT_HEADER]).to.equal(isWrite ? 'not-run' : undefined);
      expect(api.writes).to.deep.equal([]);
      expect((await call(api, 'GET', '/v1/services', AUTHORIZED)).status).to.equal(200);
      expect(api.logLines).to.deep.equal([]);
    });
  }

  const raw: readonly (readonly [string, string, RegExp])[] = [
    ['garbage', '\x16\x03\x01\x02garbage\r\n\r\n', /^HTTP\/1\.1 400 .*"MALFORMED_REQUEST"/s],
    [
      'two content lengths',
      'PUT / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n',
      /^HTTP\/1.1 400/,
    ],
    [
      'both a content length and chunked encoding',
      'PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
      /^HTTP\/1\.1 400/,
    ],
    ['no host header', 'GET /healthz HTTP/1.1\r\n\r\n', /^HTTP\/1\.1 400/],
    [
      'CONNECT',
      'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n',
      /^HTTP\/1\.1 405 .*"METHOD_NOT_ALLOWED"/s,
    ],
  ];
  it('refuses a write whose connection ends before its body is complete', async () => {
    const head = `PUT /v1/services/a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${ADMIN_TOKEN}`;
    const remainder = '\r\nif-none-match: *\r\ncontent-length: 100\r\n\r\n{"spec":{}';
    expect(await callRaw(api, head + remainder, true)).to.match(/^HTTP\/1\.1 400/);
    expect(api.writes).to.deep.equal([]);
  });

  const slow: readonly (readonly [string, string, RegExp])[] = [
    ['headers that never end', 'GET /healthz HTTP/1.1\r\nhost: x\r\n', /^HTTP\/1\.1 408 /],
    [
      'a body that never ends',
      `PUT /v1/services/a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${ADMIN_TOKEN}\r\n` +
        'if-none-match: *\r\ncontent-length: 100\r\n\r\n{"spec":{}',
      /^HTTP\/1\.1 408 .*"REQUEST_TIMEOUT"/s,
    ],
    ['a connection without data', '', /^HTTP\/1\.1 408 /],
  ];
  for (const [description, bytes, expected] of slow) {
    it(`times out ${description}`, async () => {
      const timeouts = { headersMs: 50, requestMs: 100, checkIntervalMs: 20, silenceMs: 400 };
      const shortTimeouts = await openApi({ adminToken: ADMIN_TOKEN, timeouts });
      try {
        expect(await callRaw(shortTimeouts, bytes)).to.match(expected);
        expect(shortTimeouts.writes).to.deep.equal([]);
      } finally {
        shortTimeouts.server.abort();
      }
    });
  }

  it('refuses connections beyond its limit, and accepts new ones after others close', async () => {
    const bounded = await openApi({ api: { maxWatchers: 1 } });
    try {
      const sockets = await openConnections(bounded.server.port, MAX_NON_WATCH_CONNECTIONS + 2);
      const refused = bounded.metrics.counterTotals().get(API_COUNTERS.connectionsRefused);
      expect(refused).to.equal(1);
      await Promise.all(sockets.map(closeSocket));
      await waitUntilAnswering(bounded);
    } finally {
      bounded.server.abort();
    }
  });

  for (const [description, bytes, expected] of raw) {
    it(`answers ${description} on the raw socket and closes it`, async () => {
      expect(await callRaw(api, bytes)).to.match(expected);
      expect((await call(api, 'GET', '/healthz')).status).to.equal(200);
    });
  }
});

import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { MAX_URL_LENGTH } from '../../src/api/api-request.js';
import { API_COUNTERS } from '../../src/api/api-counters.js';
import { MAX_HEADER_BYTES, MAX_PLAIN_CONNECTIONS } from '../../src/api/admin-server.js';
import { createResourceVersioner } from '../../src/api/resource-version.js';
import type { WriteOutcome } from '../../src/api/write-port.js';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import {
  ADMIN_TOKEN,
  call,
  callRaw,
  FLEET_KEY,
  openApi,
  routeOf,
  SECRET_VALUE,
  secretOf,
  serviceOf,
  STATUS_DIGEST,
  type ApiFixture,
} from './api-fixture.js';

const AUTHORIZED = { authorization: `Bearer ${ADMIN_TOKEN}` };
const CREATE = { ...AUTHORIZED, 'if-none-match': '*' };
const MAX_BODY_BYTES = 2_048;
const versionOf = createResourceVersioner(FLEET_KEY);

/** Opens connections one after the other; resolves once the listener has refused one. */
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

/** Resolves once the listener has noticed closed connections and answers a new one. */
async function answersAgain(api: ApiFixture): Promise<void> {
  for (;;) {
    const answer = await call(api, 'GET', '/healthz').catch(() => undefined);
    if (answer?.status === 200) {
      return;
    }
  }
}

describe('the admin server', () => {
  let api: ApiFixture;

  beforeEach(async () => {
    const limits = { maxBodyBytes: MAX_BODY_BYTES, writeTimeoutMs: 50 };
    api = await openApi({ adminToken: ADMIN_TOKEN, api: limits });
    api.view.set(4, serviceOf('tiles'), secretOf('stamp'), routeOf('all', 'tiles'));
  });

  afterEach(() => {
    api.server.abort();
  });

  describe('reads', () => {
    it('lists a kind with versions and the cursor of the snapshot', async () => {
      const { status, body } = await call(api, 'GET', '/v1/services', AUTHORIZED);
      expect(status).to.equal(200);
      expect(body['cursor']).to.match(/^4\.[0-9a-f]{32}-0\.0{32}$/);
      expect(body['items']).to.deep.equal([
        {
          kind: 'service',
          name: 'tiles',
          version: versionOf(serviceOf('tiles')),
          spec: { requestTimeoutMs: 1_000, retryBudgetPercent: 20 },
        },
      ]);
    });

    it('gets one resource with its version as entity tag', async () => {
      const { body, headers } = await call(api, 'GET', '/v1/routes/all', AUTHORIZED);
      expect(body).to.deep.include({ kind: 'route', name: 'all' });
      expect(headers.etag).to.equal(`"${String(body['version'])}"`);
    });

    it('shows secrets without values, in lists and by name', async () => {
      for (const path of ['/v1/secrets', '/v1/secrets/stamp']) {
        const { text } = await call(api, 'GET', path, AUTHORIZED);
        expect(text).to.contain('"stamp"').and.not.to.contain(SECRET_VALUE);
      }
    });

    it('shows status with the refused source version and its reason', async () => {
      const { body } = await call(api, 'GET', '/v1/status', AUTHORIZED);
      expect(body).to.have.nested.property('source.rejected.reason', 'route/r: dangling');
      expect(body['cursor']).to.match(/^4\./);
      expect(body).to.have.nested.property('node.zone', 'a');
      expect(body).to.have.nested.property('members[0].held.source.number', 4);
    });

    it('shows no digest of a document that has secrets, as it would let guesses be tested', async () => {
      const digest = api.view.current().version.source.digest;
      for (const path of ['/v1/status', '/v1/secrets', '/metrics']) {
        const { text } = await call(api, 'GET', path, AUTHORIZED);
        expect(text).not.to.contain(digest).and.not.to.contain(STATUS_DIGEST);
      }
    });

    it('shows metrics as Prometheus text, without secrets', async () => {
      const { text, headers } = await call(api, 'GET', '/metrics', AUTHORIZED);
      expect(headers['content-type']).to.match(/^text\/plain; version=0\.0\.4/);
      expect(text)
        .to.match(/^ferryspool_api_requests_total \d+$/m)
        .and.not.contain(SECRET_VALUE);
    });

    it('answers the health check without a token', async () => {
      expect(await call(api, 'GET', '/healthz')).to.deep.include({ status: 200 });
    });
  });

  describe('bad requests', () => {
    const big = 'x'.repeat(MAX_BODY_BYTES);
    const service = '/v1/services/tiles';
    const cases: readonly {
      what: string;
      method?: string;
      path?: string;
      headers?: Record<string, string>;
      body?: string;
      status: number;
      code: string;
    }[] = [
      { what: 'no token', headers: {}, status: 401, code: 'TOKEN_REQUIRED' },
      {
        what: 'a basic token',
        headers: { authorization: 'Basic x' },
        status: 401,
        code: 'TOKEN_REQ',
      },
      {
        what: 'a wrong token',
        headers: { authorization: 'Bearer x' },
        status: 403,
        code: 'TOKEN_REF',
      },
      { what: 'an unknown path', path: '/v2/services', status: 404, code: 'NOT_FOUND' },
      { what: 'an unknown kind', path: '/v1/clusters', status: 404, code: 'NOT_FOUND' },
      { what: 'a kind by its member name', path: '/v1/__proto__', status: 404, code: 'NOT_FOUND' },
      { what: 'a path too deep', path: '/v1/services/a/b', status: 404, code: 'NOT_FOUND' },
      { what: 'an unknown resource', path: '/v1/services/none', status: 404, code: 'NOT_FOUND' },
      { what: 'a wrong method', method: 'POST', path: service, status: 405, code: 'METHOD_NOT' },
      {
        what: 'a write of a list',
        method: 'PUT',
        path: '/v1/routes',
        status: 405,
        code: 'METHOD_NOT',
      },
      {
        what: 'a delete of status',
        method: 'DELETE',
        path: '/v1/status',
        status: 405,
        code: 'METHOD',
      },
      { what: 'a name with capitals', path: '/v1/services/Tiles', status: 400, code: 'MALFORMED' },
      { what: 'a broken escape', path: '/v1/services/%zz', status: 400, code: 'MALFORMED' },
      { what: 'a URL that is none', path: '//', status: 400, code: 'MALFORMED' },
      { what: 'an unknown parameter', path: '/v1/routes?limit=1', status: 400, code: 'MALFORMED' },
      {
        what: 'a parameter twice',
        path: '/v1/routes?watch=1&watch=1',
        status: 400,
        code: 'MALFORMED',
      },
      { what: 'an unknown watch', path: '/v1/routes?watch=2', status: 400, code: 'MALFORMED' },
      { what: 'a cursor without watch', path: '/v1/routes?from=1', status: 400, code: 'MALFORMED' },
      {
        what: 'a garbage cursor',
        path: '/v1/routes?watch=1&from=x',
        status: 400,
        code: 'MALFORMED',
      },
      {
        what: 'a long URL',
        path: `/${'x'.repeat(MAX_URL_LENGTH)}`,
        status: 414,
        code: 'URL_TOO_LONG',
      },
      {
        what: 'oversized headers',
        headers: { ...AUTHORIZED, extra: 'x'.repeat(MAX_HEADER_BYTES) },
        status: 431,
        code: 'HEADERS_TOO_LARGE',
      },
      {
        what: 'an expectation that is unknown',
        headers: { ...AUTHORIZED, expect: 'miracles' },
        status: 417,
        code: 'EXPECTATION',
      },
      {
        what: 'a write without precondition',
        method: 'PUT',
        path: service,
        status: 428,
        code: 'PRECO',
      },
      {
        what: 'both preconditions',
        method: 'PUT',
        path: service,
        headers: { ...CREATE, 'if-match': '*' },
        status: 400,
        code: 'MALFORMED',
      },
      {
        what: 'a weak entity tag',
        method: 'PUT',
        path: service,
        headers: { ...AUTHORIZED, 'if-match': 'W/"ab"' },
        status: 400,
        code: 'MALFORMED',
      },
      {
        what: 'If-None-Match with a version',
        method: 'PUT',
        path: service,
        headers: { ...AUTHORIZED, 'if-none-match': '"ab"' },
        status: 400,
        code: 'MALFORMED',
      },
      {
        what: 'a declared oversized body',
        method: 'PUT',
        path: service,
        headers: CREATE,
        body: `{"spec":{},"x":"${big}"}`,
        status: 413,
        code: 'BODY_TOO_LARGE',
      },
      {
        what: 'a chunked oversized body',
        method: 'PUT',
        path: service,
        headers: { ...CREATE, 'transfer-encoding': 'chunked' },
        body: big.repeat(4),
        status: 413,
        code: 'BODY_TOO_LARGE',
      },
      {
        what: 'a body of another type',
        method: 'PUT',
        path: service,
        headers: { ...CREATE, 'content-type': 'text/yaml' },
        body: 'spec: {}',
        status: 415,
        code: 'UNSUPPORTED',
      },
      {
        what: 'a body that is no JSON',
        method: 'PUT',
        path: service,
        headers: CREATE,
        body: '{"spec":',
        status: 400,
        code: 'MALFORMED',
      },
      {
        what: 'no body',
        method: 'PUT',
        path: service,
        headers: CREATE,
        status: 400,
        code: 'MALFORM',
      },
      {
        what: 'another name in the body',
        method: 'PUT',
        path: service,
        headers: CREATE,
        body: '{"name":"other","spec":{}}',
        status: 400,
        code: 'MALFORMED',
      },
      {
        what: 'an unknown field',
        method: 'PUT',
        path: service,
        headers: CREATE,
        body: '{"spec":{"color":1}}',
        status: 422,
        code: 'INVALID_RESOURCE',
      },
      {
        what: 'a body that is a list',
        method: 'PUT',
        path: service,
        headers: CREATE,
        body: '[]',
        status: 422,
        code: 'INVALID_RESOURCE',
      },
      {
        what: 'deep nesting',
        method: 'PUT',
        path: service,
        headers: CREATE,
        body: `{"spec":${'['.repeat(900)}${']'.repeat(900)}}`,
        status: 422,
        code: 'INVALID_RESOURCE',
      },
    ];
    for (const { what, method = 'GET', path = '/v1/services', headers, body, ...want } of cases) {
      it(`answers ${what} with ${want.status}, writes nothing and serves on`, async () => {
        const answer = await call(api, method, path, headers ?? AUTHORIZED, body);
        expect(answer.status).to.equal(want.status);
        expect(answer.body['code']).to.match(new RegExp(`^${want.code}`));
        expect(answer.body['message']).to.be.a('string');
        if (method !== 'GET') {
          expect(answer.body['verdict']).to.equal('not-run');
          expect(answer.headers[VERDICT_HEADER]).to.equal('not-run');
        }
        expect(api.writes).to.deep.equal([]);
        expect((await call(api, 'GET', '/v1/services', AUTHORIZED)).status).to.equal(200);
        expect(api.logLines).to.deep.equal([]);
      });
    }

    const raw: readonly (readonly [string, string, RegExp])[] = [
      ['garbage', '\x16\x03\x01\x02garbage\r\n\r\n', /^HTTP\/1\.1 400 .*"MALFORMED_REQUEST"/s],
      [
        'two lengths',
        'PUT / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n',
        /^HTTP\/1.1 400/,
      ],
      [
        'a length beside chunks',
        'PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
        /^HTTP\/1\.1 400/,
      ],
      ['no host', 'GET /healthz HTTP/1.1\r\n\r\n', /^HTTP\/1\.1 400/],
      [
        'CONNECT',
        'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n',
        /^HTTP\/1\.1 405 .*"METHOD_NOT_ALLOWED"/s,
      ],
    ];
    it('drops a write whose connection ends inside the body', async () => {
      const head = `PUT /v1/services/a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${ADMIN_TOKEN}`;
      const rest = '\r\nif-none-match: *\r\ncontent-length: 100\r\n\r\n{"spec":{}';
      expect(await callRaw(api, head + rest, true)).to.match(/^HTTP\/1\.1 400/);
      expect(api.writes).to.deep.equal([]);
    });

    it('refuses connections beyond its bound, and takes new ones later', async () => {
      const bounded = await openApi({ api: { maxWatchers: 1 } });
      try {
        const sockets = await openConnections(bounded.server.port, MAX_PLAIN_CONNECTIONS + 2);
        const refused = bounded.metrics.counterTotals().get(API_COUNTERS.connectionsRefused);
        expect(refused).to.equal(1);
        await Promise.all(sockets.map(closeSocket));
        await answersAgain(bounded);
      } finally {
        bounded.server.abort();
      }
    });

    for (const [what, bytes, expected] of raw) {
      it(`answers ${what} on the bare socket and closes it`, async () => {
        expect(await callRaw(api, bytes)).to.match(expected);
        expect((await call(api, 'GET', '/healthz')).status).to.equal(200);
      });
    }
  });

  describe('writes', () => {
    const put = (headers: Record<string, string>) =>
      call(api, 'PUT', '/v1/services/maps', headers, '{"spec":{"requestTimeoutMs":7}}');

    it('hands over resource and precondition, and answers with the new version', async () => {
      const { status, body, headers } = await put(CREATE);
      const resource = serviceOf('maps', 7);
      expect(status).to.equal(200);
      expect(headers[VERDICT_HEADER]).to.equal('ran');
      expect(body).to.deep.equal({
        ...{ verdict: 'ran', kind: 'service', name: 'maps', operatorRevision: 1 },
        version: versionOf(resource),
      });
      const precondition = { type: 'absent' };
      expect(api.writes).to.deep.equal([{ key: 'service/maps', resource, precondition }]);
    });

    const preconditions: readonly (readonly [Record<string, string>, object])[] = [
      [{ 'if-match': '*' }, { type: 'exists' }],
      [{ 'if-match': '"ab12"' }, { type: 'version', version: 'ab12' }],
      [{ 'if-match': 'ab12' }, { type: 'version', version: 'ab12' }],
    ];
    for (const [headers, precondition] of preconditions) {
      it(`deletes under ${JSON.stringify(headers)}`, async () => {
        await call(api, 'DELETE', '/v1/services/tiles', { ...AUTHORIZED, ...headers });
        const expected = [{ key: 'service/tiles', resource: undefined, precondition }];
        expect(api.writes).to.deep.equal(expected);
      });
    }

    const faults = [{ path: 'route/all', reason: 'refers to missing service/maps' }];
    const failures: readonly {
      what: string;
      answer: () => Promise<WriteOutcome>;
      status: number;
      body: Record<string, unknown>;
      retryAfter?: string;
    }[] = [
      {
        what: 'a conflict',
        answer: () => Promise.resolve({ outcome: 'conflict', currentVersion: 'cd' }),
        status: 412,
        body: { code: 'PRECONDITION_FAILED', verdict: 'not-run', currentVersion: 'cd' },
      },
      {
        what: 'a resource that is gone',
        answer: () => Promise.resolve({ outcome: 'conflict' }),
        status: 412,
        body: { code: 'PRECONDITION_FAILED', verdict: 'not-run' },
      },
      {
        what: 'a dangling reference',
        answer: () => Promise.resolve({ outcome: 'invalid', faults }),
        status: 422,
        body: { code: 'INVALID_RESOURCE', verdict: 'not-run', faults },
      },
      {
        what: 'no majority',
        answer: () =>
          Promise.resolve({ outcome: 'refused', reason: 'no majority', retryAfterMs: 1_500 }),
        status: 503,
        body: { code: 'NOT_ACCEPTED', verdict: 'not-run' },
        retryAfter: '2',
      },
      {
        what: 'an unknown fate',
        answer: () => Promise.resolve({ outcome: 'unknown', reason: 'the leader was lost' }),
        status: 504,
        body: { code: 'MAY_BE_ACCEPTED', verdict: 'may-have-run' },
      },
      {
        what: 'a port that fails',
        answer: () => Promise.reject(new Error('broken')),
        status: 504,
        body: { code: 'MAY_BE_ACCEPTED', verdict: 'may-have-run' },
      },
      {
        what: 'no decision in time',
        answer: () => new Promise(() => undefined),
        status: 504,
        body: { code: 'MAY_BE_ACCEPTED', verdict: 'may-have-run' },
      },
    ];
    for (const { what, answer, status, body, retryAfter } of failures) {
      it(`answers ${what} with ${status} and verdict ${String(body['verdict'])}`, async () => {
        api.answer = answer;
        const result = await put(CREATE);
        expect(result.status).to.equal(status);
        expect(result.body).to.deep.include(body);
        expect(result.headers[VERDICT_HEADER]).to.equal(body['verdict']);
        expect(result.headers['retry-after']).to.equal(retryAfter);
      });
    }

    it('never shows a secret that was written badly', async () => {
      const path = '/v1/secrets/stamp';
      const bodies = [`{"spec":{"value":["${SECRET_VALUE}"]}}`, `{"spec":"${SECRET_VALUE}"}`];
      for (const body of [...bodies, `{"spec":{"value":"${SECRET_VALUE}"}`]) {
        const { text, status } = await call(api, 'PUT', path, CREATE, body);
        expect(status).to.be.oneOf([400, 422]);
        expect(text + api.logLines.join('')).not.to.contain(SECRET_VALUE);
      }
    });
  });

  it('without a token in the settings serves reads and refuses every write', async () => {
    const open = await openApi({});
    try {
      expect((await call(open, 'GET', '/v1/services')).status).to.equal(200);
      const refused = await call(open, 'PUT', '/v1/services/a', CREATE, '{"spec":{}}');
      expect(refused.body).to.include({ code: 'WRITES_DISABLED', verdict: 'not-run' });
      expect(open.writes).to.deep.equal([]);
    } finally {
      open.server.abort();
    }
  });

  it('stops without cutting the request in progress', async () => {
    let accept: (outcome: WriteOutcome) => void = () => undefined;
    const asked = new Promise<void>((resolve) => {
      api.answer = () => {
        resolve();
        return new Promise((decide) => (accept = decide));
      };
    });
    const answer = call(api, 'DELETE', '/v1/services/tiles', { ...AUTHORIZED, 'if-match': '*' });
    await asked;
    const stopped = api.server.stop();
    accept({ outcome: 'accepted', operatorRevision: 3 });
    expect((await answer).status).to.equal(200);
    await stopped;
  });
});

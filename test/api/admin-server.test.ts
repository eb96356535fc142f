import { expect } from 'chai';
import { createResourceVersioner } from '../../src/api/resource-version.js';
import type { WriteOutcome } from '../../src/api/write-port.js';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import {
  ADMIN_TOKEN,
  call,
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
const versionOf = createResourceVersioner(FLEET_KEY);

describe('the admin server', () => {
  let api: ApiFixture;

  beforeEach(async () => {
    const limits = { writeTimeoutMs: 50 };
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

    it('returns secrets without values, in lists and by name', async () => {
      for (const path of ['/v1/secrets', '/v1/secrets/stamp']) {
        const { text } = await call(api, 'GET', path, AUTHORIZED);
        expect(text).to.contain('"stamp"').and.not.to.contain(SECRET_VALUE);
      }
    });

    it('returns a status with the rejected source version and the reason', async () => {
      const { body } = await call(api, 'GET', '/v1/status', AUTHORIZED);
      expect(body).to.have.nested.property('source.rejected.reason', 'route/r: dangling');
      expect(body['cursor']).to.match(/^4\./);
      expect(body).to.have.nested.property('node.zone', 'a');
      expect(body).to.have.nested.property('members[0].held.source.number', 4);
    });

    it('returns no digest of a document that has secrets, against which guesses could be tested', async () => {
      const digest = api.view.current().version.source.digest;
      for (const path of ['/v1/status', '/v1/secrets', '/metrics']) {
        const { text } = await call(api, 'GET', path, AUTHORIZED);
        expect(text).not.to.contain(digest).and.not.to.contain(STATUS_DIGEST);
      }
    });

    it('returns metrics as Prometheus text, without secrets', async () => {
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

  describe('writes', () => {
    const put = (headers: Record<string, string>) =>
      call(api, 'PUT', '/v1/services/maps', headers, '{"spec":{"requestTimeoutMs":7}}');

    it('submits resource and precondition, and answers with the new version', async () => {
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
      description: string;
      answer: () => Promise<WriteOutcome>;
      status: number;
      body: Record<string, unknown>;
      retryAfter?: string;
    }[] = [
      {
        description: 'a conflict',
        answer: () => Promise.resolve({ outcome: 'conflict', currentVersion: 'cd' }),
        status: 412,
        body: { code: 'PRECONDITION_FAILED', verdict: 'not-run', currentVersion: 'cd' },
      },
      {
        description: 'a deleted resource',
        answer: () => Promise.resolve({ outcome: 'conflict' }),
        status: 412,
        body: { code: 'PRECONDITION_FAILED', verdict: 'not-run' },
      },
      {
        description: 'a dangling reference',
        answer: () => Promise.resolve({ outcome: 'invalid', faults }),
        status: 422,
        body: { code: 'INVALID_RESOURCE', verdict: 'not-run', faults },
      },
      {
        description: 'no majority',
        answer: () =>
          Promise.resolve({ outcome: 'refused', reason: 'no majority', retryAfterMs: 1_500 }),
        status: 503,
        body: { code: 'NOT_ACCEPTED', verdict: 'not-run' },
        retryAfter: '2',
      },
      {
        description: 'an unknown outcome',
        answer: () => Promise.resolve({ outcome: 'unknown', reason: 'the leader was lost' }),
        status: 504,
        body: { code: 'MAY_BE_ACCEPTED', verdict: 'may-have-run' },
      },
      {
        description: 'a port that fails',
        answer: () => Promise.reject(new Error('broken')),
        status: 504,
        body: { code: 'MAY_BE_ACCEPTED', verdict: 'may-have-run' },
      },
      {
        description: 'no decision in time',
        answer: () => new Promise(() => undefined),
        status: 504,
        body: { code: 'MAY_BE_ACCEPTED', verdict: 'may-have-run' },
      },
    ];
    for (const { description, answer, status, body, retryAfter } of failures) {
      it(`answers ${description} with ${status} and verdict ${String(body['verdict'])}`, async () => {
        api.answer = answer;
        const result = await put(CREATE);
        expect(result.status).to.equal(status);
        expect(result.body).to.deep.include(body);
        expect(result.headers[VERDICT_HEADER]).to.equal(body['verdict']);
        expect(result.headers['retry-after']).to.equal(retryAfter);
      });
    }

    it('does not reveal a secret in a malformed write', async () => {
      const path = '/v1/secrets/stamp';
      const bodies = [`{"spec":{"value":["${SECRET_VALUE}"]}}`, `{"spec":"${SECRET_VALUE}"}`];
      for (const body of [...bodies, `{"spec":{"value":"${SECRET_VALUE}"}`]) {
        const { text, status } = await call(api, 'PUT', path, CREATE, body);
        expect(status).to.be.oneOf([400, 422]);
        expect(text + api.logLines.join('')).not.to.contain(SECRET_VALUE);
      }
    });
  });

  it('serves reads and refuses every write if the settings have no token', async () => {
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

  it('stops without interrupting the request in progress', async () => {
    let accept: (outcome: WriteOutcome) => void = () => undefined;
    const submitted = new Promise<void>((resolve) => {
      api.answer = () => {
        resolve();
        return new Promise((decide) => (accept = decide));
      };
    });
    const answer = call(api, 'DELETE', '/v1/services/tiles', { ...AUTHORIZED, 'if-match': '*' });
    await submitted;
    const stopped = api.server.stop();
    accept({ outcome: 'accepted', operatorRevision: 3 });
    expect((await answer).status).to.equal(200);
    await stopped;
  });
});

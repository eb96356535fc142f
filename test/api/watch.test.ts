import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { expect } from 'chai';
import type { WatchEvent } from '../../src/api/watch-event.js';
import type { Resource } from '../../src/model/resource.js';
import {
  call,
  callRaw,
  openApi,
  routeOf,
  SECRET_VALUE,
  secretOf,
  serviceOf,
  type ApiFixture,
} from './api-fixture.js';

/** A watch client whose events the test reads one by one. */
class WatchClient {
  readonly text: string[] = [];
  private lines: string[] = [];
  private partialLine = '';
  private wakeReader: (() => void) | undefined;
  private ended = false;

  constructor(
    private readonly clientRequest: ClientRequest,
    private readonly response: IncomingMessage,
  ) {
    response.setEncoding('utf8');
    response.on('data', (chunk: string) => this.receive(chunk));
    response.on('error', () => this.finish());
    response.on('close', () => this.finish());
  }

  /** Returns the next event, or undefined at the end of the stream. */
  async next(): Promise<WatchEvent | undefined> {
    while (this.lines.length === 0 && !this.ended) {
      await new Promise<void>((resolve) => (this.wakeReader = resolve));
    }
    const line = this.lines.shift();
    return line === undefined ? undefined : (JSON.parse(line) as WatchEvent);
  }

  /** Reads events up to and including the next bookmark; returns them as short words. */
  async untilBookmark(): Promise<{ words: string[]; cursor: string }> {
    const words: string[] = [];
    for (;;) {
      const event = await this.next();
      if (event === undefined || event.type === 'end') {
        throw new Error(`ended after ${words.join(' ')}`);
      }
      if (event.type === 'bookmark') {
        return { words, cursor: event.cursor };
      }
      words.push(`${event.type === 'upsert' ? '+' : '-'}${event.name}`);
    }
  }

  pause(): void {
    this.response.pause();
  }

  resume(): void {
    this.response.resume();
  }

  close(): void {
    this.clientRequest.destroy();
  }

  private receive(chunk: string): void {
    this.text.push(chunk);
    const parts = (this.partialLine + chunk).split('\n');
    this.partialLine = parts.pop() ?? '';
    this.lines.push(...parts);
    this.wakeReader?.();
  }

  private finish(): void {
    this.ended = true;
    this.wakeReader?.();
  }
}

function watch({ server }: ApiFixture, path: string): Promise<WatchClient> {
  const target = { host: '127.0.0.1', port: server.port, path, agent: false };
  return new Promise((resolve, reject) => {
    const clientRequest = request(target, (response) =>
      resolve(new WatchClient(clientRequest, response)),
    );
    clientRequest.on('error', reject);
    clientRequest.end();
  });
}

/** Waits until a counter has reached `value`, which clients cannot observe. */
async function counterReaches({ metrics }: ApiFixture, name: string, value: number): Promise<void> {
  while ((metrics.counterTotals().get(name) ?? 0) < value) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('watches', () => {
  let api: ApiFixture;

  async function open(limits: Record<string, number> = {}): Promise<void> {
    api = await openApi({ api: limits });
    api.view.set(1, serviceOf('a'), serviceOf('b'));
  }

  afterEach(() => {
    api.server.abort();
  });

  it('send the current state, a bookmark, then changes of their kind only', async () => {
    await open();
    const client = await watch(api, '/v1/services?watch=1');
    expect((await client.untilBookmark()).words).to.deep.equal(['+a', '+b']);
    api.view.set(2, serviceOf('a', 7), serviceOf('c'), secretOf('s'), routeOf('r', 'a'));
    expect((await client.untilBookmark()).words).to.deep.equal(['+a', '+c', '-b']);
    api.view.set(3, serviceOf('a', 7), serviceOf('c'));
    expect((await client.untilBookmark()).words).to.deep.equal([]);
  });

  it('resume from the cursor of a list', async () => {
    await open();
    const list = await call(api, 'GET', '/v1/services');
    api.view.set(2, serviceOf('a'));
    const client = await watch(api, `/v1/services?watch=1&from=${String(list.body['cursor'])}`);
    expect((await client.untilBookmark()).words).to.deep.equal(['-b']);
  });

  it('resume from a bookmark after a lost connection, without lost or duplicate events', async () => {
    await open();
    const first = await watch(api, '/v1/services?watch=1');
    const { cursor } = await first.untilBookmark();
    first.close();
    await counterReaches(api, 'ferryspool_api_watches_closed_total', 1);
    api.view.set(2, serviceOf('b', 7));
    api.view.set(3, serviceOf('b', 7), serviceOf('d'));
    const second = await watch(api, `/v1/services?watch=1&from=${cursor}`);
    expect((await second.untilBookmark()).words).to.deep.equal(['+b', '-a']);
    expect((await second.untilBookmark()).words).to.deep.equal(['+d']);
  });

  it('resume on another node that holds the same version', async () => {
    await open();
    const { cursor } = await (await watch(api, '/v1/services?watch=1')).untilBookmark();
    const other = await openApi({});
    try {
      other.view.set(1, serviceOf('a'), serviceOf('b'));
      const client = await watch(other, `/v1/services?watch=1&from=${cursor}`);
      other.view.set(2, serviceOf('a'));
      expect((await client.untilBookmark()).words).to.deep.equal(['-b']);
    } finally {
      other.server.abort();
    }
  });

  it('are refused with LIST_AGAIN if the history does not reach back to the cursor', async () => {
    await open({ watchHistoryEvents: 2 });
    const list = await call(api, 'GET', '/v1/services');
    api.view.set(2, serviceOf('a', 2), serviceOf('b', 2));
    api.view.set(3, serviceOf('a', 3), serviceOf('b', 2));
    const from = String(list.body['cursor']);
    const answer = await call(api, 'GET', `/v1/services?watch=1&from=${from}`);
    expect(answer.status).to.equal(410);
    expect(answer.body['code']).to.equal('LIST_AGAIN');
  });

  it('are refused with status 410 for another document with the held number', async () => {
    await open();
    const from = `1.${'0'.repeat(31)}0-0.${'0'.repeat(32)}`;
    const answer = await call(api, 'GET', `/v1/services?watch=1&from=${from}`);
    expect(answer.status).to.equal(410);
  });

  it('are refused with NOT_HELD_YET while the node lags behind the cursor', async () => {
    await open();
    const from = `9.${'0'.repeat(32)}-0.${'0'.repeat(32)}`;
    const answer = await call(api, 'GET', `/v1/services?watch=1&from=${from}`);
    expect(answer.status).to.equal(503);
    expect(answer.body['code']).to.equal('NOT_HELD_YET');
    expect(answer.headers['retry-after']).to.equal('1');
  });

  it('report a change of a secret without its value', async () => {
    await open();
    api.view.set(2, secretOf('s'));
    const client = await watch(api, '/v1/secrets?watch=1');
    await client.untilBookmark();
    api.view.set(3, secretOf('s', `${SECRET_VALUE}-new`));
    expect((await client.untilBookmark()).words).to.deep.equal(['+s']);
    expect(client.text.join('')).not.to.contain(SECRET_VALUE);
  });

  it('are limited in number', async () => {
    await open({ maxWatchers: 1 });
    const first = await watch(api, '/v1/services?watch=1');
    const refused = await call(api, 'GET', '/v1/routes?watch=1');
    expect(refused.status).to.equal(429);
    expect(refused.headers['retry-after']).to.equal('5');
    first.close();
    await counterReaches(api, 'ferryspool_api_watches_closed_total', 1);
    const second = await watch(api, '/v1/services?watch=1');
    expect((await second.untilBookmark()).words).to.deep.equal(['+a', '+b']);
  });

  it('that read too slowly are ended with a reason, without effect on others', async () => {
    await open({ watchHistoryEvents: 500 });
    const slow = await watch(api, '/v1/services?watch=1');
    await slow.untilBookmark();
    slow.pause();
    const quick = await watch(api, '/v1/routes?watch=1');
    await quick.untilBookmark();
    const largeConfiguration = (round: number): Resource[] =>
      Array.from({ length: 400 }, (_, index) => serviceOf(`${'n'.repeat(100)}${index}`, round + 1));
    let round = 1;
    const dropped = () =>
      api.metrics.counterTotals().get('ferryspool_api_watches_too_slow_total') ?? 0;
    // The system's socket buffers absorb the first megabytes; the loop ends well before 400 rounds.
    while (dropped() === 0 && round < 400) {
      round += 1;
      api.view.set(round, ...largeConfiguration(round));
      await quick.untilBookmark();
    }
    expect(dropped()).to.equal(1);
    slow.resume();
    let last: WatchEvent | undefined;
    for (let event = await slow.next(); event !== undefined; event = await slow.next()) {
      last = event;
    }
    expect(last).to.include({ type: 'end', code: 'TOO_SLOW' });
    api.view.set(round + 1, serviceOf('a'), routeOf('r', 'a'));
    expect((await quick.untilBookmark()).words).to.deep.equal(['+r']);
  });

  it('are not closed by the inactivity timeout of other connections', async () => {
    api = await openApi({ timeouts: { inactivityMs: 50 } });
    const client = await watch(api, '/v1/services?watch=1');
    await client.untilBookmark();
    // Opened after the watch became idle, so that its close shows that the timeout has passed.
    expect(await callRaw(api, '')).to.equal('');
    api.view.set(1, serviceOf('a'));
    expect((await client.untilBookmark()).words).to.deep.equal(['+a']);
  });

  it('end with a reason when the node stops', async () => {
    await open();
    const client = await watch(api, '/v1/services?watch=1');
    await client.untilBookmark();
    const stopped = api.server.stop();
    expect(await client.next()).to.include({ type: 'end', code: 'STOPPING' });
    expect(await client.next()).to.equal(undefined);
    await stopped;
  });
});

/** The request path over real sockets: caller, node, node of the endpoint, endpoint. */
import { expect } from 'chai';
import { RelayTokenIssuer } from '../../src/proxy/relay/relay-token.js';
import { encodeRelayFrame } from '../../src/proxy/relay/relay-frame.js';
import { BODY_WINDOW_BYTES } from '../../src/proxy/relay/relay-body.js';
import { openRelay, type RelaySender } from './relay-sender.js';
import {
  call,
  callRaw,
  echoEndpoint,
  echoService,
  FLEET_KEY,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type RawHandler,
} from './rig.js';

describe('request path', () => {
  let mesh: TestMesh;
  const endpoints: RawEndpoint[] = [];

  beforeEach(() => {
    mesh = new TestMesh();
  });

  afterEach(() => {
    mesh.close();
    endpoints.splice(0).forEach((endpoint) => endpoint.close());
  });

  async function endpoint(handle: RawHandler): Promise<RawEndpoint> {
    const started = await startRawEndpoint(handle);
    endpoints.push(started);
    return started;
  }

  async function configureEndpoint(
    machine: string | undefined,
    handle: RawHandler,
  ): Promise<RawEndpoint> {
    const started = await endpoint(handle);
    const spec = machine === undefined ? {} : { machine };
    mesh.configure([...echoService(), echoEndpoint('e1', started.port, spec)]);
    return started;
  }

  const locations = [
    { where: 'on the node of the caller', machine: 'n1' },
    { where: 'on another node', machine: 'n2' },
    { where: 'without a node', machine: undefined },
  ];
  for (const { where, machine } of locations) {
    it(`forwards a complete request and answer with an endpoint ${where}`, async () => {
      const answer = 'x'.repeat(100_000);
      const target = await configureEndpoint(machine, (socket) => {
        socket.write(
          rawAnswer(answer, 'X-Own: 1\r\nx-load: 1/20\r\nferryspool-verdict: not-run\r\n'),
        );
      });
      const { callerPort } = await mesh.addNode('n1');
      await mesh.addNode('n2');
      const result = await call(callerPort, {
        method: 'PUT',
        path: '/a/b?c=d',
        body: 'payload',
        headers: {
          'X-Kept': 'yes',
          'Ferryspool-Endpoint': 'echo/other',
          'x-request-id': 'forged',
          Connection: 'keep-alive, x-hop',
          'x-hop': '1',
        },
      });
      expect(result.status).to.equal(200);
      expect(result.body).to.equal(answer);
      expect(result.headers['ferryspool-verdict']).to.equal('ran');
      expect(result.headers['x-own']).to.equal('1');
      expect(result.headers).to.not.have.property('x-load');
      const [sent = ''] = target.received;
      expect(sent).to.match(/^PUT \/a\/b\?c=d HTTP\/1.1\r\n/);
      expect(sent).to.match(/\r\n\r\npayload$/);
      expect(sent).to.include('X-Kept: yes');
      expect(sent).to.match(/x-request-id: n1-/);
      expect(sent).to.match(/x-deadline-ms: [0-9]+\r\n/);
      expect(sent).to.not.match(/forged|x-hop|ferryspool-endpoint|ferryspool-relay-token/i);
    });
  }

  const bodiless = [
    { answer: 'to HEAD', method: 'HEAD', raw: 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n' },
    {
      answer: 'to HEAD, large',
      method: 'HEAD',
      raw: 'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n',
    },
    { answer: '204', method: 'GET', raw: 'HTTP/1.1 204 No Content\r\n\r\n' },
    { answer: '304', method: 'GET', raw: 'HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n' },
  ];
  for (const { answer, method, raw } of bodiless) {
    it(`forwards an answer without a body: ${answer}`, async () => {
      await configureEndpoint('n2', (socket) => socket.write(raw));
      const { callerPort } = await mesh.addNode('n1');
      await mesh.addNode('n2');
      const result = await call(callerPort, { method });
      expect(result).to.include({ status: Number(raw.split(' ')[1]), body: '', isWhole: true });
      expect(result.headers['content-length']).to.equal(/Length: (\d+)/.exec(raw)?.[1]);
    });
  }

  it('truncates an answer that stalls', async () => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n';
    await configureEndpoint('n2', (socket) => socket.write(`${head}part`));
    const { callerPort } = await mesh.addNode('n1', { answerIdleTimeoutMs: 50 });
    await mesh.addNode('n2', { answerIdleTimeoutMs: 50 });
    expect(await call(callerPort)).to.include({ body: 'part', isWhole: false });
  });

  it('streams a large request body and a chunked answer', async () => {
    const target = await configureEndpoint('n2', (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n');
      socket.write('6\r\nsecond\r\n0\r\n\r\n');
    });
    const { callerPort } = await mesh.addNode('n1');
    await mesh.addNode('n2');
    const body = Buffer.alloc(300_000, 'b');
    const result = await call(callerPort, { method: 'POST', body });
    expect(result).to.include({ status: 200, body: 'firstsecond', isWhole: true });
    expect(target.received[0]).to.have.length.greaterThan(300_000);
  });

  const refusals = [
    {
      name: 'no configuration',
      configure: false,
      headers: {},
      status: 503,
      code: 'NOT_CONFIGURED',
    },
    { name: 'an unknown route', path: '/none', status: 404, code: 'ROUTE_NOT_FOUND' },
    {
      name: 'a past deadline',
      headers: { 'x-deadline-ms': '0' },
      status: 504,
      code: 'DEADLINE_PASSED',
    },
    { name: 'a malformed deadline', headers: { 'x-deadline-ms': '-5' }, status: 400 },
    { name: 'no endpoint that accepts work', state: 'draining', status: 503, code: 'NO_ENDPOINT' },
    { name: 'a leaving node', leaving: true, status: 503, code: 'NO_ENDPOINT' },
    { name: 'a body over the limit', body: 'x'.repeat(2_000), status: 413, code: 'BODY_TOO_LARGE' },
  ];
  for (const row of refusals) {
    it(`refuses at once with not-run: ${row.name}`, async () => {
      const target = await endpoint((socket) => socket.write(rawAnswer('ran')));
      if (row.configure !== false) {
        const spec = { machine: 'n2', state: row.state ?? 'active' };
        const route = echoService({ pathPrefix: '/known' });
        mesh.configure([...route, echoEndpoint('e1', target.port, spec)]);
      }
      const { callerPort } = await mesh.addNode('n1', { maxBodyBytes: 1_000 });
      await mesh.addNode('n2');
      if (row.leaving === true) {
        mesh.statuses.set('n2', 'leaving');
      }
      const result = await call(callerPort, {
        method: 'POST',
        path: row.path ?? '/known',
        headers: row.headers ?? {},
        body: row.body ?? '',
      });
      expect(result.status).to.equal(row.status);
      expect(result.headers['ferryspool-verdict']).to.equal('not-run');
      const error = JSON.parse(result.body) as Record<string, string>;
      expect(error).to.have.all.keys('code', 'message', 'verdict');
      expect(error).to.include({ code: row.code ?? 'BAD_REQUEST', verdict: 'not-run' });
      expect(result.headers['retry-after'] !== undefined).to.equal(row.status === 503);
      expect(target.heads).to.have.length(0);
    });
  }

  /** A token expires some minutes after it was issued, which may be before the last tests of a run. */
  const validToken = (): string => new RelayTokenIssuer(FLEET_KEY, 'n9').current(Date.now());
  async function connectRelay(port: number): Promise<RelaySender> {
    const opening = await openRelay(port, validToken());
    if (opening.kind === 'refused') {
      throw new Error(`refused with ${opening.status}`);
    }
    return opening.sender;
  }

  const tokens = [
    { name: 'no token', token: () => undefined },
    { name: 'a malformed token', token: () => 'x' },
    {
      name: 'a token signed with another key',
      token: () => new RelayTokenIssuer(Buffer.alloc(32), 'n9').current(Date.now()),
    },
    { name: 'a token for another machine', token: () => validToken().replace('n9', 'n8') },
    { name: 'an expired token', token: () => new RelayTokenIssuer(FLEET_KEY, 'n9').current(1) },
    {
      name: 'a token from the far future',
      token: () => new RelayTokenIssuer(FLEET_KEY, 'n9').current(Date.now() + 1e9),
    },
    { name: 'a valid token', token: validToken, status: 200 },
  ];
  for (const { name, token, status = 403 } of tokens) {
    it(`answers ${status} on the relay port to ${name}`, async () => {
      const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
      const { relayPort } = await mesh.addNode('n2');
      const opening = await openRelay(relayPort, token());
      const answered =
        opening.kind === 'open' ? await opening.sender.outcome(opening.sender.request()) : opening;
      expect(answered.status).to.equal(status);
      expect(target.heads).to.have.length(status === 200 ? 1 : 0);
      if (opening.kind === 'open') {
        opening.sender.destroy();
      }
    });
  }

  it('answers 426 on the relay port to a request without an upgrade', async () => {
    const { relayPort } = await mesh.addNode('n2');
    const headers = { 'ferryspool-relay-token': validToken() };
    expect((await call(relayPort, { headers })).status).to.equal(426);
  });

  it('closes a relay connection on bytes that are not a frame, without running a request', async () => {
    const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { relayPort } = await mesh.addNode('n2');
    const sender = await connectRelay(relayPort);
    sender.socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await until(() => sender.isClosed);
    expect(target.heads).to.have.length(0);
  });

  it('does not run a request whose deadline passed before it was read', async () => {
    const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { relayPort } = await mesh.addNode('n2');
    const sender = await connectRelay(relayPort);
    expect(await sender.outcome(sender.request())).to.include({ status: 200 });
    const sentAtMs = Math.floor(performance.now()) - 700;
    const late = sender.request({ sentAtMs, remainingMs: 500 });
    expect(await sender.outcome(late)).to.include({ kind: 'failure', verdict: 'not-run' });
    expect(target.heads).to.have.length(1);
    sender.destroy();
  });

  it('does not run a request that its sender abandoned while the process was paused', async () => {
    const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { relayPort } = await mesh.addNode('n2');
    const sender = await connectRelay(relayPort);
    await sender.outcome(sender.request({ requestId: 'r0' }));
    sender.request({ requestId: 'r1' });
    setImmediate(() => sender.destroy());
    const wakeAtMs = performance.now() + 500;
    setImmediate(() => {
      while (performance.now() < wakeAtMs);
    });
    const other = await connectRelay(relayPort);
    await other.outcome(other.request({ requestId: 'r2' }));
    expect(target.heads.map((head) => /x-request-id: (\S+)/.exec(head)?.[1])).to.not.include('r1');
    other.destroy();
  });

  /** Guards against a second pause of the process before it has read the data received in the first one. */
  it('does not run a request that its sender abandoned while the process was paused twice', async () => {
    const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { relayPort } = await mesh.addNode('n2');
    const sender = await connectRelay(relayPort);
    await sender.outcome(sender.request({ requestId: 'r0' }));
    sender.request({ requestId: 'r1' });
    setImmediate(() => sender.destroy());
    const blockEventLoop = (blockMs: number): void => {
      const wakeAtMs = performance.now() + blockMs;
      while (performance.now() < wakeAtMs);
    };
    // Due during the first pause, this timer runs after the clock checks and before pending data is read.
    setTimeout(() => blockEventLoop(100), 400);
    setImmediate(() => blockEventLoop(500));
    const other = await connectRelay(relayPort);
    await other.outcome(other.request({ requestId: 'r2' }));
    expect(target.heads.map((head) => /x-request-id: (\S+)/.exec(head)?.[1])).to.not.include('r1');
    other.destroy();
  });

  it('sends the remainder of a large answer as its receiver grants credit', async () => {
    const body = 'x'.repeat(BODY_WINDOW_BYTES + 3_000);
    await configureEndpoint('n2', (socket) => socket.write(rawAnswer(body)));
    const { relayPort } = await mesh.addNode('n2');
    const sender = await connectRelay(relayPort);
    const streamId = sender.request();
    const receivedBytes = (): number =>
      sender.received.reduce((sum, frame) => sum + ('bytes' in frame ? frame.bytes.length : 0), 0);
    const hasLastFrame = (): boolean =>
      sender.received.some((frame) => frame.kind === 'body' && frame.isLast);
    await until(() => receivedBytes() === BODY_WINDOW_BYTES);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect([receivedBytes(), hasLastFrame()]).to.deep.equal([BODY_WINDOW_BYTES, false]);
    for (let step = 0; step < 8; step += 1) {
      sender.send({ kind: 'credit', streamId, creditBytes: 500 });
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    await until(hasLastFrame);
    expect(receivedBytes()).to.equal(body.length);
    sender.destroy();
  });

  it('does not run a request that was cancelled while the event loop was blocked', async () => {
    const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { relayPort } = await mesh.addNode('n2');
    const sender = await connectRelay(relayPort);
    await sender.outcome(sender.request({ requestId: 'r0' }));
    const streamId = sender.request({ requestId: 'r1' });
    // Shorter than a detected pause of the process; the request has just been sent.
    setImmediate(() => {
      sender.socket.write(encodeRelayFrame({ kind: 'cancel', streamId }));
      const freeAtMs = performance.now() + 300;
      while (performance.now() < freeAtMs);
    });
    await new Promise((resolve) => setTimeout(resolve, 10));
    await sender.outcome(sender.request({ requestId: 'r2' }));
    expect(target.heads.map((head) => /x-request-id: (\S+)/.exec(head)?.[1])).to.not.include('r1');
    sender.destroy();
  });

  it('keeps serving after a request head that does not fit the text fields of a frame', async () => {
    await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { callerPort } = await mesh.addNode('n1', { maxHeaderBytes: 400 * 1024 });
    await mesh.addNode('n2');
    const sent = { headers: { 'x-long': '\u00e9'.repeat(300 * 1024) } };
    expect((await call(callerPort, sent)).headers).to.include({ 'ferryspool-verdict': 'not-run' });
    expect((await call(callerPort)).status).to.equal(200);
  });

  it('relays a 40 KB head whose bytes are each encoded as two in a frame', async () => {
    const value = '\u00e9'.repeat(40 * 1024);
    const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { callerPort } = await mesh.addNode('n1', { maxHeaderBytes: 64 * 1024 });
    await mesh.addNode('n2');
    expect((await call(callerPort, { headers: { 'x-long': value } })).status).to.equal(200);
    expect(target.heads[0]?.includes(value)).to.equal(true);
  });

  it('does not run a request that was cancelled before it was processed', async () => {
    const target = await configureEndpoint('n2', (socket) => socket.write(rawAnswer('ran')));
    const { relayPort } = await mesh.addNode('n2');
    const sender = await connectRelay(relayPort);
    const streamId = sender.request({ requestId: 'r1' });
    sender.send({ kind: 'cancel', streamId });
    await sender.outcome(sender.request({ requestId: 'r2' }));
    expect(target.heads.map((head) => /x-request-id: (\S+)/.exec(head)?.[1])).to.deep.equal(['r2']);
    sender.destroy();
  });

  it('keeps pipelined answers in order', async () => {
    const target = await configureEndpoint('n2', (socket, head) => {
      const path = head.split(' ')[1] ?? '';
      const delayMs = path === '/first' ? 30 : 0;
      setTimeout(() => socket.write(rawAnswer(path)), delayMs);
    });
    const { callerPort } = await mesh.addNode('n1');
    await mesh.addNode('n2');
    const request = (path: string, extra = ''): string =>
      `GET ${path} HTTP/1.1\r\nHost: a\r\n${extra}\r\n`;
    const text = await callRaw(
      callerPort,
      request('/first') + request('/second') + request('/third', 'Connection: close\r\n'),
    );
    expect(text.match(/\r\n\r\n\/[a-z]+/g)).to.deep.equal(
      ['/first', '/second', '/third'].map((path) => `\r\n\r\n${path}`),
    );
    expect(target.heads).to.have.length(3);
  });
});

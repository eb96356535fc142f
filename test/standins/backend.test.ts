import { once } from 'node:events';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { BackendStandIn } from '../../standins/backend/backend-stand-in.js';
import type { AnswerContent } from '../../standins/backend/answer-fault.js';
import type { BackendChange } from '../../standins/backend/backend-settings.js';
import { call, connect, control, readUntilClose, type HttpResult } from './http-client.js';

const LONG_MS = '60000';

describe('back end stand-in', () => {
  let backend: BackendStandIn;
  let port: number;
  let controlPort: number;
  let held: Socket[];

  beforeEach(async () => {
    held = [];
    backend = await BackendStandIn.start({ name: 'tiles-1', settings: { connectionCostMs: 0 } });
    ({ port, controlPort } = backend.ports);
  });

  afterEach(async () => {
    held.forEach((socket) => socket.destroy());
    await backend.stop();
  });

  const set = (change: BackendChange): Promise<unknown> =>
    control(controlPort, '/settings', change);
  const send = (id: string, headers: Record<string, string> = {}): Promise<HttpResult> =>
    call(port, '/work', { headers: { 'x-request-id': id, 'x-work-ms': '0', ...headers } });
  const cancel = async (id: string): Promise<unknown> =>
    JSON.parse((await call(port, `/cancel/${id}`, { method: 'POST' })).text);
  const outcomes = (): string[] => backend.executions().map((execution) => execution.outcome);
  const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
      await new Promise(setImmediate);
    }
  };
  /** Starts work that ends only by cancellation. */
  const hold = async (id: string): Promise<Socket> => {
    const before = backend.counters().started;
    const socket = connect(port);
    held.push(socket);
    socket.on('error', () => undefined);
    socket.write(
      `GET / HTTP/1.1\r\nhost: b\r\nx-request-id: ${id}\r\nx-work-ms: ${LONG_MS}\r\n\r\n`,
    );
    await until(() => backend.counters().started > before);
    return socket;
  };

  it('answers with its name, the request id and its load, at the size asked for', async () => {
    const result = await send('a', {
      'x-answer-bytes': '5000',
      'idempotency-key': 'k',
      'x-call-id': 'c',
    });
    const content = JSON.parse(result.text) as AnswerContent;
    expect(result.text).to.have.length(5000);
    expect(content).to.include({
      requestId: 'a',
      callId: 'c',
      backend: 'tiles-1',
      requestBytes: 0,
    });
    expect(result.headers).to.include({ 'x-request-id': 'a', 'x-load': '1/20' });
    expect(backend.executions()[0]).to.include({ callId: 'c', idempotencyKey: 'k' });
    expect(outcomes()).to.deep.equal(['finished']);
  });

  it('counts the bytes of a request body', async () => {
    const result = await call(port, '/work', { method: 'POST', body: 'x'.repeat(100_000) });
    expect(JSON.parse(result.text)).to.include({ requestBytes: 100_000 });
  });

  it('ledgers a doubled request twice', async () => {
    await send('twice');
    await send('twice');
    expect(backend.executions().map((execution) => execution.requestId)).to.deep.equal([
      'twice',
      'twice',
    ]);
  });

  const refusals: { name: string; change: BackendChange; deadlineMs?: string; status: number }[] = [
    { name: 'slots', change: { slots: 1 }, status: 503 },
    { name: 'draining', change: { draining: true }, status: 503 },
    { name: 'shed', change: { shedPercent: 100 }, status: 503 },
    { name: 'deadline', change: {}, deadlineMs: '0', status: 504 },
  ];
  for (const { name, change, deadlineMs, status } of refusals) {
    it(`refuses before starting: ${name}`, async () => {
      await hold('first');
      await set(change);
      const result = await send(
        'b',
        deadlineMs === undefined ? {} : { 'x-deadline-ms': deadlineMs },
      );
      expect(result.status).to.equal(status);
      expect(result.headers).to.include({ 'x-not-started': '1', 'retry-after': '1' });
      expect(result.headers['x-draining']).to.equal(name === 'draining' ? '1' : undefined);
      expect(backend.counters().refused).to.deep.equal({ [name]: 1 });
      expect(outcomes()).to.deep.equal(['running']);
    });
  }

  it('frees a slot before the answer has reached its caller', async () => {
    await set({ slots: 1 });
    const agent = new Agent({ keepAlive: true });
    for (let turn = 0; turn < 50; turn += 1) {
      const headers = { 'x-work-ms': '0', 'x-answer-bytes': '100000' };
      expect((await call(port, '/work', { agent, headers })).status).to.equal(200);
    }
    agent.destroy();
  });

  it('lets work in flight finish while it drains, then stops', async () => {
    const answered = send('slow', { 'x-work-ms': '30' });
    await until(() => backend.counters().started === 1);
    const stopped = backend.drainAndStop(0);
    expect((await answered).status).to.equal(200);
    await stopped;
    expect(outcomes()).to.deep.equal(['finished']);
  });

  it('closes a connection over the limit at once and counts it', async () => {
    await set({ maxConnections: 1 });
    const first = connect(port);
    held.push(first);
    await until(() => backend.counters().connections === 1);
    expect(await readUntilClose(connect(port))).to.equal('');
    expect(backend.counters()).to.include({ connectionsRefused: 1, peakConnections: 1 });
  });

  it('does not start a request whose connection is not ready yet', async () => {
    await set({ connectionCostMs: 60_000 });
    const socket = connect(port);
    held.push(socket);
    socket.write('GET / HTTP/1.1\r\nhost: b\r\nx-request-id: early\r\n\r\n');
    await set({ connectionCostMs: 0 });
    let outcome: unknown;
    do {
      outcome = await cancel('early');
    } while ((outcome as { outcome: string }).outcome === 'unknown');
    expect(outcome).to.deep.equal({ outcome: 'not-started' });
    expect(backend.counters().started).to.equal(0);
  });

  it('takes longer while cold', async () => {
    await set({ coldStartMs: 60_000, coldStartFactor: 1_000 });
    await control(controlPort, '/restart-cold', {});
    const result = await send('cold', { 'x-work-ms': '10', 'x-deadline-ms': '15' });
    expect(result.status).to.equal(504);
  });

  describe('cancellation', () => {
    it('stops running work and records it', async () => {
      const socket = await hold('a');
      const answer = once(socket, 'data');
      expect(await cancel('a')).to.deep.equal({ outcome: 'cancelled' });
      expect(String((await answer)[0])).to.match(/^HTTP\/1.1 499 /);
      expect(outcomes()).to.deep.equal(['cancelled']);
    });

    it('takes a closed connection as one', async () => {
      (await hold('a')).destroy();
      await until(() => outcomes()[0] === 'cancelled');
      await until(() => backend.counters().inFlight === 0);
    });

    it('says that finished work had finished', async () => {
      await send('a');
      expect(await cancel('a')).to.deep.equal({ outcome: 'finished' });
    });

    it('bars a request that it has never seen', async () => {
      expect(await cancel('late')).to.deep.equal({ outcome: 'unknown' });
      const result = await send('late');
      expect(result.status).to.equal(503);
      expect(result.headers).to.include({ 'x-not-started': '1' });
      expect(backend.counters().started).to.equal(0);
    });

    it('bars a request that was refused', async () => {
      await set({ draining: true });
      await send('refused');
      expect(await cancel('refused')).to.deep.equal({ outcome: 'not-started' });
      await set({ draining: false });
      expect((await send('refused')).status).to.equal(503);
    });

    it('bars a request whose body is still coming', async () => {
      const socket = connect(port);
      held.push(socket);
      const received = readUntilClose(socket);
      socket.write(
        'POST / HTTP/1.1\r\nhost: b\r\nx-request-id: part\r\ncontent-length: 2\r\n\r\nx',
      );
      await until(() => backend.counters().inFlight === 1);
      expect(await cancel('part')).to.deep.equal({ outcome: 'not-started' });
      socket.end('x');
      expect(await received).to.match(/^HTTP\/1.1 503 [^]*x-not-started: 1/);
      expect(backend.counters().started).to.equal(0);
    });
  });

  it('abandons work that cannot end before its deadline', async () => {
    const result = await send('a', { 'x-work-ms': LONG_MS, 'x-deadline-ms': '5' });
    expect(result.status).to.equal(504);
    expect(result.headers['x-not-started']).to.equal(undefined);
    expect(outcomes()).to.deep.equal(['abandoned']);
    expect(await cancel('a')).to.deep.equal({ outcome: 'finished' });
  });

  const reports: { name: string; change: BackendChange; load: object; health: number }[] = [
    { name: 'the truth', change: {}, load: { inFlight: 1, slots: 20 }, health: 200 },
    {
      name: 'a lie',
      change: { reportedLoad: { inFlight: 0, slots: 99 }, reportedHealthy: false },
      load: { inFlight: 0, slots: 99 },
      health: 503,
    },
    {
      name: 'old news',
      change: { loadLagMs: 60_000 },
      load: { inFlight: 0, slots: 20 },
      health: 200,
    },
    {
      name: 'health while it drains',
      change: { draining: true, reportedHealthy: true },
      load: { inFlight: 1, slots: 20 },
      health: 200,
    },
  ];
  for (const { name, change, load, health } of reports) {
    it(`reports ${name}`, async () => {
      await hold('a');
      await set(change);
      expect(JSON.parse((await call(port, '/load')).text)).to.deep.equal(load);
      expect((await call(port, '/health')).status).to.equal(health);
    });
  }

  const BODY_START = /\r\n\r\n\{"requestId"/;
  const faults = [
    { fault: 'reset-before-start', ran: 0, pattern: /^$/ },
    { fault: 'reset-before-answer', ran: 1, pattern: /^$/ },
    { fault: 'reset-before-body', ran: 1, pattern: /^HTTP\/1.1 200 [^]*\r\n\r\n$/ },
    { fault: 'reset-mid-body', ran: 1, pattern: BODY_START, bodyBytes: 128 },
    { fault: 'short-body', ran: 1, pattern: BODY_START, bodyBytes: 128 },
    { fault: 'extra-bytes', ran: 1, pattern: /xxx"\}HTTP\/1.1 200 OK\r\n[^]*wrong$/ },
    { fault: 'slow-body', ran: 1, pattern: BODY_START, bodyBytes: 256 },
    { fault: 'informational-first', ran: 1, pattern: /^HTTP\/1.1 103 [^]*HTTP\/1.1 200 / },
    { fault: 'never-answer', ran: 1, pattern: /^$/ },
  ];
  for (const { fault, ran, pattern, bodyBytes } of faults) {
    it(`has the fault ${fault} for one request`, async () => {
      await control(controlPort, '/faults', { fault, delayMs: 0 });
      const socket = connect(port);
      const received = readUntilClose(socket);
      socket.write('GET / HTTP/1.1\r\nhost: b\r\nconnection: close\r\nx-work-ms: 0\r\n\r\n');
      if (fault === 'never-answer') {
        await until(() => outcomes()[0] === 'finished');
        socket.destroy();
      }
      const text = await received;
      expect(text).to.match(pattern);
      expect(backend.counters().started).to.equal(ran);
      if (bodyBytes !== undefined) {
        expect(text.slice(text.indexOf('\r\n\r\n') + 4)).to.have.length(bodyBytes);
      }
      expect((await send('next')).status).to.equal(200);
    });
  }

  it('can answer late although it confirmed a cancellation', async () => {
    await control(controlPort, '/faults', { fault: 'late-after-cancel', delayMs: 1 });
    const socket = await hold('a');
    const answer = once(socket, 'data');
    expect(await cancel('a')).to.deep.equal({ outcome: 'cancelled' });
    expect(String((await answer)[0])).to.match(/^HTTP\/1.1 200 [^]*"requestId":"a"/);
    expect(outcomes()).to.deep.equal(['cancelled']);
  });
});

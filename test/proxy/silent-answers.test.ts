/**
 * Guards against requests that get no final answer after their time-out because an answer has begun: endpoints that fall
 * silent in the middle of an answer or send without end, and nodes beside them that stop.
 */
import net, { type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import type { RequestDecision } from '../../src/proxy/request-log.js';
import { flood } from '../support/endless-sender.js';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type CallerResult,
  type RawEndpoint,
} from './rig.js';
import { FaultyLink } from './relay/faulty-link.js';

const DEADLINE_MS = 500;
/** Time after the time-out of its route in which a request has to end, in milliseconds. */
const MARGIN_MS = 500;
/** Exceeds the time for which a slot is kept after its request was ended, in milliseconds. */
const SLOT_HOLD_MS = 1_500;
const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const SMALL = `${OK}Content-Length: 9000\r\n\r\n`;
const LARGE = `${OK}Content-Length: 200000\r\n\r\n`;

/** What an endpoint sends of an answer before it falls silent, and whether a part of that is passed on. */
const BEGUN_ANSWERS = [
  { what: 'the head of a short answer', bytes: SMALL, isPassedOn: false },
  { what: 'half of a short answer', bytes: SMALL + 'x'.repeat(4_500), isPassedOn: false },
  { what: 'the head of a long answer', bytes: LARGE, isPassedOn: false },
  { what: 'half of a long answer', bytes: LARGE + 'x'.repeat(100_000), isPassedOn: true },
  { what: 'a chunk of an answer', bytes: `${CHUNKED}5\r\nhello\r\n`, isPassedOn: true },
];

describe('an answer that has begun and does not end', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let link: FaultyLink | undefined;
  let log: RequestDecision[];
  let endpointSockets: Socket[];
  let send: (socket: Socket) => void;

  beforeEach(() => {
    mesh = new TestMesh();
    log = [];
    endpointSockets = [];
    link = undefined;
  });

  afterEach(() => {
    mesh.close();
    link?.close();
    target.close();
  });

  /** Starts an endpoint on `machine` and two nodes; returns the caller port of the first one. */
  async function start(machine: string, route: Record<string, unknown> = {}): Promise<number> {
    target = await startRawEndpoint(
      (socket) => {
        endpointSockets.push(socket);
        send(socket);
      },
      () => undefined,
    );
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false, ...route }),
      echoEndpoint('e1', target.port, { machine, slots: 1 }),
    ]);
    const requestLog = { record: (entry: RequestDecision) => void log.push(entry) };
    const { callerPort } = await mesh.addNode('n1', {}, undefined, requestLog);
    const owner = await mesh.addNode('n2', {}, undefined, requestLog);
    link = await FaultyLink.start(owner.relayPort);
    mesh.nodes[1] = { ...owner, relayPort: link.port };
    return callerPort;
  }

  async function timedCall(port: number): Promise<CallerResult & { readonly tookMs: number }> {
    const startedAtMs = performance.now();
    const result = await call(port, { method: 'POST' });
    return { ...result, tookMs: performance.now() - startedAtMs };
  }

  async function expectNextServed(port: number): Promise<void> {
    send = (socket) => socket.write(rawAnswer('ran'));
    await until(() => endpointSockets.every(({ destroyed }) => destroyed));
    await delay(SLOT_HOLD_MS);
    expect(await call(port, { method: 'POST' })).to.include({ status: 200, body: 'ran' });
  }

  for (const { path, machine } of [
    { path: 'direct', machine: 'n1' },
    { path: 'relayed', machine: 'n2' },
  ]) {
    for (const { what, bytes, isPassedOn } of BEGUN_ANSWERS) {
      it(`ends at the time-out of its route: ${what}, ${path}`, async () => {
        send = (socket) => socket.write(bytes);
        const port = await start(machine);
        const { status, body, isWhole, tookMs } = await timedCall(port);
        expect(tookMs).to.be.within(DEADLINE_MS - 50, DEADLINE_MS + MARGIN_MS);
        if (isPassedOn) {
          expect(isWhole).to.equal(false);
        } else {
          expect({ status, isWhole }).to.deep.equal({ status: 504, isWhole: true });
          expect(body).to.contain('"verdict":"may-have-run"');
        }
        const [overdue] = log.filter(({ event }) => event === 'answer-overdue');
        expect(overdue).to.include({ answer: isPassedOn ? 'forwarded' : 'begun' });
        expect(overdue?.quietMs).to.be.above(DEADLINE_MS / 2);
        await expectNextServed(port);
      });
    }

    it(`ends soon after the time-out of its route, still sent: ${path}`, async () => {
      send = (socket) => flood(socket, CHUNKED, `1000\r\n${'x'.repeat(4_096)}\r\n`);
      const { isWhole, tookMs } = await timedCall(await start(machine));
      expect(tookMs).to.be.within(DEADLINE_MS, DEADLINE_MS + MARGIN_MS);
      expect(isWhole).to.equal(false);
      await until(() => endpointSockets.every(({ destroyed }) => destroyed));
    });

    it(`is delivered if it is completed right after the time-out: ${path}`, async () => {
      send = (socket) => {
        const parts = 12;
        socket.write(`${OK}Content-Length: ${parts * 100}\r\n\r\n`);
        for (let part = 1; part <= parts; part += 1) {
          setTimeout(() => socket.write('y'.repeat(100)), (part * (DEADLINE_MS + 100)) / parts);
        }
      };
      const { status, isWhole } = await timedCall(await start(machine));
      expect({ status, isWhole }).to.deep.equal({ status: 200, isWhole: true });
    });

    it(`is delivered to a caller that reads it late: ${path}`, async () => {
      const sizeBytes = 24 * 1024 * 1024;
      send = (socket) => {
        socket.write(`${OK}Content-Length: ${sizeBytes}\r\n\r\n`);
        socket.write(Buffer.alloc(sizeBytes, 'z'));
      };
      const port = await start(machine);
      const caller = net.connect(port, '127.0.0.1');
      caller.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
      caller.pause();
      await delay(2 * DEADLINE_MS);
      let receivedBytes = 0;
      caller.on('data', (chunk: Buffer) => (receivedBytes += chunk.length));
      caller.resume();
      await until(() => receivedBytes >= sizeBytes || caller.destroyed);
      expect(receivedBytes).to.be.at.least(sizeBytes);
      caller.destroy();
    });
  }

  it('ends at the time-out of its route if the node beside the endpoint falls silent', async () => {
    send = (socket) => {
      socket.write(SMALL + 'x'.repeat(4_500));
      setTimeout(() => link?.dropTraffic('both'), 100);
    };
    const { status, body, tookMs } = await timedCall(await start('n2'));
    expect(tookMs).to.be.within(DEADLINE_MS - 50, DEADLINE_MS + MARGIN_MS);
    expect(status).to.equal(504);
    expect(body).to.contain('"verdict":"may-have-run"');
    await until(() => endpointSockets.every(({ destroyed }) => destroyed));
  });

  it('is told in the log of both nodes when its caller leaves', async () => {
    send = (socket) => socket.write(SMALL);
    const port = await start('n2', { timeoutMs: 10_000 });
    const caller = net.connect(port, '127.0.0.1');
    caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await delay(300);
    caller.destroy();
    const stateOf = (name: string) => log.find(({ event }) => event === name)?.answer;
    await until(() => stateOf('attempt-abandoned') !== undefined);
    expect(stateOf('request-abandoned')).to.equal('begun');
    expect(stateOf('attempt-abandoned')).to.equal('forwarded');
  });
});

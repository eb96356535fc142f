/**
 * Guards against endpoints that send bytes without end that are no answer: they must not be read as fast as they are
 * sent, and must not keep the caller waiting past its deadline.
 */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
} from './rig.js';
import { drip, ENDLESS_FORMS, flood } from '../support/endless-sender.js';

const DEADLINE_MS = 400;
/** Time after the deadline in which a request has to end, in milliseconds. */
const MARGIN_MS = 900;
/** Buffers of two loopback sockets, and what is read before a connection is closed, in bytes. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;
describe('an answer without end', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let sockets: Socket[];

  beforeEach(() => {
    mesh = new TestMesh();
    sockets = [];
  });

  afterEach(() => {
    mesh.close();
    target.close();
  });

  /** Bytes that the endpoint could pass to its sockets. */
  function sentBytes(): number {
    return sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);
  }

  async function start(
    machine: string,
    send: (socket: Socket) => void,
    cancelOutcome?: string,
  ): Promise<number> {
    target = await startRawEndpoint(
      (socket) => {
        sockets.push(socket);
        send(socket);
      },
      () => cancelOutcome,
    );
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', target.port, { machine, slots: 1 }),
    ]);
    const { callerPort } = await mesh.addNode('n1');
    await mesh.addNode('n2');
    return callerPort;
  }

  async function expectEnd(port: number, isAnswered: boolean): Promise<void> {
    const startedAtMs = performance.now();
    const { status, body, isWhole } = await call(port, { method: 'POST' });
    expect(performance.now() - startedAtMs).to.be.lessThan(DEADLINE_MS + MARGIN_MS);
    const isRefused = status === 503;
    if (isAnswered) {
      expect({ status, body }).to.deep.equal({ status: 200, body: 'ran' });
    } else if (isWhole && !isRefused) {
      expect(status).to.be.oneOf([502, 504]);
      expect(body).to.contain('"verdict":"may-have-run"');
    }
  }

  for (const { path, machine } of [
    { path: 'direct', machine: 'n1' },
    { path: 'relayed', machine: 'n2' },
  ]) {
    for (const { form, first, unit, isAnswered = false } of ENDLESS_FORMS) {
      it(`is cut off, sent fast: ${form}, ${path}`, async () => {
        const port = await start(machine, (socket) => flood(socket, first, unit));
        await expectEnd(port, isAnswered);
        await until(() => sockets.every(({ destroyed }) => destroyed));
        expect(sentBytes()).to.be.lessThan(MAX_SENT_BYTES);
      });

      it(`is cut off, sent slowly: ${form}, ${path}`, async () => {
        const port = await start(machine, (socket) => drip(socket, first, unit));
        await expectEnd(port, isAnswered);
        await until(() => sockets.every(({ destroyed }) => destroyed));
      });
    }
  }

  it('leaves the slot to the next request once the endpoint has confirmed its end', async () => {
    let isEndless = true;
    const port = await start(
      'n1',
      (socket) => (isEndless ? flood(socket, '', '\r\n') : socket.write(rawAnswer('ran'))),
      'cancelled',
    );
    await call(port, { method: 'POST' });
    isEndless = false;
    expect(await call(port, { method: 'POST' })).to.include({ status: 200, body: 'ran' });
  });
});

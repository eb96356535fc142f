/**
 * Callers that read late and go on sending while a node closes their connection.
 *
 * A node that was told to stop wrote the last answer and closed the socket at once. What its caller had sent
 * behind was unread then, or arrived at a socket that was gone, and the system answered with a reset: the
 * caller, which was just writing, got the error before it had read the answers that had arrived, and what was
 * still on its way was thrown away. In a soak of real processes with 8 to 16 nodes, 18 answers that back ends
 * had made in full were lost so, on 14 connections; each time the caller had written 0.1 ms to 0.4 ms before,
 * and none was lost where callers read at once.
 */
import net, { type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
  type TestNode,
} from './rig.js';

const READ = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
/** More than a node may keep in memory, and less than the system does for a caller that does not read. */
const LARGE_BYTES = 400_000;
const UPLOAD_BYTES = 360_000;
/** Time that the endpoint takes, in milliseconds. */
const WORK_MS = 60;
/** Time after which the caller begins to read, in milliseconds, and time between two of its writes. */
const READS_AFTER_MS = 400;
const WRITES_EACH_MS = 20;

interface Caller {
  readonly socket: Socket;
  /** Everything that it has read. */
  text: string;
  error: string | undefined;
  isClosed: boolean;
}

describe('a caller that reads late and goes on sending', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let node: TestNode;
  let answerBytes: number;
  const callers: Caller[] = [];

  beforeEach(async () => {
    mesh = new TestMesh();
    answerBytes = 100;
    target = await startRawEndpoint((socket) => {
      setTimeout(() => socket.write(rawAnswer('.'.repeat(answerBytes))), WORK_MS);
    });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    node = await mesh.addNode('n1', { stopNoticeMs: 50, stopAcceptMs: 200, stopTimeoutMs: 1_500 });
  });

  afterEach(() => {
    callers.splice(0).forEach(({ socket }) => socket.destroy());
    mesh.close();
    target.close();
  });

  /** A caller that does not read yet. */
  function connect(): Caller {
    const socket = net.connect({ port: node.callerPort, host: '127.0.0.1' });
    const caller: Caller = { socket, text: '', error: undefined, isClosed: false };
    socket.on('error', ({ code }: NodeJS.ErrnoException) => (caller.error = code));
    socket.once('close', () => (caller.isClosed = true));
    callers.push(caller);
    return caller;
  }

  /** Reads from now on. */
  function read(caller: Caller): void {
    caller.socket.on('data', (chunk) => (caller.text += chunk.toString('latin1')));
  }

  /** Sends further reads until it has read for the first time, as callers do that write in turns of their own. */
  async function sendOnThenRead(caller: Caller): Promise<void> {
    for (let waitedMs = 0; waitedMs < READS_AFTER_MS; waitedMs += WRITES_EACH_MS) {
      caller.socket.write(READ);
      await delay(WRITES_EACH_MS);
    }
    read(caller);
    await until(() => caller.isClosed);
  }

  function wholeAnswers(text: string, bytes: number): number {
    return text.split('.'.repeat(bytes)).length - 1;
  }

  for (const { size, bytes } of [
    { size: 'small', bytes: 100 },
    { size: 'large', bytes: LARGE_BYTES },
  ]) {
    it(`gets the ${size} answer with which a stopping node closes its connection`, async () => {
      answerBytes = bytes;
      const caller = connect();
      caller.socket.write(READ);
      await until(() => target.heads.length === 1);
      const stopped = node.proxy.stop();
      await delay(2 * WORK_MS);
      await sendOnThenRead(caller);
      expect({ error: caller.error, answers: wholeAnswers(caller.text, bytes) }).to.deep.equal({
        error: undefined,
        answers: 1,
      });
      await stopped;
    });
  }

  it('gets the answers before the one that closes its connection too', async () => {
    const caller = connect();
    caller.socket.write(READ.repeat(3));
    await until(() => target.heads.length === 3);
    const stopped = node.proxy.stop();
    await delay(2 * WORK_MS);
    await sendOnThenRead(caller);
    expect(wholeAnswers(caller.text, answerBytes)).to.equal(3);
    await stopped;
  });

  it('gets the answer that came just before a stopping node closed its idle connection', async () => {
    const caller = connect();
    caller.socket.write(READ);
    await until(() => node.counters.get('ferryspool_requests_total') === 1);
    await delay(2 * WORK_MS);
    const stopped = node.proxy.stop();
    await delay(200);
    await sendOnThenRead(caller);
    expect(wholeAnswers(caller.text, answerBytes)).to.equal(1);
    await stopped;
  });

  it('gets the refusal of an upload that it goes on sending', async () => {
    mesh.configure([]);
    const caller = connect();
    caller.socket.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`);
    const pieces = READS_AFTER_MS / WRITES_EACH_MS;
    for (let sent = 0; sent < pieces; sent += 1) {
      caller.socket.write('.'.repeat(UPLOAD_BYTES / pieces));
      await delay(WRITES_EACH_MS);
    }
    read(caller);
    await until(() => caller.isClosed);
    expect(caller.text).to.match(/^HTTP\/1\.1 404 /);
  });

  it('gets the answers before one that breaks off', async () => {
    target.close();
    target = await startRawEndpoint((socket, _head, index) => {
      const head = 'HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n';
      const answer =
        index === 1 ? rawAnswer('.'.repeat(answerBytes)) : `${head}${'-'.repeat(60_000)}`;
      setTimeout(() => (index === 1 ? socket.write(answer) : socket.end(answer)), WORK_MS);
    });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    const caller = connect();
    caller.socket.write(READ);
    await until(() => target.heads.length === 1);
    caller.socket.write(READ);
    await delay(3 * WORK_MS);
    await sendOnThenRead(caller);
    expect(wholeAnswers(caller.text, answerBytes)).to.equal(1);
    expect(caller.text).not.to.contain('-'.repeat(400_000));
  });
});

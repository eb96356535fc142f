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
const ANSWER_BYTES = 100;
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
  const callers: Caller[] = [];

  beforeEach(async () => {
    mesh = new TestMesh();
    target = await startRawEndpoint((socket) => {
      setTimeout(() => socket.write(rawAnswer('.'.repeat(ANSWER_BYTES))), WORK_MS);
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

  function wholeAnswers(text: string): number {
    return text.split('.'.repeat(ANSWER_BYTES)).length - 1;
  }

  it('gets the answer with which a stopping node closes its connection', async () => {
    const caller = connect();
    caller.socket.write(READ);
    await until(() => target.heads.length === 1);
    const stopped = node.proxy.stop();
    await delay(2 * WORK_MS);
    await sendOnThenRead(caller);
    expect({ error: caller.error, answers: wholeAnswers(caller.text) }).to.deep.equal({
      error: undefined,
      answers: 1,
    });
    await stopped;
  });

  it('gets the answers before the one that closes its connection too', async () => {
    const caller = connect();
    caller.socket.write(READ.repeat(3));
    await until(() => target.heads.length === 3);
    const stopped = node.proxy.stop();
    await delay(2 * WORK_MS);
    await sendOnThenRead(caller);
    expect(wholeAnswers(caller.text)).to.equal(3);
    await stopped;
  });
});

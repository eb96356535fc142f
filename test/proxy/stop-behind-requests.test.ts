/**
 * A planned stop under callers that always have one more request behind the one that is answered.
 *
 * The answer that was to close such a connection found a request behind it, and kept the connection open; what
 * came behind was begun as well, and so on, until the stop refused new work. In soaks of real processes with
 * callers that send up to six reads behind each other, the longest stop took 5,455 ms of the 6,000 that a node
 * has: whatever is late then, a timer or a processor, is a loss. What comes behind others once a stop has begun
 * is not begun: its caller sends it again elsewhere.
 */
import net, { type Socket } from 'node:net';
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
const WORK_MS = 100;
/** Requests that have come before the stop. */
const FIRST_REQUESTS = 3;
/** Bounds of the stop, in milliseconds: callers that leave end it after the first, others after the second. */
const NOTICE_MS = 100;
const ACCEPT_MS = 2_000;
const LIMITS = {
  stopNoticeMs: NOTICE_MS,
  stopAcceptMs: ACCEPT_MS,
  stopTimeoutMs: 3_000,
  stopQuietMs: 30,
};

describe('a planned stop under a caller with requests behind each other', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let node: TestNode;
  let socket: Socket;
  let text: string;
  let answerAt: (idx: number) => number;

  beforeEach(async () => {
    mesh = new TestMesh();
    answerAt = () => WORK_MS;
    target = await startRawEndpoint((endpoint, _head, idx) => {
      setTimeout(() => endpoint.write(rawAnswer(`answer ${idx}.`)), answerAt(idx));
    });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    node = await mesh.addNode('n1', LIMITS);
    socket = net.connect({ port: node.callerPort, host: '127.0.0.1' });
    socket.on('error', () => undefined);
    text = '';
  });

  afterEach(() => {
    socket.destroy();
    mesh.close();
    target.close();
  });

  /** Sends a request before the one before it is answered, until it is told that the connection closes. */
  function keepSending(): void {
    const timer = setInterval(() => socket.write(READ), WORK_MS / 2);
    socket.once('close', () => clearInterval(timer));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (text.includes('Connection: close')) {
        clearInterval(timer);
      }
    });
  }

  it('ends once what was begun is answered', async () => {
    keepSending();
    await until(() => target.heads.length > FIRST_REQUESTS);
    const beganAtMs = performance.now();
    await node.proxy.stop();
    expect(performance.now() - beganAtMs).to.be.below(ACCEPT_MS / 2);
    expect(text).to.match(/Connection: close\r\n[^]*answer \d+\.$/);
  });

  it('answers all that it has begun, and begins nothing behind it', async () => {
    keepSending();
    await until(() => target.heads.length > FIRST_REQUESTS);
    await node.proxy.stop();
    for (let idx = 1; idx <= target.heads.length; idx += 1) {
      expect(text).to.include(`answer ${idx}.`);
    }
    expect(text).not.to.include(' 503 ');
  });

  it('begins what comes behind an answer that is ready and did not say that it closes', async () => {
    answerAt = (idx) => (idx === 1 ? 4 * WORK_MS : 0);
    socket.on('data', (chunk) => (text += chunk.toString('latin1')));
    socket.write(READ.repeat(2));
    await until(() => target.heads.length === 2);
    await new Promise((resolve) => setTimeout(resolve, WORK_MS));
    const stopped = node.proxy.stop();
    socket.write(READ);
    await stopped;
    expect(text).to.match(/answer 1\.[^]*answer 2\.[^]*answer 3\.$/);
  });
});

/**
 * A planned stop with callers that always have another pipelined request pending.
 *
 * An answer that would close such a connection keeps it open because of the pending request, until new work is
 * refused. Requests that were started are answered, later ones get the verdict `not-run`, and requests sent after
 * the last answer are not started: their callers retry them elsewhere. Refusing to start pipelined requests from the
 * beginning of the stop does not help: callers reconnect to the same node until the platform sends them elsewhere,
 * so stops take as long (at most 5.6 s in both cases) and twice as many requests are retried.
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

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const WORK_MS = 100;
/** Number of requests that arrive before the stop. */
const FIRST_REQUESTS = 3;
/** Limits of the stop in milliseconds: it ends after the first if callers disconnect, else after the second. */
const NOTICE_MS = 100;
const ACCEPT_MS = 2_000;
const LIMITS = {
  stopNoticeMs: NOTICE_MS,
  stopAcceptMs: ACCEPT_MS,
  stopTimeoutMs: 3_000,
  stopQuietMs: 30,
};

describe('a planned stop with a caller that pipelines requests', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let node: TestNode;
  let socket: Socket;
  let text: string;
  let workMsFor: (idx: number) => number;

  beforeEach(async () => {
    mesh = new TestMesh();
    workMsFor = () => WORK_MS;
    target = await startRawEndpoint((endpoint, _head, idx) => {
      setTimeout(() => endpoint.write(rawAnswer(`answer ${idx}.`)), workMsFor(idx));
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

  /** Sends each request before the previous one is answered, until an answer has `Connection: close`. */
  function keepSending(): void {
    const timer = setInterval(() => socket.write(REQUEST), WORK_MS / 2);
    socket.once('close', () => clearInterval(timer));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (text.includes('Connection: close')) {
        clearInterval(timer);
      }
    });
  }

  it('ends once new work is refused and all started requests are answered', async () => {
    keepSending();
    await until(() => target.heads.length > FIRST_REQUESTS);
    const startedAtMs = performance.now();
    await node.proxy.stop();
    expect(performance.now() - startedAtMs).to.be.below(ACCEPT_MS + 5 * WORK_MS);
    expect(text).to.match(/Connection: close\r\n[^]*$/);
  });

  it('answers the requests in order, up to the one that closes the connection', async () => {
    keepSending();
    await until(() => target.heads.length > FIRST_REQUESTS);
    await node.proxy.stop();
    const answers = [...text.matchAll(/answer (\d+)\./g)].map(([, idx]) => Number(idx));
    expect(answers).to.deep.equal(target.heads.map((_head, idx) => idx + 1));
    expect(text.split('Connection: close')).to.have.length(2);
    expect(text.split(' 503 ').length - 1).to.equal(text.split('verdict: not-run').length - 1);
  });

  it('starts a request that is pipelined behind a queued answer without Connection: close', async () => {
    workMsFor = (idx) => (idx === 1 ? 4 * WORK_MS : 0);
    socket.on('data', (chunk) => (text += chunk.toString('latin1')));
    socket.write(REQUEST.repeat(2));
    await until(() => target.heads.length === 2);
    await new Promise((resolve) => setTimeout(resolve, WORK_MS));
    const stopped = node.proxy.stop();
    socket.write(REQUEST);
    await stopped;
    expect(text).to.match(/answer 1\.[^]*answer 2\.[^]*answer 3\.$/);
  });
});

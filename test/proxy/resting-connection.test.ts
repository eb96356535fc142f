/**
 * Caller connections without traffic, such as those whose peer has become unresponsive permanently, are closed
 * after the configured idle timeout plus a margin.
 */
import { once } from 'node:events';
import net, { type Socket } from 'node:net';
import { expect } from 'chai';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
  type TestNode,
} from './rig.js';

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 100 };
/** The idle timeout that callers rely on, in milliseconds. */
const IDLE_TIMEOUT_MS = 200;
/** Limit for closing an idle connection, with the margin and the interval of header timeout checks. */
const CLOSED_WITHIN_MS = 2_800;
const COMPLETE_REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const PARTIAL_HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n';
const PARTIAL_BODY =
  'POST / HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 300\r\nContent-Length: 99\r\n\r\nand no more';

describe('a caller connection without further traffic', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let node: TestNode;
  let socket: Socket;

  beforeEach(async () => {
    mesh = new TestMesh();
    target = await startRawEndpoint((endpointSocket) => endpointSocket.write(rawAnswer('ok')));
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);
    node = await mesh.addNode('n1');
    node.proxy.applyCallerLimits({ ...LIMITS, idleTimeoutMs: IDLE_TIMEOUT_MS });
  });

  afterEach(() => {
    socket.destroy();
    mesh.close();
    target.close();
  });

  const cases = [
    { when: 'before its first request', bytes: '' },
    { when: 'in the middle of a head', bytes: PARTIAL_HEAD },
    { when: 'in the middle of a body', bytes: PARTIAL_BODY },
    { when: 'after an answer', bytes: COMPLETE_REQUEST },
    {
      when: 'in the middle of a head after an answer',
      bytes: `${COMPLETE_REQUEST}${PARTIAL_HEAD}`,
    },
  ];
  for (const { when, bytes } of cases) {
    it(`is closed after its timeout: ${when}`, async () => {
      const startedAtMs = performance.now();
      socket = net.connect(node.callerPort, '127.0.0.1').resume();
      socket.on('error', () => undefined);
      socket.write(bytes);
      const closed = once(socket, 'close').then(() => performance.now() - startedAtMs);
      const isOpen = new Promise((resolve) =>
        setTimeout(resolve, CLOSED_WITHIN_MS, Infinity).unref(),
      );
      const openMs = await Promise.race([closed, isOpen]);
      expect(openMs).to.be.within(IDLE_TIMEOUT_MS, CLOSED_WITHIN_MS);
    }).timeout(2 * CLOSED_WITHIN_MS);
  }

  it('is kept for the longest idle timeout that callers may still rely on', async () => {
    node.proxy.applyCallerLimits({ ...LIMITS, idleTimeoutMs: CLOSED_WITHIN_MS });
    node.proxy.applyCallerLimits({ ...LIMITS, idleTimeoutMs: IDLE_TIMEOUT_MS });
    socket = net.connect(node.callerPort, '127.0.0.1').resume();
    socket.write(COMPLETE_REQUEST);
    await new Promise((resolve) => setTimeout(resolve, CLOSED_WITHIN_MS));
    expect(socket.readyState).to.equal('open');
  }).timeout(2 * CLOSED_WITHIN_MS);
});

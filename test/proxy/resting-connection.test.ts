/**
 * How long a node keeps connections of callers on which nothing comes, such as those that went silent for
 * good: for the idle time of the configuration and the margin beyond it, and no longer.
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
/** The idle time that callers count on, in milliseconds. */
const IDLE_TIMEOUT_MS = 200;
/** When a resting connection must be gone, with room for the margin and for looks at late heads. */
const GONE_MS = 2_800;
const WHOLE = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const CUT_HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n';
const CUT_BODY =
  'POST / HTTP/1.1\r\nHost: a\r\nx-deadline-ms: 300\r\nContent-Length: 99\r\n\r\nand no more';

describe('a connection of a caller on which nothing comes any more', () => {
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
    { when: 'in the middle of a head', bytes: CUT_HEAD },
    { when: 'in the middle of a body', bytes: CUT_BODY },
    { when: 'after an answer', bytes: WHOLE },
    { when: 'in the middle of a head behind an answer', bytes: `${WHOLE}${CUT_HEAD}` },
  ];
  for (const { when, bytes } of cases) {
    it(`is closed after its time: ${when}`, async () => {
      const beganAtMs = performance.now();
      socket = net.connect(node.callerPort, '127.0.0.1').resume();
      socket.on('error', () => undefined);
      socket.write(bytes);
      const closed = once(socket, 'close').then(() => performance.now() - beganAtMs);
      const isOpen = new Promise((resolve) => setTimeout(resolve, GONE_MS, Infinity).unref());
      const keptMs = await Promise.race([closed, isOpen]);
      expect(keptMs).to.be.within(IDLE_TIMEOUT_MS, GONE_MS);
    }).timeout(2 * GONE_MS);
  }

  it('is kept for the longest idle time that callers may still count on', async () => {
    node.proxy.applyCallerLimits({ ...LIMITS, idleTimeoutMs: GONE_MS });
    node.proxy.applyCallerLimits({ ...LIMITS, idleTimeoutMs: IDLE_TIMEOUT_MS });
    socket = net.connect(node.callerPort, '127.0.0.1').resume();
    socket.write(WHOLE);
    await new Promise((resolve) => setTimeout(resolve, GONE_MS));
    expect(socket.readyState).to.equal('open');
  }).timeout(2 * GONE_MS);
});

/** Guards against endpoints that are not told of callers that have left, because many leave at the same moment. */
import net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import {
  echoEndpoint,
  echoService,
  startRawEndpoint,
  TestMesh,
  until,
  type RawEndpoint,
} from './rig.js';

const CALLERS = 40;
const LEAVE_TAKES_EFFECT_MS = 500;
/** Time for which the endpoint works on a cancellation, in milliseconds. */
const CANCEL_MS = 20;

describe('callers that leave at the same moment', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;

  beforeEach(async () => {
    target = await startRawEndpoint(
      () => undefined,
      () => 'cancelled',
      CANCEL_MS,
    );
    mesh = new TestMesh();
  });

  afterEach(() => {
    mesh.close();
    target.close();
  });

  it('end the work of an endpoint on all of their requests', async () => {
    const endpoint = echoEndpoint('e1', target.port, { machine: 'n1', slots: CALLERS });
    mesh.configure([...echoService({ timeoutMs: 8_000 }), endpoint]);
    const { callerPort } = await mesh.addNode('n1');
    const callers = Array.from({ length: CALLERS }, () => {
      const socket = net.connect(callerPort, '127.0.0.1');
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
      return socket;
    });
    await until(() => target.heads.length === CALLERS);
    callers.forEach((socket) => socket.destroy());
    await delay(LEAVE_TAKES_EFFECT_MS);
    expect(target.cancelled).to.have.length(CALLERS);
  });
});

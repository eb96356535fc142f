/** Pooled connections to an endpoint that become unresponsive permanently while new connections work. */
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import type { EndpointStateReport } from '../../src/proxy/endpoint-states.js';
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
import { FaultyLink } from './relay/faulty-link.js';

const IDLE_MS = 200;
const DEADLINE_MS = 700;
const SLOTS = 2;
/** Time for a close to arrive, far less than an idle connection is kept open, in milliseconds. */
const CLOSE_MS = 100;
/** Exceeds the time for which the slot of an unanswered request is kept after its deadline, in milliseconds. */
const SLOT_HOLD_MS = 1_200;

describe('pooled connections to an endpoint that become unresponsive', () => {
  const mesh = new TestMesh();
  let target: RawEndpoint;
  let link: FaultyLink;

  beforeEach(async () => {
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    link = await FaultyLink.start(target.port);
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    link.close();
    target.close();
  });

  it('carry at most one request each, and none after the idle timeout', async () => {
    const { callerPort } = await mesh.addNode('n1', { maxIdleEndpointConnectionMs: IDLE_MS });
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', link.port),
    ]);
    const send = async (): Promise<number> => (await call(callerPort, { method: 'POST' })).status;
    const before = await Promise.all([send(), send(), send()]);
    expect(before).to.deep.equal([200, 200, 200]);
    link.dropTraffic('both');
    expect(await send()).to.equal(504);
    const after = await Promise.all([send(), send(), send(), send()]);
    expect(after).to.deep.equal([200, 200, 200, 200]);
  });
});

/** Guards against a connection that is used again after the endpoint has fallen silent on it, and a slot that stays taken. */
describe('an endpoint that is full and answers nothing further on the connection', () => {
  const mesh = new TestMesh();
  const silentSockets = new Set<Socket>();
  let isFull: boolean;
  let unanswered: Socket[];
  let target: RawEndpoint;

  /** Answers once two requests are in progress, so that a request that waits for the slot of another fails. */
  function answerPairs(socket: Socket): void {
    unanswered.push(socket);
    if (unanswered.length === SLOTS) {
      unanswered.splice(0).forEach((one) => one.write(rawAnswer('ran')));
    }
  }

  beforeEach(async () => {
    isFull = false;
    unanswered = [];
    target = await startRawEndpoint(
      (socket) => {
        if (isFull) {
          silentSockets.add(socket);
        } else if (!silentSockets.has(socket)) {
          answerPairs(socket);
        }
      },
      () => undefined,
    );
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    silentSockets.clear();
    target.close();
  });

  for (const { path, machine } of [
    { path: 'direct', machine: 'n1' },
    { path: 'relayed', machine: 'n2' },
  ]) {
    it(`gets later requests on other connections, ${path}`, async () => {
      const { callerPort } = await mesh.addNode('n1');
      await mesh.addNode('n2');
      mesh.configure([
        ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
        echoEndpoint('e1', target.port, { machine, slots: SLOTS }),
      ]);
      const send = async (): Promise<number> => (await call(callerPort, { method: 'POST' })).status;
      expect(await Promise.all([send(), send()])).to.deep.equal([200, 200]);
      isFull = true;
      expect(await Promise.all([send(), send()])).to.deep.equal([504, 504]);
      isFull = false;
      await delay(CLOSE_MS);
      expect([...silentSockets].every(({ destroyed }) => destroyed)).to.equal(true);
      await until(() => mesh.nodes.every(({ proxy }) => proxy.endpointStates().every(isUnused)));
      await delay(SLOT_HOLD_MS);
      expect(await Promise.all([send(), send()])).to.deep.equal([200, 200]);
    });
  }
});

function isUnused({ inFlight, queued }: EndpointStateReport): boolean {
  return inFlight === 0 && queued === 0;
}

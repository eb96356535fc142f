/**
 * Guards against back ends that run, or work on, requests whose cancellation can't be delivered on the connection of the
 * request.
 */
import { setTimeout as delay } from 'node:timers/promises';
import net, { type Socket } from 'node:net';
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
  type TestNode,
} from '../rig.js';
import { FaultyLink, type DropDirection } from './faulty-link.js';

/** Time within which a leave takes effect at the back end, in milliseconds. */
const LEAVE_TAKES_EFFECT_MS = 500;
const LEAVE_AFTER_MS = 60;
const STALL_MS = 900;
const LEFT_PATH = '/left';

describe('a cancellation that can not be delivered on the connection of its request', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let caller: TestNode;
  let link: FaultyLink;
  /** Connections of the requests at the endpoint that are not answered yet, by path. */
  let running: Map<string, Socket>;

  beforeEach(async () => {
    mesh = new TestMesh();
    running = new Map();
    target = await startRawEndpoint((socket, head) => {
      const path = head.split(' ')[1] ?? '';
      if (path === '/') {
        socket.write(rawAnswer('ran'));
      } else {
        running.set(path, socket);
        socket.once('close', () => running.delete(path));
      }
    });
    const owner = await mesh.addNode('n2');
    link = await FaultyLink.start(owner.relayPort);
    mesh.nodes[0] = { ...owner, relayPort: link.port };
    caller = await mesh.addNode('n1');
  });

  afterEach(() => {
    mesh.close();
    link.close();
    target.close();
  });

  async function configure(slots: number): Promise<void> {
    const endpoint = echoEndpoint('e1', target.port, { machine: 'n2', slots });
    mesh.configure([...echoService({ timeoutMs: 8_000 }), endpoint]);
    expect((await call(caller.callerPort)).status).to.equal(200);
  }

  function send(path: string): Socket {
    const socket = net.connect(caller.callerPort, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
    return socket;
  }

  function sentCount(path: string): number {
    return target.heads.filter((head) => head.includes(`${path} `)).length;
  }

  for (const direction of ['towards', 'both'] satisfies DropDirection[]) {
    it(`ends the work of the endpoint in time if bytes are lost: ${direction}`, async () => {
      await configure(4);
      const leaving = send(LEFT_PATH);
      const staying = send('/stays');
      await until(() => running.size === 2);
      link.dropTraffic(direction);
      await delay(LEAVE_AFTER_MS);
      leaving.destroy();
      await delay(LEAVE_TAKES_EFFECT_MS);
      expect([...running.keys()]).to.deep.equal(['/stays']);
      staying.destroy();
    });
  }

  it('keeps a request that waits for a slot from the endpoint', async () => {
    await configure(1);
    const busy = send('/busy');
    await until(() => running.has('/busy'));
    const leaving = send(LEFT_PATH);
    await delay(LEAVE_AFTER_MS);
    link.dropTraffic('towards');
    leaving.destroy();
    await delay(LEAVE_TAKES_EFFECT_MS);
    running.get('/busy')?.write(rawAnswer('done'));
    await delay(LEAVE_AFTER_MS);
    expect(sentCount(LEFT_PATH)).to.equal(0);
    busy.destroy();
  });

  it('keeps a request from the endpoint that arrives after its cancellation', async () => {
    await configure(4);
    link.stallConnections(STALL_MS);
    const leaving = send(LEFT_PATH);
    await delay(LEAVE_AFTER_MS);
    leaving.destroy();
    await delay(STALL_MS + LEAVE_AFTER_MS);
    expect(sentCount(LEFT_PATH)).to.equal(0);
  });
});

/**
 * Guards against a node that holds whatever an endpoint sends while it stops: it passed the memory of its machine within
 * seconds, was killed, and lost the requests of all other callers.
 */
import net, { type Socket } from 'node:net';
import { expect } from 'chai';
import { flood } from '../support/endless-sender.js';
import {
  echoEndpoint,
  echoService,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
  type TestNode,
} from './rig.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const MEGABYTE = 1024 * 1024;
/** What a stopping node may hold of all answers together, in bytes. */
const MAX_HELD_BYTES = 2 * MEGABYTE;
/** Buffers of the loopback sockets on the way of one answer, in bytes. */
const SOCKET_BYTES = 16 * MEGABYTE;
const LIMITS = {
  maxHeldBytes: MAX_HELD_BYTES,
  stopNoticeMs: 100,
  stopAcceptMs: 300,
  stopTimeoutMs: 1_200,
  stopAnswerMs: 100,
};
const CHUNKED_HEAD = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const CHUNK = `1000\r\n${'x'.repeat(4096)}\r\n`;
const FORMS = [
  { form: 'in chunks', first: CHUNKED_HEAD, unit: CHUNK },
  {
    form: 'with a declared length that is not reached',
    first: `${OK}Content-Length: ${MAX_HELD_BYTES / 2}\r\n\r\nbegun`,
    unit: '',
  },
  {
    form: 'with a declared length above the memory',
    first: `${OK}Content-Length: ${1024 * MEGABYTE}\r\n\r\n`,
    unit: 'x',
  },
];

describe('answers without end at a stopping node', () => {
  let mesh: TestMesh;
  let target: RawEndpoint;
  let endpointSockets: Socket[];
  let callers: Socket[];

  beforeEach(() => {
    mesh = new TestMesh();
    endpointSockets = [];
    callers = [];
  });

  afterEach(() => {
    callers.forEach((socket) => socket.destroy());
    mesh.close();
    target.close();
  });

  /** Bytes that the endpoint could pass to its sockets. */
  function sentBytes(): number {
    const sent = ({ bytesWritten, writableLength }: Socket): number =>
      bytesWritten - writableLength;
    return endpointSockets.reduce((sum, socket) => sum + sent(socket), 0);
  }

  async function start(machine: string, first: string, unit: string): Promise<TestNode[]> {
    target = await startRawEndpoint((socket) => {
      endpointSockets.push(socket);
      if (unit === '') {
        socket.write(first);
      } else {
        flood(socket, first, unit);
      }
    });
    mesh.configure([
      ...echoService({ timeoutMs: 5_000 }),
      echoEndpoint('e1', target.port, { machine }),
    ]);
    return [await mesh.addNode('n1', LIMITS), await mesh.addNode('n2', LIMITS)];
  }

  /** Sends `requests` and reads nothing. */
  function openCaller({ callerPort }: TestNode, requests: string): void {
    const socket = net.connect(callerPort, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(requests);
    socket.pause();
    callers.push(socket);
  }

  async function stopWhileSending(
    callerNode: TestNode,
    stopping: TestNode,
    count: number,
    requests = REQUEST,
  ): Promise<number> {
    for (let index = 0; index < count; index += 1) {
      openCaller(callerNode, requests);
    }
    await new Promise((resolve) => setTimeout(resolve, 300));
    const sentBeforeBytes = sentBytes();
    await stopping.proxy.stop();
    return sentBytes() - sentBeforeBytes;
  }

  for (const { form, first, unit } of FORMS) {
    for (const { path, machine, stoppingIndex } of [
      { path: 'direct', machine: 'n1', stoppingIndex: 0 },
      { path: 'relayed', machine: 'n2', stoppingIndex: 0 },
      { path: 'beside the endpoint', machine: 'n2', stoppingIndex: 1 },
    ]) {
      it(`are not held without a bound, ${form}, ${path}`, async () => {
        const nodes = await start(machine, first, unit);
        const [caller, stopping] = [nodes[0], nodes[stoppingIndex]];
        if (caller === undefined || stopping === undefined) {
          throw new Error('no node');
        }
        const sentInStop = await stopWhileSending(caller, stopping, 3);
        expect(sentInStop).to.be.lessThan(MAX_HELD_BYTES + SOCKET_BYTES);
      });
    }
  }

  it('are not held without a bound behind another answer of the connection', async () => {
    const [node] = await start('n1', CHUNKED_HEAD, CHUNK);
    if (node === undefined) {
      throw new Error('no node');
    }
    const sentInStop = await stopWhileSending(node, node, 2, REQUEST.repeat(4));
    expect(sentInStop).to.be.lessThan(MAX_HELD_BYTES + SOCKET_BYTES);
  });
});

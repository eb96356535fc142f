/** Endpoints that answer before they have read a long body, and read the rest later. */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { call, echoEndpoint, echoService, rawAnswer, TestMesh } from '../rig.js';

const HOST = '127.0.0.1';
/** One body that the endpoint's node buffers and one that it streams. */
const LENGTHS_BYTES = [200_000, 2_000_000];
/** Enough requests for their bodies to exceed the credit pool in total. */
const REQUEST_COUNT = 12;
/** Time for which the endpoint stops reading after its answer, in milliseconds. */
const READ_DELAY_MS = 50;

describe('an endpoint that answers before it has read the body', () => {
  const mesh = new TestMesh();
  const sockets = new Set<Socket>();
  let endpoint: net.Server;

  beforeEach(async () => {
    endpoint = net.createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      answerEarly(socket);
    });
    endpoint.listen(0, HOST);
    await once(endpoint, 'listening');
    const { port } = endpoint.address() as AddressInfo;
    mesh.configure([...echoService(), echoEndpoint('e1', port, { machine: 'n2', slots: 4 })]);
    await mesh.addNode('n1');
    await mesh.addNode('n2');
  });

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    sockets.clear();
    endpoint.close();
    mesh.close();
    mesh.nodes.length = 0;
  });

  for (const bytes of LENGTHS_BYTES) {
    it(`delivers its answer and releases its slot and credit, ${bytes} bytes`, async () => {
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      const port = mesh.nodes[0]?.callerPort ?? 0;
      const statuses: string[] = [];
      for (let count = 0; count < REQUEST_COUNT; count += 1) {
        const { status, body } = await call(port, {
          agent,
          method: 'POST',
          headers: { 'x-deadline-ms': 1_000, 'Content-Length': bytes },
          body: Buffer.alloc(bytes),
        });
        statuses.push(`${status} ${body}`);
      }
      agent.destroy();
      expect(statuses).to.deep.equal(Array(REQUEST_COUNT).fill('200 early'));
    });
  }
});

/** Answers each request head immediately, and reads the body only after a delay. */
function answerEarly(socket: Socket): void {
  let bodyBytesLeft = 0;
  socket.on('data', (chunk) => {
    if (bodyBytesLeft > 0) {
      bodyBytesLeft -= chunk.length;
      return;
    }
    const text = chunk.toString('latin1');
    const headBytes = text.indexOf('\r\n\r\n') + 4;
    const lengthBytes = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    bodyBytesLeft = lengthBytes - (chunk.length - headBytes);
    socket.write(rawAnswer('early'));
    socket.pause();
    setTimeout(() => socket.resume(), READ_DELAY_MS);
  });
}

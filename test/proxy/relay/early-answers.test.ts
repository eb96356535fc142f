/** Endpoints that answer before they have read a long body, and read on later. */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { call, echoEndpoint, echoService, rawAnswer, TestMesh } from '../rig.js';

const HOST = '127.0.0.1';
/** Collected by the endpoint's node, and passed on as it comes. */
const LENGTHS_BYTES = [200_000, 2_000_000];
/** More than fit into the pool of credit together. */
const REQUESTS = 12;
/** Time after its answer for which the endpoint reads nothing, in milliseconds. */
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
    it(`is passed on, and leaves slots and credit to others, ${bytes} bytes`, async () => {
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      const port = mesh.nodes[0]?.callerPort ?? 0;
      const statuses: string[] = [];
      for (let count = 0; count < REQUESTS; count += 1) {
        const { status, body } = await call(port, {
          agent,
          method: 'POST',
          headers: { 'x-deadline-ms': 1_000, 'Content-Length': bytes },
          body: Buffer.alloc(bytes),
        });
        statuses.push(`${status} ${body}`);
      }
      agent.destroy();
      expect(statuses).to.deep.equal(Array(REQUESTS).fill('200 early'));
    });
  }
});

/** Answers each head at once, and reads its body only after a while. */
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

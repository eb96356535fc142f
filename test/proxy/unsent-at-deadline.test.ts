/**
 * What callers are told when a deadline passes while nothing of their request can have reached an
 * endpoint: that it has not run, so that also a request that may not be repeated can be sent again.
 *
 * What happened: thousands of requests were told that they may have run, although no endpoint had got
 * them: their nodes waited for a connection to a peer, or for the peer to take their body.
 */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { RELAY_PROTOCOL } from '../../src/proxy/relay/relay-protocol.js';
import { call, echoEndpoint, echoService, TestMesh, type TestNode } from './rig.js';

const UPLOAD_BYTES = 60_000;

function openRelayAndSayNoMore(socket: Socket): void {
  socket.once('data', () => {
    socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n');
    socket.write(`Upgrade: ${RELAY_PROTOCOL}\r\n\r\n`);
  });
}

describe('a deadline that passes', () => {
  const mesh = new TestMesh();
  const sockets = new Set<Socket>();
  let peer: net.Server;

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    peer.close();
    mesh.close();
    mesh.nodes.length = 0;
  });

  /** A node whose peer, beside the only endpoint, takes connections and handles them so. */
  async function nodeBeside(handle: (socket: Socket) => void): Promise<TestNode> {
    peer = net.createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
      handle(socket);
    });
    peer.listen(0, '127.0.0.1');
    await once(peer, 'listening');
    const node = await mesh.addNode('n1', { connectTimeoutMs: 5_000 });
    const { port: relayPort } = peer.address() as AddressInfo;
    mesh.nodes.push({ ...node, id: 'n2', relayPort });
    mesh.configure([...echoService(), echoEndpoint('e1', 1, { machine: 'n2' })]);
    return node;
  }

  it('before a connection to the peer opened says that the request has not run', async () => {
    const { callerPort } = await nodeBeside(() => undefined);
    const { status, headers } = await call(callerPort, {
      method: 'POST',
      headers: { 'x-deadline-ms': 150 },
    });
    expect([status, headers['ferryspool-verdict']]).to.deep.equal([504, 'not-run']);
  });

  it('before the peer asked for the body says that the request has not run', async () => {
    const { callerPort } = await nodeBeside(openRelayAndSayNoMore);
    const { headers } = await call(callerPort, {
      method: 'POST',
      headers: { 'x-deadline-ms': 150, 'Content-Length': UPLOAD_BYTES },
      body: Buffer.alloc(UPLOAD_BYTES),
    });
    expect(headers['ferryspool-verdict']).to.equal('not-run');
  });

  it('after the request went to the peer says that it may have run', async () => {
    const { callerPort } = await nodeBeside(openRelayAndSayNoMore);
    const { headers } = await call(callerPort, {
      method: 'POST',
      headers: { 'x-deadline-ms': 150 },
    });
    expect(headers['ferryspool-verdict']).to.equal('may-have-run');
  });
});

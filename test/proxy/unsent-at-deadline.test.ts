/**
 * Guards against a `may-have-run` verdict, or a refusal at the deadline only, for a request that cannot have reached an
 * endpoint by its deadline.
 * With the verdict `not-run`, a caller can also retry a request that is not repeatable. The wrong verdict affects
 * thousands of requests while their nodes wait for a connection to a peer, or for the peer to accept their body.
 */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { RELAY_PROTOCOL } from '../../src/proxy/relay/relay-protocol.js';
import { call, echoEndpoint, echoService, TestMesh, type TestNode } from './rig.js';

const UPLOAD_BYTES = 60_000;

function acceptUpgradeOnly(socket: Socket): void {
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

  /** Starts a node whose peer has the only endpoint and handles each accepted connection with `handle`. */
  async function nodeWithPeer(handle: (socket: Socket) => void): Promise<TestNode> {
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

  it('before the connection to the peer is open gives the verdict not-run', async () => {
    const { callerPort, counters } = await nodeWithPeer(() => undefined);
    const { status, headers } = await call(callerPort, {
      method: 'POST',
      headers: { 'x-deadline-ms': 150 },
    });
    expect([status, headers['ferryspool-verdict']]).to.deep.equal([503, 'not-run']);
    expect(headers).to.have.property('retry-after');
    expect(counters.get('ferryspool_unsent_requests_refused_total')).to.equal(1);
  });

  it('before the peer has requested the body gives the verdict not-run', async () => {
    const { callerPort } = await nodeWithPeer(acceptUpgradeOnly);
    const { headers } = await call(callerPort, {
      method: 'POST',
      headers: { 'x-deadline-ms': 150, 'Content-Length': UPLOAD_BYTES },
      body: Buffer.alloc(UPLOAD_BYTES),
    });
    expect(headers['ferryspool-verdict']).to.equal('not-run');
  });

  it('after the request was sent to the peer gives the verdict may-have-run', async () => {
    const { callerPort } = await nodeWithPeer(acceptUpgradeOnly);
    const { headers } = await call(callerPort, {
      method: 'POST',
      headers: { 'x-deadline-ms': 150 },
    });
    expect(headers['ferryspool-verdict']).to.equal('may-have-run');
  });
});

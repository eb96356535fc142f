/**
 * Requests in flight at a peer that has not requested their bodies, so that they cannot have reached an endpoint.
 *
 * A machine that loses power resets no connections; its peers detect that it is unresponsive. A request that is not
 * repeatable is then sent to another endpoint, since it has provably not run, instead of waiting for its deadline
 * while other endpoints have free slots. The disconnect of a caller is detected although its connection is not read
 * while its body is pending: otherwise the upload would reach an endpoint once the peer requests it.
 */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { expect } from 'chai';
import { RelayConnection } from '../../src/proxy/relay/relay-connection.js';
import type { StreamFrame } from '../../src/proxy/relay/relay-frame.js';
import { RELAY_PROTOCOL } from '../../src/proxy/relay/relay-protocol.js';
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
} from './rig.js';

const HOST = '127.0.0.1';
const UPLOAD_BYTES = 60_000;
const LONG_UPLOAD_BYTES = 200_000;
const DEADLINE_MS = 3_000;
/** Time limit for the cancellation to reach the peer after its caller disconnects, in milliseconds. */
const CANCEL_MS = 500;

describe('a request whose body its peer has not requested', () => {
  const mesh = new TestMesh();
  const sockets = new Set<Duplex>();
  let peer: http.Server;
  let target: RawEndpoint;
  let received: StreamFrame[] = [];

  beforeEach(async () => {
    received = [];
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    peer = http.createServer();
    peer.on('upgrade', (_request, socket: Duplex, head: Buffer) => {
      sockets.add(socket);
      socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n');
      socket.write(`Upgrade: ${RELAY_PROTOCOL}\r\n\r\n`);
      new RelayConnection(socket, head, {
        received: (frames) => received.push(...frames),
        closed: () => undefined,
      });
    });
    peer.listen(0, HOST);
    await once(peer, 'listening');
  });

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    peer.close();
    mesh.close();
    mesh.nodes.length = 0;
    target.close();
  });

  function hasReceived(kind: StreamFrame['kind']): boolean {
    return received.some((frame) => frame.kind === kind);
  }

  /** Adds a node that prefers the endpoint of the unresponsive peer and has another one in another zone. */
  async function addNode(): Promise<TestNode> {
    const node = await mesh.addNode('n1', { maxRedirects: 1 });
    const { port: relayPort } = peer.address() as AddressInfo;
    mesh.nodes.push({ ...node, id: 'n2', relayPort });
    mesh.configure([
      ...echoService({ repeatable: false }),
      echoEndpoint('e1', 1, { machine: 'n2' }),
      echoEndpoint('e2', target.port, { machine: 'n1', zone: 'z2', region: 'r2' }),
    ]);
    return node;
  }

  it('is sent to another endpoint when the peer is unresponsive, even if it is not repeatable', async () => {
    const { callerPort, proxy } = await addNode();
    const answered = call(callerPort, {
      method: 'POST',
      headers: { 'x-deadline-ms': DEADLINE_MS, 'Content-Length': UPLOAD_BYTES },
      body: Buffer.alloc(UPLOAD_BYTES),
    });
    await until(() => hasReceived('request'));
    proxy.machineUnresponsive('n2');
    expect((await answered).status).to.equal(200);
  });

  it('keeps waiting for an unresponsive peer that may have run it', async () => {
    const { callerPort, proxy } = await addNode();
    const answered = call(callerPort, { method: 'POST', headers: { 'x-deadline-ms': 300 } });
    await until(() => hasReceived('request'));
    proxy.machineUnresponsive('n2');
    const { status, headers } = await answered;
    expect([status, headers['ferryspool-verdict']]).to.deep.equal([504, 'may-have-run']);
    expect(target.heads).to.deep.equal([]);
  });

  for (const bytes of [UPLOAD_BYTES, LONG_UPLOAD_BYTES]) {
    it(`is cancelled at once when its caller disconnects, with ${bytes} bytes`, async () => {
      const { callerPort } = await addNode();
      const caller = net.connect(callerPort, HOST);
      caller.on('error', () => undefined);
      caller.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`);
      caller.write(Buffer.alloc(bytes));
      await until(() => hasReceived('request'));
      caller.end();
      await new Promise((resolve) => setTimeout(resolve, CANCEL_MS));
      expect(hasReceived('cancel')).to.equal(true);
    });
  }
});

/**
 * Nodes with different versions of the relay protocol, as during a rolling upgrade: both ends check the version in
 * the `Upgrade` header.
 *
 * Otherwise a sender that waits for credit and a receiver that grants none before the first bytes would deadlock
 * until the deadline, and the sender would report that the request has not run although the receiver may have
 * forwarded its head.
 */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { RelayClient } from '../../../src/proxy/relay/relay-client.js';
import { RELAY_PROTOCOL } from '../../../src/proxy/relay/relay-protocol.js';
import { EMPTY_BODY } from '../../../src/proxy/request-body.js';
import { MACHINE_TIME } from '../../../src/proxy/scheduler.js';
import { echoEndpoint, echoService, TestMesh } from '../rig.js';

const REFUSED_COUNT = 20;
/** Time for a node to release connections that its peers have closed, in milliseconds. */
const SETTLE_MS = 300;

describe('relay connections between versions', () => {
  const mesh = new TestMesh();
  const sockets: Socket[] = [];
  const servers: net.Server[] = [];

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    servers.splice(0).forEach((server) => server.close());
    mesh.close();
    mesh.nodes.length = 0;
  });

  it('are refused to a peer that requests another version', async () => {
    const { relayPort } = await mesh.addNode('n1');
    const request = http.request({
      port: relayPort,
      host: '127.0.0.1',
      headers: {
        Connection: 'Upgrade',
        Upgrade: 'ferryspool-relay/1',
        'ferryspool-relay-token': mesh.tokenOf('n2'),
      },
    });
    const status = new Promise<number | undefined>((resolve) => {
      request.once('response', ({ statusCode }) => resolve(statusCode));
      request.once('upgrade', ({ statusCode }, socket) => {
        socket.destroy();
        resolve(statusCode);
      });
    });
    request.end();
    expect(await status).to.equal(426);
  });

  const refusals = [
    { reason: 'another version', upgrade: 'ferryspool-relay/1', tokenOf: 'n2' },
    { reason: 'no valid token', upgrade: RELAY_PROTOCOL, tokenOf: undefined },
  ] as const;
  for (const { reason, upgrade, tokenOf } of refusals) {
    for (const end of ['closes', 'resets'] as const) {
      it(`are released after a refusal for ${reason} when the peer ${end} the connection`, async () => {
        const { relayPort, proxy } = await mesh.addNode('n1');
        const token = tokenOf === undefined ? '' : mesh.tokenOf(tokenOf);
        for (let count = 0; count < REFUSED_COUNT; count += 1) {
          const socket = net.connect(relayPort, '127.0.0.1');
          sockets.push(socket);
          socket.write(
            `GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: ${upgrade}\r\n` +
              `ferryspool-relay-token: ${token}\r\n\r\n`,
          );
          await once(socket, 'data');
          if (end === 'closes') {
            socket.destroy();
          } else {
            socket.resetAndDestroy();
          }
        }
        await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
        const open = await new Promise<number>((resolve) => {
          proxy.relayServer.getConnections((_err, openCount) => resolve(openCount));
        });
        expect(open).to.equal(0);
      });
    }
  }

  it('are not used if the peer switches to another version', async () => {
    const server = net.createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => socket.destroy());
      socket.once('data', () => {
        socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n');
        socket.write('Upgrade: ferryspool-relay/1\r\n\r\n');
      });
    });
    servers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    mesh.configure([...echoService(), echoEndpoint('e1', 1, { machine: 'n2' })]);
    const [endpoint] = mesh.snapshot?.endpointsByService.get('echo') ?? [];
    if (endpoint === undefined) {
      throw new Error('no endpoint');
    }
    const client = new RelayClient({
      connectTimeoutMs: 500,
      scheduler: MACHINE_TIME,
      token: () => undefined,
      addressOf: () => ({ address: '127.0.0.1', port }),
    });
    const outcome = await new Promise<string>((resolve) => {
      const call = {
        requestId: 'r',
        method: 'POST',
        target: '/',
        headers: ['Host', 'a'],
        body: EMPTY_BODY,
        deadlineAtMs: performance.now() + 1_000,
        callerNode: 'n1',
        retriesLeft: 0,
        priority: 0,
        workClass: 'all',
      };
      client.submit(endpoint, call, {
        answered: () => resolve('answered'),
        failed: ({ code }) => resolve(code),
      });
      setTimeout(() => resolve('nothing'), 1_500);
    });
    client.close();
    expect(outcome).to.equal('UNREACHABLE');
  });
});

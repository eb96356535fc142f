/**
 * Connections that are kept to a back end belong to its process: one that starts again at the same address
 * never hears of them, and where their end did not arrive, as after a loss of power, a request that is sent
 * on one of them is lost, and may have run for all that its caller is told.
 */
import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'chai';
import { call, echoEndpoint, echoService, TestMesh, type TestNode } from './rig.js';

const DISTRUST_PATH = '/lose';

describe('connections that are kept to an endpoint', () => {
  let mesh: TestMesh;
  let node: TestNode;
  let server: http.Server;
  /** The connection of each request, in order. */
  let used: Socket[];

  beforeEach(async () => {
    used = [];
    server = http.createServer((request, response) => {
      used.push(request.socket);
      if (request.url === DISTRUST_PATH) {
        request.socket.destroy();
      } else {
        response.end('ok');
      }
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    mesh = new TestMesh();
    configure(1_000);
    node = await mesh.addNode('n1');
  });

  afterEach(() => {
    mesh.close();
    server.close();
    server.closeAllConnections();
  });

  function configure(bornAtMs: number, state = 'active'): void {
    const { port } = server.address() as AddressInfo;
    mesh.configure([
      ...echoService({ repeatable: false }),
      echoEndpoint('e1', port, { machine: 'n1', bornAtMs, state }),
    ]);
  }

  async function served(): Promise<Socket | undefined> {
    expect((await call(node.callerPort)).status).to.equal(200);
    return used.at(-1);
  }

  it('serve several requests of one incarnation, whatever else changes of it', async () => {
    const first = await served();
    configure(1_000);
    expect(await served()).to.equal(first);
  });

  it('serve no request that is for the next one', async () => {
    const first = await served();
    configure(2_000);
    const second = await served();
    expect(second).to.not.equal(first);
    expect(await served()).to.equal(second);
  });

  it('are trusted anew with the next one', async () => {
    await served();
    expect((await call(node.callerPort, { path: DISTRUST_PATH })).status).to.equal(502);
    expect(await served()).to.not.equal(await served());
    configure(2_000);
    expect(await served()).to.equal(await served());
  });
});

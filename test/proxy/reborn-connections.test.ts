/**
 * Guards against requests on pooled connections to a previous process of an endpoint. A process that restarts at
 * the same address does not know these connections. If their close was not received, as after a power loss, a
 * request on one of them is lost, and its caller can only be told that it may have run.
 */
import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'chai';
import { call, echoEndpoint, echoService, TestMesh, type TestNode } from './rig.js';

const DISCONNECT_PATH = '/lose';

describe('pooled connections to an endpoint', () => {
  let mesh: TestMesh;
  let node: TestNode;
  let server: http.Server;
  /** The connection of each request, in order of arrival. */
  let requestSockets: Socket[];

  beforeEach(async () => {
    requestSockets = [];
    server = http.createServer((request, response) => {
      requestSockets.push(request.socket);
      if (request.url === DISCONNECT_PATH) {
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

  async function callForSocket(): Promise<Socket | undefined> {
    expect((await call(node.callerPort)).status).to.equal(200);
    return requestSockets.at(-1);
  }

  it('are reused for one incarnation across configuration changes', async () => {
    const first = await callForSocket();
    configure(1_000);
    expect(await callForSocket()).to.equal(first);
  });

  it('are not used for requests to the next incarnation', async () => {
    const first = await callForSocket();
    configure(2_000);
    const second = await callForSocket();
    expect(second).to.not.equal(first);
    expect(await callForSocket()).to.equal(second);
  });

  it('are reused again for the next incarnation after a connection loss', async () => {
    await callForSocket();
    expect((await call(node.callerPort, { path: DISCONNECT_PATH })).status).to.equal(502);
    expect(await callForSocket()).to.not.equal(await callForSocket());
    configure(2_000);
    expect(await callForSocket()).to.equal(await callForSocket());
  });
});

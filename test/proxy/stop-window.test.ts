/**
 * Guards against a request that is cut off when it arrives between the end of the drain and the end of a planned
 * stop. The drain ends once nothing has been in flight for the quiet period; the node then waits up to 200 ms for
 * the connections to its peers to close. A caller connection that has not sent a request is not treated as idle
 * and stays open during that time. A request on it is run, since requests are refused only seconds later, and would
 * be cut off with the connection at the end of the 200 ms.
 */
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { expect } from 'chai';
import { RELAY_PROTOCOL } from '../../src/proxy/relay/relay-protocol.js';
import {
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
} from './rig.js';

const QUIET_MS = 30;

describe('a planned stop after its drain', () => {
  const mesh = new TestMesh();
  let target: RawEndpoint;

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    target.close();
  });

  it('answers a request that arrives while the node waits for its peers', async () => {
    target = await startRawEndpoint((socket) => {
      setTimeout(() => socket.write(rawAnswer('ran')), 300);
    });
    const node = await mesh.addNode('n1', { stopQuietMs: QUIET_MS });
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n1' })]);

    // The peer keeps its end of the connection open, as over a slow link.
    const upgrade = http.request({
      port: node.relayPort,
      host: '127.0.0.1',
      headers: {
        Connection: 'Upgrade',
        Upgrade: RELAY_PROTOCOL,
        'ferryspool-relay-token': mesh.tokenOf('n2'),
      },
    });
    upgrade.end();
    const [, peer] = (await once(upgrade, 'upgrade')) as [unknown, net.Socket];
    peer.allowHalfOpen = true;
    peer.on('error', () => undefined);

    const caller = net.connect(node.callerPort, '127.0.0.1');
    caller.on('error', () => undefined);
    await once(caller, 'connect');
    let received = '';
    caller.on('data', (chunk: Buffer) => (received += chunk.toString()));
    const stopped = node.proxy.stop();
    await new Promise((resolve) => setTimeout(resolve, QUIET_MS + 90));
    caller.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi');
    await stopped;
    await new Promise((resolve) => setTimeout(resolve, 100));
    peer.destroy();
    const wasRun = target.heads.length > 0;
    expect([wasRun, received.startsWith('HTTP/1.1 ')]).to.not.deep.equal([true, false]);
  });
});

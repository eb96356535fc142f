/** Guards against a connection that is opened anew again and again to a node that is only late. */
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { call, echoEndpoint, echoService, rawAnswer, startRawEndpoint, TestMesh } from '../rig.js';
import type { RawEndpoint } from '../rig.js';
import { SilentLink } from './silent-link.js';

const CONNECT_TIMEOUT_MS = 100;
const LATE_MS = 450;

describe('a connection to a node that is late', () => {
  const mesh = new TestMesh();
  let target: RawEndpoint;
  let link: SilentLink;

  afterEach(() => {
    mesh.close();
    link.close();
    target.close();
  });

  it('is kept for later attempts, while those that wait go elsewhere in time', async () => {
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    mesh.configure([...echoService(), echoEndpoint('e1', target.port, { machine: 'n2' })]);
    const beside = await mesh.addNode('n2');
    link = await SilentLink.start(beside.relayPort);
    mesh.nodes[0] = { ...beside, relayPort: link.port };
    const limits = { connectTimeoutMs: CONNECT_TIMEOUT_MS, maxRetries: 0, maxAbsentRedirects: 0 };
    const node = await mesh.addNode('n1', limits);
    link.hold(LATE_MS);
    const beganAtMs = performance.now();
    const first = await call(node.callerPort);
    expect([first.status, performance.now() - beganAtMs < LATE_MS]).to.deep.equal([502, true]);
    await delay(LATE_MS);
    expect(await call(node.callerPort)).to.include({ status: 200, body: 'ran' });
    expect(link.openedCount).to.equal(1);
  });
});

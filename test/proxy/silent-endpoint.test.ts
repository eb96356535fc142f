/** Pooled connections to an endpoint that become unresponsive permanently while new connections work. */
import { expect } from 'chai';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
} from './rig.js';
import { FaultyLink } from './relay/faulty-link.js';

const IDLE_MS = 200;
const DEADLINE_MS = 700;

describe('pooled connections to an endpoint that become unresponsive', () => {
  const mesh = new TestMesh();
  let target: RawEndpoint;
  let link: FaultyLink;

  beforeEach(async () => {
    target = await startRawEndpoint((socket) => socket.write(rawAnswer('ran')));
    link = await FaultyLink.start(target.port);
  });

  afterEach(() => {
    mesh.close();
    mesh.nodes.length = 0;
    link.close();
    target.close();
  });

  it('carry at most one request each, and none after the idle timeout', async () => {
    const { callerPort } = await mesh.addNode('n1', { maxIdleEndpointConnectionMs: IDLE_MS });
    mesh.configure([
      ...echoService({ timeoutMs: DEADLINE_MS, repeatable: false }),
      echoEndpoint('e1', link.port),
    ]);
    const send = async (): Promise<number> => (await call(callerPort, { method: 'POST' })).status;
    const before = await Promise.all([send(), send(), send()]);
    expect(before).to.deep.equal([200, 200, 200]);
    link.dropTraffic('both');
    expect(await send()).to.equal(504);
    const after = await Promise.all([send(), send(), send(), send()]);
    expect(after).to.deep.equal([200, 200, 200, 200]);
  });
});

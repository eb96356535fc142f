/**
 * Guards against a request that fails although its endpoint has restarted under the same name. If the previous
 * process has not run the request, it may be sent to the new one, even if the service has no other endpoint and
 * the configuration with which the request started holds only the previous process.
 */
import { expect } from 'chai';
import {
  call,
  echoEndpoint,
  echoService,
  rawAnswer,
  rawRefusal,
  startRawEndpoint,
  TestMesh,
  type RawEndpoint,
} from './rig.js';

describe('a request whose endpoint restarts before the request has run', () => {
  let mesh: TestMesh;
  const targets: RawEndpoint[] = [];

  beforeEach(() => {
    mesh = new TestMesh();
  });

  afterEach(() => {
    mesh.close();
    targets.splice(0).forEach((target) => target.close());
  });

  function configure(bornAtMs: number, machine: string, { port }: RawEndpoint): void {
    mesh.configure([...echoService(), echoEndpoint('e1', port, { machine, bornAtMs })]);
  }

  for (const machine of ['n1', 'n2']) {
    for (const nextMachine of ['n1', 'n2']) {
      it(`is sent to the new process when the endpoint moves from ${machine} to ${nextMachine}`, async () => {
        const next = await startRawEndpoint((socket) => socket.write(rawAnswer('again')));
        const first = await startRawEndpoint((socket) => {
          configure(2_000, nextMachine, next);
          socket.write(rawRefusal());
        });
        targets.push(first, next);
        configure(1_000, machine, first);
        const node = await mesh.addNode('n1');
        await mesh.addNode('n2');
        const { status, body } = await call(node.callerPort);
        expect({ status, body }).to.deep.equal({ status: 200, body: 'again' });
        expect([first.heads.length, next.heads.length]).to.deep.equal([1, 1]);
      });
    }
  }

  it('is not sent to the same process twice', async () => {
    const only = await startRawEndpoint((socket) => {
      configure(1_000, 'n1', only);
      socket.write(rawRefusal());
    });
    targets.push(only);
    configure(1_000, 'n1', only);
    const node = await mesh.addNode('n1');
    expect((await call(node.callerPort)).status).to.equal(503);
    expect(only.heads).to.have.length(1);
  });
});

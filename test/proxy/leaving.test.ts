/** Drains, dead nodes and planned stops over real sockets. */
import http from 'node:http';
import { expect } from 'chai';
import { BackendStandIn } from '../../standins/backend/backend-stand-in.js';
import { openRelay } from './relay-sender.js';
import { call, echoEndpoint, echoService, TestMesh, until, type CallerResult } from './rig.js';

describe('leaving', () => {
  let mesh: TestMesh;
  const backends: BackendStandIn[] = [];

  beforeEach(() => {
    mesh = new TestMesh();
  });

  afterEach(async () => {
    mesh.close();
    await Promise.all(backends.splice(0).map((backend) => backend.stop()));
  });

  async function backend(workMs = 1): Promise<BackendStandIn> {
    const started = await BackendStandIn.start({
      settings: { work: { distribution: 'fixed', workMs } },
    });
    backends.push(started);
    return started;
  }

  function configure(specs: readonly Record<string, unknown>[]): void {
    const endpoints = specs.map((spec, index) =>
      echoEndpoint(`e${index}`, backends[index]?.ports.port ?? 0, spec),
    );
    mesh.configure([...echoService(), ...endpoints]);
  }

  function startedAt(index: number): number {
    return backends[index]?.executions().length ?? 0;
  }

  async function callTimes(port: number, count: number): Promise<CallerResult[]> {
    const results: CallerResult[] = [];
    for (let index = 0; index < count; index += 1) {
      results.push(await call(port, { method: 'POST' }));
    }
    return results;
  }

  it('waits for a silent node during a planned stop where no attempt is left', async () => {
    await backend(300);
    configure([{ machine: 'n2' }]);
    const { callerPort, proxy } = await mesh.addNode('n1', { maxRetries: 0 });
    await mesh.addNode('n2');
    const answered = call(callerPort);
    await until(() => startedAt(0) === 1);
    const stopped = proxy.stop();
    proxy.machineUnresponsive('n2');
    expect((await answered).status).to.equal(200);
    await stopped;
  });

  for (const machine of ['n1', 'n2']) {
    it(`sends nothing new to an endpoint that says it drains, until it stops saying so (${machine})`, async () => {
      const draining = await backend();
      await backend();
      configure([{ machine }, { machine, zone: 'z9' }]);
      const { callerPort } = await mesh.addNode('n1');
      await mesh.addNode('n2');
      draining.change({ draining: true, reportedHealthy: true });
      const during = await callTimes(callerPort, 10);
      expect(during.map(({ status }) => status)).to.deep.equal(Array(10).fill(200));
      expect(startedAt(0)).to.equal(0);
      expect(draining.counters().refused.draining).to.equal(1);
    });
  }

  it('opens the gate again when the endpoint no longer drains, whatever its health says', async () => {
    const only = await backend();
    configure([{ machine: 'n2' }]);
    const { relayPort } = await mesh.addNode('n2');
    const opening = await openRelay(relayPort, mesh.tokenOf('n1'));
    if (opening.kind === 'refused') {
      throw new Error(`refused with ${opening.status}`);
    }
    const { sender } = opening;
    only.change({ draining: true });
    const refused = await sender.outcome(sender.request({ endpoint: 'e0' }));
    expect(refused).to.include({ kind: 'failure', code: 'ENDPOINT_DRAINING' });
    only.change({ draining: false, reportedHealthy: false });
    let status = 0;
    while (status !== 200) {
      ({ status } = await sender.outcome(sender.request({ endpoint: 'e0' })));
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    expect(startedAt(0)).to.equal(1);
    sender.destroy();
  });

  it('refuses what waits for an endpoint that the configuration drains', async () => {
    await backend(300);
    const spec = { machine: 'n1', slots: 1 };
    configure([spec]);
    const { callerPort } = await mesh.addNode('n1');
    const first = call(callerPort, { method: 'POST' });
    await until(() => startedAt(0) === 1);
    const second = call(callerPort, { method: 'POST' });
    configure([{ ...spec, state: 'draining' }]);
    expect((await second).headers['ferryspool-verdict']).to.equal('not-run');
    expect((await first).status).to.equal(200);
    expect(startedAt(0)).to.equal(1);
  });

  const memberRows = [
    { status: 'leaving', expected: 503 },
    { status: 'dead', expected: 200 },
    { status: 'suspect', expected: 200 },
  ] as const;
  for (const { status, expected } of memberRows) {
    it(`answers ${expected} for an endpoint whose node is ${status}`, async () => {
      await backend();
      configure([{ machine: 'n2' }]);
      const { callerPort } = await mesh.addNode('n1');
      const beside = await mesh.addNode('n2');
      mesh.statuses.set('n2', status);
      const result = await call(callerPort);
      expect(result.status).to.equal(expected);
      const isRelayed = beside.counters.has('ferryspool_relayed_requests_total');
      expect(isRelayed).to.equal(status === 'suspect');
    });
  }

  it('cuts nothing when both nodes stop while requests are in flight', async () => {
    await backend(200);
    configure([{ machine: 'n2' }]);
    const near = await mesh.addNode('n1');
    const far = await mesh.addNode('n2');
    const agent = new http.Agent({ keepAlive: true });
    const inFlight = Array.from({ length: 8 }, () =>
      call(near.callerPort, { agent, method: 'POST' }),
    );
    await until(() => startedAt(0) === 8);
    const stopped = Promise.all([near.proxy.stop(), far.proxy.stop()]);
    const late = call(near.callerPort, { agent, method: 'POST' });
    const results = await Promise.all([...inFlight, late]);
    expect(results.every(({ status, isWhole }) => status === 200 && isWhole)).to.equal(true);
    expect(results.map(({ headers }) => headers.connection)).to.deep.equal(Array(9).fill('close'));
    await stopped;
    expect(near.proxy.callerServer.listening).to.equal(false);
    expect(far.proxy.relayServer.listening).to.equal(false);
    agent.destroy();
  });
});

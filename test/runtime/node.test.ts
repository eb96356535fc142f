import { expect } from 'chai';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import {
  call,
  eventually,
  LocalFleet,
  sourceVersion,
  statuses,
  statusOf,
} from '../support/local-fleet.js';

describe('runtime/node: end to end', function () {
  this.timeout(20_000);
  let fleet: LocalFleet;

  beforeEach(async () => {
    fleet = await LocalFleet.start({ zones: ['a', 'b'], backendsPerZone: 1 });
    await fleet.converged(1);
  });

  afterEach(() => fleet.stop());

  it('serves a request from any node, through the node beside the endpoint', async () => {
    for (const machine of fleet.machines) {
      const response = await call(machine, '/tiles/7', { headers: { 'x-request-id': machine.id } });
      expect(response.status, machine.id).to.equal(200);
      expect(response.headers.get(VERDICT_HEADER)).to.equal('ran');
      await response.arrayBuffer();
    }
    const runs = fleet.machines.flatMap(({ backend }) => backend?.executions() ?? []);
    expect(runs).to.have.length(fleet.machines.length);
  });

  it('refuses an unknown route with verdict not-run', async () => {
    const response = await call(fleet.machine('edge-a'), '/nowhere');
    expect(response.status).to.equal(404);
    expect(response.headers.get(VERDICT_HEADER)).to.equal('not-run');
    await response.arrayBuffer();
  });

  it('propagates a change to every node and rejects an invalid version as a whole', async () => {
    fleet.publish(2);
    await fleet.converged(2);
    fleet.platform.publish({ version: 3, raw: '{"version":3,"resources":[{"kind":"route"}]}' });
    fleet.publish(4);
    await fleet.converged(4);
    expect(fleet.platform.counters().peakReaders).to.be.at.most(2);
  });

  it('never goes back when the source restarts from zero', async () => {
    fleet.publish(5);
    await fleet.converged(5);
    fleet.platform.restartFromZero();
    const readsBefore = fleet.platform.counters().reads;
    await eventually(() => Promise.resolve(fleet.platform.counters().reads > readsBefore + 4));
    await eventually(async () => (await statuses(fleet)).some(({ source }) => source.isStale));
    for (const machine of fleet.machines) {
      expect(await sourceVersion(machine)).to.equal(5);
    }
    fleet.publish(6);
    await fleet.converged(6);
  });

  it('reports in its status why a version was rejected and that all nodes hold the same versions', async () => {
    const dangling = { kind: 'route', name: 'x', spec: { pathPrefix: '/', service: 'gone' } };
    fleet.platform.publish({
      version: 9,
      raw: JSON.stringify({ version: 9, resources: [dangling] }),
    });
    await eventually(async () =>
      (await statuses(fleet)).every(({ source }) =>
        source.rejected?.reason.includes('refers to missing service/gone'),
      ),
    );
    await eventually(async () =>
      (await statuses(fleet)).every(
        ({ convergence }) =>
          convergence.neighbours === fleet.machines.length - 1 &&
          convergence.neighboursAtHeldVersions === convergence.neighbours,
      ),
    );
  });

  it('reports endpoint states in its status', async () => {
    const stateOf = async (name: string): Promise<string | undefined> => {
      const { endpoints } = await statusOf(fleet.machine('edge-a'));
      return endpoints.find((endpoint) => endpoint.name === name)?.state;
    };
    expect(await stateOf('tiles-a-0')).to.equal('ready');
    await fleet.machine('tiles-a-0').node.stop();
    await eventually(async () => (await stateOf('tiles-a-0')) === 'draining');
    expect(await stateOf('tiles-b-0')).to.equal('ready');
  });

  it('completes an in-flight request during a planned stop of its node', async () => {
    const machine = fleet.machine('edge-a');
    const answer = call(machine, '/tiles/slow', { headers: { 'x-work-ms': '300' } });
    await eventually(() =>
      Promise.resolve(fleet.machines.some(({ backend }) => backend?.counters().inFlight === 1)),
    );
    await machine.node.stop();
    const response = await answer;
    expect(response.status).to.equal(200);
    expect((await response.arrayBuffer()).byteLength).to.be.greaterThan(0);
  });
});

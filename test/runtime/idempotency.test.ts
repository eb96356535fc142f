import { expect } from 'chai';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import { call, eventually, LocalFleet } from '../support/local-fleet.js';

/** Places one order; returns the status and verdict of the response. */
async function placeOrder(
  fleet: LocalFleet,
  node: string,
  key: string | undefined,
): Promise<string> {
  const headers: Record<string, string> = { 'x-call-id': `${node} ${key ?? ''}` };
  if (key !== undefined) {
    headers['idempotency-key'] = key;
  }
  const response = await call(fleet.machine(node), '/tiles/order', { method: 'POST', headers });
  await response.arrayBuffer();
  return `${response.status} ${response.headers.get(VERDICT_HEADER)}`;
}

function runCount(fleet: LocalFleet, key: string): number {
  return fleet.machines
    .flatMap(({ backend }) => backend?.executions() ?? [])
    .filter(({ idempotencyKey }) => idempotencyKey === key).length;
}

describe('runtime/node: idempotency keys', function () {
  this.timeout(30_000);
  let fleet: LocalFleet;

  async function start(claimsOpenWhenAllAreNew: boolean): Promise<void> {
    const plan = { zones: ['a', 'b'], backendsPerZone: 1, claimsOpenWhenAllAreNew };
    fleet = await LocalFleet.start(plan);
    await fleet.converged(1);
  }

  afterEach(() => fleet.stop());

  it('runs a key at most once on all nodes, also after a node was aborted', async () => {
    await start(true);
    let probe = 0;
    await eventually(async () => {
      probe += 1;
      return (await placeOrder(fleet, 'edge-a', `probe-${probe}`)) === '200 ran';
    });
    expect(await placeOrder(fleet, 'edge-a', 'charge-1')).to.equal('200 ran');
    expect(await placeOrder(fleet, 'edge-b', 'charge-1')).to.equal('409 ran');
    const raced = await Promise.all(
      fleet.machines.map(({ id }) => placeOrder(fleet, id, 'charge-2')),
    );
    expect(raced.filter((answer) => answer === '200 ran').length).to.be.at.most(1);
    fleet.machine('edge-a').node.abort();
    expect(await placeOrder(fleet, 'edge-b', 'charge-1')).to.equal('409 ran');
    expect(runCount(fleet, 'charge-1')).to.equal(1);
    expect(runCount(fleet, 'charge-2')).to.be.at.most(1);
  });

  it('refuses keys as not run while no claim holder has complete state, and runs requests without a key', async () => {
    await start(false);
    expect(await placeOrder(fleet, 'edge-a', 'charge-1')).to.equal('503 not-run');
    expect(await placeOrder(fleet, 'edge-a', undefined)).to.equal('200 ran');
    expect(runCount(fleet, 'charge-1')).to.equal(0);
  });
});

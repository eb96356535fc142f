import { expect } from 'chai';
import { VERDICT_HEADER } from '../../src/model/verdict.js';
import { call, eventually, LocalFleet } from '../support/local-fleet.js';

/** Answer to one order: status and verdict. */
async function order(fleet: LocalFleet, node: string, key: string | undefined): Promise<string> {
  const headers: Record<string, string> = { 'x-call-id': `${node} ${key ?? ''}` };
  if (key !== undefined) {
    headers['idempotency-key'] = key;
  }
  const response = await call(fleet.machine(node), '/tiles/order', { method: 'POST', headers });
  await response.arrayBuffer();
  return `${response.status} ${response.headers.get(VERDICT_HEADER)}`;
}

function runs(fleet: LocalFleet, key: string): number {
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

  it('runs a key once, at whichever nodes it is asked for, its holders and owner dead or not', async () => {
    await start(true);
    let probe = 0;
    await eventually(async () => {
      probe += 1;
      return (await order(fleet, 'edge-a', `probe-${probe}`)) === '200 ran';
    });
    expect(await order(fleet, 'edge-a', 'charge-1')).to.equal('200 ran');
    expect(await order(fleet, 'edge-b', 'charge-1')).to.equal('409 ran');
    const raced = await Promise.all(fleet.machines.map(({ id }) => order(fleet, id, 'charge-2')));
    expect(raced.filter((answer) => answer === '200 ran').length).to.be.at.most(1);
    fleet.machine('edge-a').node.abort();
    expect(await order(fleet, 'edge-b', 'charge-1')).to.equal('409 ran');
    expect(runs(fleet, 'charge-1')).to.equal(1);
    expect(runs(fleet, 'charge-2')).to.be.at.most(1);
  });

  it('refuses keys, with proof of not run, while no holder can know; other requests run', async () => {
    await start(false);
    expect(await order(fleet, 'edge-a', 'charge-1')).to.equal('503 not-run');
    expect(await order(fleet, 'edge-a', undefined)).to.equal('200 ran');
    expect(runs(fleet, 'charge-1')).to.equal(0);
  });
});

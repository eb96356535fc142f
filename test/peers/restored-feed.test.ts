/** Feeds of a zone whose store is restored from a backup. */
import { expect } from 'chai';
import { DeliveryFleet, pause } from './delivery-fleet.js';

/** Half of the 2.5 s bound on propagation; the other half is headroom for load. */
const BOUND_MS = 1_250;
const MACHINES = 6;
const LINK_BYTES_PER_S = 10_000_000;
const KEY = 'servers/i-1';

describe('feeds of nodes whose store is restored from a backup', () => {
  let fleet: DeliveryFleet;

  afterEach(() => fleet.close());

  // Guards against feeds that send nothing to followers at a higher revision of the lost history.
  it('send a draining state at a revision that was already used before the restore', async () => {
    fleet = await DeliveryFleet.start({ machines: MACHINES, linkBytesPerS: LINK_BYTES_PER_S });
    await fleet.deliver('ready', KEY);
    const backup = fleet.store.backup();
    for (const version of ['second', 'third', 'fourth']) {
      await fleet.deliver(version);
    }
    fleet.store.restore(backup);
    await pause(BOUND_MS);
    fleet.store.put(KEY, 'draining');
    await pause(BOUND_MS);
    const held = fleet.machines.map(({ replica }) => replica.changeOf(KEY)?.value);
    expect(new Set(held)).to.deep.equal(new Set(['draining']));
  });
});

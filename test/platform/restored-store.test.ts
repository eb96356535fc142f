/**
 * A store that is restored from a backup: it reissues revisions, and writers repeat the writes made since the
 * backup. Nodes, back ends and the store communicate over sockets.
 */
import { expect } from 'chai';
import type { StoreBackup } from '../../standins/store-platform/store-stand-in.js';
import { pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

/** Bound on the time until a change is in force on every node, in milliseconds. */
const IN_FORCE_MS = 2_000;
/** Time in which a change reaches every node, in milliseconds. */
const PROPAGATION_MS = 900;
/** Duration of the store outage before a restore, in milliseconds. */
const OUTAGE_MS = 300;
const REQUESTS_PER_MACHINE = 24;

describe('a store that comes back from an older copy', () => {
  let fleet: PlatformFleet;
  let machines: FleetMachine[];

  beforeEach(async () => {
    fleet = await PlatformFleet.start();
    machines = [];
    for (const zone of ['z1', 'z2', 'z3']) {
      machines.push(await fleet.addMachine('a', zone));
    }
    for (const machine of machines) {
      await fleet.untilStatus(machine, 200);
    }
  });

  afterEach(() => fleet.close());

  function machineAt(idx: number): FleetMachine {
    const machine = machines[idx];
    if (machine === undefined) {
      throw new Error(`no machine ${idx}`);
    }
    return machine;
  }

  /** Interrupts the store, restores the backup, then calls `rewrite`. */
  async function restore(backup: StoreBackup, rewrite: () => void): Promise<void> {
    fleet.store.fault = { type: 'reset' };
    fleet.store.cutWatches();
    await pause(OUTAGE_MS);
    fleet.store.fault = undefined;
    fleet.store.restore(backup);
    rewrite();
  }

  /** Writes configurations with one route to advance the revision. */
  async function writeConfigurations(times: number): Promise<void> {
    for (let written = 0; written < times; written += 1) {
      fleet.configure([{}]);
      await pause(20);
    }
    await pause(PROPAGATION_MS);
  }

  /** Sends a series of requests through each machine and counts those that reach the back end of `machine`. */
  async function arrivalsAt({ backend }: FleetMachine): Promise<number> {
    backend.arrivals.length = 0;
    for (const machine of machines) {
      for (let sent = 0; sent < REQUESTS_PER_MACHINE; sent += 1) {
        await fleet.call(machine);
      }
    }
    return backend.arrivals.length;
  }

  it('has a configuration in force in time whose revision was given out before', async () => {
    const backup = fleet.store.backup();
    await writeConfigurations(4);
    await restore(backup, () => fleet.configure([{}]));
    await pause(PROPAGATION_MS);
    fleet.configure([{}, {}]);
    await pause(IN_FORCE_MS);
    for (const machine of machines) {
      expect((await fleet.call(machine, { path: '/p1/x' })).status).to.equal(200);
    }
  });

  it('empties a back end that says it leaves at a revision that was given out before', async () => {
    const draining = machineAt(0);
    const backup = fleet.store.backup();
    await writeConfigurations(4);
    fleet.announce(draining, 'a', 'ready');
    await pause(PROPAGATION_MS);
    await restore(backup, () => fleet.announce(draining, 'a', 'ready'));
    await pause(PROPAGATION_MS);
    fleet.announce(draining, 'a', 'draining');
    await pause(IN_FORCE_MS);
    expect(await arrivalsAt(draining)).to.equal(0);
  });

  it('sends nothing to a back end that had said it leaves, though the copy lists it as ready', async () => {
    const draining = machineAt(0);
    const backup = fleet.store.backup();
    fleet.announce(draining, 'a', 'draining');
    await pause(PROPAGATION_MS);
    await restore(backup, () => undefined);
    await pause(PROPAGATION_MS);
    expect(await arrivalsAt(draining)).to.equal(0);
  });

  it('sends nothing to a back end whose entry was gone, though the copy lists it', async () => {
    const removed = machineAt(0);
    const backup = fleet.store.backup();
    fleet.store.remove(`servers/${removed.backend.id}`);
    await pause(PROPAGATION_MS);
    await restore(backup, () => undefined);
    await pause(PROPAGATION_MS);
    expect(await arrivalsAt(removed)).to.equal(0);
  });

  it('keeps a zone evacuated whose evacuation the copy does not hold', async () => {
    const evacuated = machineAt(0);
    const backup = fleet.store.backup();
    fleet.store.put(`op/evacuate/${evacuated.zone}`, {});
    await pause(PROPAGATION_MS);
    await restore(backup, () => undefined);
    await pause(PROPAGATION_MS);
    expect(await arrivalsAt(evacuated)).to.equal(0);
  });

  it('goes on using a back end that the copy does not list until it is written again', async () => {
    const unlisted = machineAt(0);
    const other = machineAt(1);
    fleet.store.remove(`servers/${unlisted.backend.id}`);
    await pause(PROPAGATION_MS);
    const backup = fleet.store.backup();
    fleet.announce(unlisted, 'a', 'ready');
    await pause(PROPAGATION_MS);
    await restore(backup, () => undefined);
    await pause(PROPAGATION_MS);
    fleet.store.remove(`servers/${other.backend.id}`);
    expect(await arrivalsAt(unlisted)).to.be.greaterThan(0);
  });

  it('goes by the store once its entries had time to be written again', async () => {
    const removed = machineAt(0);
    const backup = fleet.store.backup();
    fleet.store.remove(`servers/${removed.backend.id}`);
    await pause(PROPAGATION_MS);
    await restore(backup, () => undefined);
    await pause(9_500);
    expect(await arrivalsAt(removed)).to.be.greaterThan(0);
  }).timeout(20_000);
});

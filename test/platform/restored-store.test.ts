/**
 * A store that comes back from an older copy of itself: its revisions go back and are given out again, and
 * what was written since the copy is written again. Nodes, back ends and the store are on sockets.
 */
import { expect } from 'chai';
import type { StoreCopy } from '../../standins/store-platform/store-stand-in.js';
import { pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

/** A change has to be in force at each node within this time, in milliseconds. */
const IN_FORCE_MS = 2_000;
/** Nodes know of a change within this time, in milliseconds. */
const KNOWN_AFTER_MS = 900;
/** The store is away for so long, in milliseconds. */
const AWAY_MS = 300;
const SERIES = 24;

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

  /** The store goes away and comes back as it was; then `rewrite` is called. */
  async function restore(copy: StoreCopy, rewrite: () => void): Promise<void> {
    fleet.store.fault = { type: 'reset' };
    fleet.store.cutWatches();
    await pause(AWAY_MS);
    fleet.store.fault = undefined;
    fleet.store.restore(copy);
    rewrite();
  }

  /** Writes configurations of one route, so that revisions rise. */
  async function configureAgain(times: number): Promise<void> {
    for (let written = 0; written < times; written += 1) {
      fleet.configure([{}]);
      await pause(20);
    }
    await pause(KNOWN_AFTER_MS);
  }

  /** How many of a series of requests from all machines the back end of `machine` got. */
  async function arrivalsAt({ backend }: FleetMachine): Promise<number> {
    backend.arrivals.length = 0;
    for (const machine of machines) {
      for (let sent = 0; sent < SERIES; sent += 1) {
        await fleet.call(machine);
      }
    }
    return backend.arrivals.length;
  }

  it('has a configuration in force in time whose revision was given out before', async () => {
    const copy = fleet.store.copy();
    await configureAgain(4);
    await restore(copy, () => fleet.configure([{}]));
    await pause(KNOWN_AFTER_MS);
    fleet.configure([{}, {}]);
    await pause(IN_FORCE_MS);
    for (const machine of machines) {
      expect((await fleet.call(machine, { path: '/p1/x' })).status).to.equal(200);
    }
  });

  it('empties a back end that says it leaves at a revision that was given out before', async () => {
    const leaving = machineAt(0);
    const copy = fleet.store.copy();
    await configureAgain(4);
    fleet.announce(leaving, 'a', 'ready');
    await pause(KNOWN_AFTER_MS);
    await restore(copy, () => fleet.announce(leaving, 'a', 'ready'));
    await pause(KNOWN_AFTER_MS);
    fleet.announce(leaving, 'a', 'draining');
    await pause(IN_FORCE_MS);
    expect(await arrivalsAt(leaving)).to.equal(0);
  });
});

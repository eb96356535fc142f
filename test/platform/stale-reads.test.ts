/**
 * Guards against nodes that go by reads of the store that may be seconds old: they send requests to a back end that has
 * drained, and serve by an old configuration.
 */
import { expect } from 'chai';
import { pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

/** The bound for a configuration and for a draining back end, in milliseconds. */
const BOUND_MS = 2_000;
const STALE_LAG_MS = 6_000;
/** Time after a start until the nodes follow each other, in milliseconds. */
const SETTLE_MS = 2_500;
const CALLS = 12;

describe('reads of the store that are seconds old', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start();
    fleet.store.staleLagMs = STALE_LAG_MS;
  });

  afterEach(() => fleet.close());

  async function startMachines(): Promise<FleetMachine[]> {
    const machines: FleetMachine[] = [];
    for (const zone of ['z1', 'z1', 'z2', 'z2', 'z3']) {
      machines.push(await fleet.addMachine('a', zone));
    }
    await pause(SETTLE_MS);
    return machines;
  }

  /** Requests of callers on the machine that reached the back end of `other`. */
  async function arrivalsAt(other: FleetMachine, machine: FleetMachine): Promise<number> {
    const before = other.backend.arrivals.length;
    await Promise.all(Array.from({ length: CALLS }, () => fleet.call(machine)));
    return other.backend.arrivals.length - before;
  }

  it('do not keep a draining back end in use, and not an old configuration in force', async () => {
    const machines = await startMachines();
    const [leaving] = machines;
    if (leaving === undefined) {
      throw new Error('no machine was started');
    }
    fleet.announce(leaving, 'a', 'draining');
    fleet.configure([{}, {}], 9);
    await pause(BOUND_MS);
    for (const machine of machines) {
      expect(await arrivalsAt(leaving, machine)).to.equal(0);
      expect((await fleet.call(machine, { path: '/p1/x' })).status).to.equal(200);
    }
  });

  it('do not mislead a node that has just started, once it is ready', async () => {
    const [leaving, other] = await startMachines();
    if (leaving === undefined || other === undefined) {
      throw new Error('no machine was started');
    }
    fleet.announce(leaving, 'a', 'draining');
    fleet.configure([{}, {}], 9);
    const started = await fleet.addMachine('a', 'z1');
    while ((await fleet.readiness(started)) !== 200) {
      await pause(5);
    }
    expect(await arrivalsAt(leaving, started)).to.equal(0);
    expect((await fleet.call(started, { path: '/p1/x' })).status).to.equal(200);
  });

  it('are few: of five nodes that have settled, two make current reads', async () => {
    await startMachines();
    const { calls } = fleet.store;
    const from = calls.length;
    await pause(3_000);
    const made = calls.slice(from);
    // Two readers, a call each 600 ms; one more each for the edges of the window.
    expect(made.length).to.be.within(6, 12);
    expect(made.filter((target) => target.includes('stale=1'))).to.deep.equal([]);
  });
});

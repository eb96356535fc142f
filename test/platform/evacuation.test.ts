/**
 * Zones that are evacuated, with nodes, back ends and a store on sockets: their back ends get nothing by any
 * way, their callers are served by others, and all of it ends with the evacuation.
 */
import { expect } from 'chai';
import {
  pause,
  PlatformFleet,
  SLOTS,
  untilArrivals,
  type ClientResult,
  type FleetMachine,
} from './platform-fleet.js';

const ROUTE = { kind: 'unsafe', timeoutS: 3, targetLatencyS: 1, maxAttempts: 2 } as const;
const CALL = { method: 'POST', body: 'order', deadlineMs: 3_000 };
/** Nodes know of an item within this time, in milliseconds. */
const KNOWN_AFTER_MS = 900;
/** What can't be served is refused within this time, in milliseconds. */
const AT_ONCE_MS = 300;
const SERIES = 16;

describe('an evacuated zone', () => {
  let fleet: PlatformFleet;
  /** In the zone that is evacuated. */
  let near: FleetMachine;
  /** In another one. */
  let far: FleetMachine;

  beforeEach(async () => {
    fleet = await PlatformFleet.start(ROUTE);
    near = await fleet.addMachine('a', 'z1');
    far = await fleet.addMachine('a', 'z2');
    await fleet.untilStatus(near, 200);
    await fleet.untilStatus(far, 200);
  });

  afterEach(() => fleet.close());

  async function evacuate(...zones: readonly string[]): Promise<void> {
    zones.forEach((zone) => fleet.store.put(`op/evacuate/${zone}`, {}));
    await pause(KNOWN_AFTER_MS);
    forgetArrivals();
  }

  function forgetArrivals(): void {
    near.backend.arrivals.length = 0;
    far.backend.arrivals.length = 0;
  }

  async function series(machine: FleetMachine, count = SERIES): Promise<ClientResult[]> {
    const results: ClientResult[] = [];
    for (let sent = 0; sent < count; sent += 1) {
      results.push(await fleet.call(machine, CALL));
    }
    return results;
  }

  it('gets nothing, and its callers are served as ever', async () => {
    await evacuate('z1');
    const results = [...(await series(near)), ...(await series(far))];
    expect(new Set(results.map(({ status }) => status))).to.deep.equal(new Set([200]));
    expect(near.backend.arrivals).to.have.length(0);
    expect(far.backend.arrivals).to.have.length(2 * SERIES);
  });

  it('is told in the log, with by whom it was heard of, and in the metrics', async () => {
    await evacuate('z1');
    const told = near.log.find((line) => line.includes('"zone-evacuated"'));
    expect(told).to.include('"zone":"z1"').and.include('"path":');
    expect(await fleet.metrics(near)).to.include('ferryspool_evacuated_zones 1');
    fleet.store.remove('op/evacuate/z1');
    await pause(KNOWN_AFTER_MS);
    expect(near.log.some((line) => line.includes('"zone-taken-back"'))).to.equal(true);
    expect(await fleet.metrics(near)).to.include('ferryspool_evacuated_zones 0');
  });

  it('gets work again once it is taken back', async () => {
    await evacuate('z1');
    fleet.store.remove('op/evacuate/z1');
    await pause(KNOWN_AFTER_MS);
    forgetArrivals();
    await series(near);
    expect(near.backend.arrivals).to.have.length.greaterThan(0);
  });

  it('is refused at once where no other zone is left', async () => {
    await evacuate('z1', 'z2');
    for (const machine of [near, far]) {
      const beganAtMs = performance.now();
      const { status, headers } = await fleet.call(machine, CALL);
      expect(status).to.equal(503);
      expect(Number(headers['retry-after'])).to.be.greaterThan(0);
      expect(performance.now() - beganAtMs).to.be.below(AT_ONCE_MS);
    }
    expect(near.backend.arrivals.length + far.backend.arrivals.length).to.equal(0);
  });

  it('gets nothing of what waited there: that is served elsewhere in time', async () => {
    fleet.configure([{ ...ROUTE, targetLatencyS: 2.5 }]);
    await evacuate('z2');
    near.backend.behaviour = () => undefined;
    const calls = Array.from({ length: 2 * SLOTS }, () => fleet.call(near, CALL));
    await untilArrivals(near, SLOTS);
    fleet.store.remove('op/evacuate/z2');
    await pause(KNOWN_AFTER_MS / 3);
    const evacuatedAtMs = performance.now();
    fleet.store.put('op/evacuate/z1', {});
    await untilArrivals(far, SLOTS);
    expect(performance.now() - evacuatedAtMs).to.be.below(KNOWN_AFTER_MS);
    near.backend.close();
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    expect(statuses.filter((status) => status === 200)).to.have.length(SLOTS);
    expect(near.backend.arrivals).to.have.length(SLOTS);
  }).timeout(10_000);

  it('is known to a node that starts anew, before it says that it is ready', async () => {
    await evacuate('z1');
    near.node.abort();
    const node = fleet.createNode(near.address, 'a', near.log);
    await node.open();
    while ((await fleet.readiness(near)) !== 200) {
      await pause(5);
    }
    await series(near);
    expect(near.backend.arrivals).to.have.length(0);
  });

  it('stays known while the store is away, also after its history is lost', async () => {
    await evacuate('z1');
    fleet.store.fault = { type: 'silent' };
    await series(near, SLOTS);
    fleet.store.fault = undefined;
    fleet.store.compact();
    await pause(KNOWN_AFTER_MS);
    await series(far, SLOTS);
    expect(near.backend.arrivals).to.have.length(0);
  }).timeout(10_000);

  for (const [key, value] of [
    ['op/evacuate/z1', 'no object'],
    ['op/evacuate/z1', [1]],
    ['op/evacuate/', {}],
    ['op/evacuate/z1/z1', {}],
    ['op/evacuate/nobody', {}],
  ] as const) {
    it(`is none by ${key} with ${JSON.stringify(value)}`, async () => {
      fleet.store.put(key, value);
      await pause(KNOWN_AFTER_MS);
      forgetArrivals();
      await series(near);
      expect(near.backend.arrivals).to.have.length.greaterThan(0);
      const isRefused = near.log.some((line) => line.includes('store-item-refused'));
      expect(isRefused).to.equal(key !== 'op/evacuate/nobody');
    });
  }
});

/**
 * A back end that reports that work takes three times as long as usual, with nodes and a store on sockets. Guards against a
 * report that is lost on its way from the back end over its node to the node that chooses.
 */
import { expect } from 'chai';
import { answer } from '../../standins/store-platform/backend-stand-in.js';
import { pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

const SERVICE_MS = 40;
const GAP_MS = 30;

describe('a back end that reports that it is slow at present', () => {
  let fleet: PlatformFleet;
  let owners: FleetMachine[];
  let caller: FleetMachine;

  beforeEach(async () => {
    fleet = await PlatformFleet.start({ targetLatencyS: 0.1 });
    owners = [await fleet.addMachine('a'), await fleet.addMachine('a')];
    caller = await fleet.addMachine('b');
    owners.forEach(({ backend }) => {
      backend.behaviour = (_request, response, { requestId }) => {
        setTimeout(() => answer(response, requestId, undefined, backend.load), SERVICE_MS);
      };
    });
    await fleet.untilStatus(caller, 200);
  });

  afterEach(() => fleet.close());

  /** Sends requests one after the other; returns how many of them each back end received. */
  async function receivedOf(count: number): Promise<number[]> {
    const before = owners.map(({ backend }) => backend.arrivals.length);
    for (let sent = 0; sent < count; sent += 1) {
      await fleet.call(caller);
      await pause(GAP_MS);
    }
    return owners.map(({ backend }, index) => backend.arrivals.length - (before[index] ?? 0));
  }

  it('gets less work from another node than before', async () => {
    const [first = 0, second = 0] = await receivedOf(20);
    const index = first > second ? 0 : 1;
    const preferred = owners[index] as FleetMachine;
    preferred.backend.load = '1,0,4,300';
    while ((await receivedOf(1))[index] === 0) {
      // The report is known once the preferred back end has answered.
    }
    expect((await receivedOf(20))[index]).to.be.below(8);
    const metrics = await fleet.metrics(preferred);
    const reported = /ferryspool_endpoint_slow_reports_total (\d+)/.exec(metrics);
    expect(Number(reported?.[1])).to.be.within(1, 8);
  }).timeout(15_000);

  it('has its free slots announced to another node that sends requests', async () => {
    owners.forEach(({ backend }) => (backend.load = '1,0,4,100'));
    await receivedOf(20);
    const metrics = await fleet.metrics(caller);
    for (const event of ['received', 'used']) {
      const counted = new RegExp(`ferryspool_slot_announcements_${event}_total (\\d+)`).exec(
        metrics,
      );
      expect(Number(counted?.[1]), event).to.be.above(1);
    }
  }).timeout(15_000);
});

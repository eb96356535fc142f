/**
 * Back ends that are cold, with nodes and a store on sockets: all nodes together send no more in any second than
 * the platform allows, and yet what such a back end bears.
 */
import { expect } from 'chai';
import {
  COLD_BOUND,
  pause,
  PlatformFleet,
  type ClientResult,
  type FleetMachine,
} from './platform-fleet.js';

const ROUTE = { kind: 'safe', timeoutS: 2, targetLatencyS: 0.5, maxAttempts: 2 } as const;
const COLD_START = { coldStartS: 3, coldPerS: 4 };
const ALLOWED = COLD_START.coldPerS * COLD_BOUND.factor + COLD_BOUND.extraRequests;
const KNOWN_AFTER_MS = 900;
/** Requests of callers in a second, several times what a cold back end may get. */
const RATE_PER_S = 60;
const MS_PER_SECOND = 1_000;

describe('a cold back end', () => {
  let fleet: PlatformFleet;
  let home: FleetMachine;
  let other: FleetMachine;

  beforeEach(async () => {
    fleet = await PlatformFleet.start(ROUTE);
    fleet.coldStart = COLD_START;
    fleet.configure([ROUTE]);
    home = await fleet.addMachine('a');
    other = await fleet.addMachine('b');
    await fleet.untilStatus(home, 200);
    await fleet.untilStatus(other, 200);
  });

  afterEach(() => fleet.close());

  async function load(forS: number): Promise<ClientResult[]> {
    const calls: Promise<ClientResult>[] = [];
    for (let sent = 0; sent < forS * RATE_PER_S; sent += 1) {
      calls.push(fleet.call(sent % 2 === 0 ? home : other, { deadlineMs: 1_000 }));
      await pause(MS_PER_SECOND / RATE_PER_S);
    }
    return Promise.all(calls);
  }

  /** Most arrivals within any second. */
  function busiestSecond(machine = home): number {
    const times = machine.backend.arrivals.map(({ arrivedAtMs }) => arrivedAtMs);
    return Math.max(
      0,
      ...times.map((first) => times.filter((at) => at >= first && at < first + 1_000).length),
    );
  }

  function arrivalsPerS(machine = home): number {
    const times = machine.backend.arrivals.map(({ arrivedAtMs }) => arrivedAtMs);
    const spanMs = (times.at(-1) ?? 0) - (times[0] ?? 0);
    return ((times.length - 1) * MS_PER_SECOND) / spanMs;
  }

  it('gets what it bears and no more, of however many nodes', async () => {
    home.backend.close();
    await fleet.restartBackend(home, 'a', COLD_START.coldStartS + 2);
    const results = await load(3);
    expect(busiestSecond()).to.be.at.most(ALLOWED);
    expect(arrivalsPerS()).to.be.at.least(COLD_START.coldPerS);
    expect(results.filter(({ status }) => status === 200)).to.have.length(
      home.backend.arrivals.length,
    );
    expect(new Set(results.map(({ status }) => status))).to.deep.equal(new Set([200, 503]));
  }).timeout(10_000);

  it('gets no more although its entry tells only now, with requests sent before', async () => {
    await load(0.5);
    fleet.announce(home, 'a', 'ready', COLD_START.coldStartS);
    await pause(KNOWN_AFTER_MS / 3);
    home.backend.arrivals.length = 0;
    await load(1.5);
    expect(busiestSecond()).to.be.at.most(ALLOWED);
  }).timeout(10_000);

  it('gets no more while the node beside it starts anew', async () => {
    home.backend.close();
    await fleet.restartBackend(home, 'a', COLD_START.coldStartS + 2);
    const before = load(0.7);
    await pause(500);
    home.node.abort();
    const node = fleet.createNode(home.address, 'a', home.log);
    await node.open();
    await load(2);
    await before;
    expect(busiestSecond()).to.be.at.most(ALLOWED);
    expect(home.backend.arrivals).to.have.length.greaterThan(ALLOWED);
  }).timeout(10_000);

  it('is taken for cold as its zone is taken back, until something is heard', async () => {
    fleet.store.put('op/evacuate/z1', {});
    await pause(KNOWN_AFTER_MS);
    fleet.store.remove('op/evacuate/z1');
    home.backend.arrivals.length = 0;
    await load(2);
    expect(busiestSecond()).to.be.at.most(ALLOWED);
    expect(home.backend.arrivals).to.have.length.greaterThan(0);
  }).timeout(10_000);

  it('gets all that comes once it is warm', async () => {
    home.backend.close();
    await fleet.restartBackend(home, 'a', 1);
    await pause(2_500);
    home.backend.arrivals.length = 0;
    const results = await load(1);
    expect(results.map(({ status }) => status)).to.deep.equal(results.map(() => 200));
    expect(busiestSecond()).to.be.greaterThan(ALLOWED);
  }).timeout(10_000);
});

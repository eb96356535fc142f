/**
 * Back ends that name a rate limit in their answers, with nodes and a store on sockets. Guards against a back end
 * that gets more than its limit from all machines that have passed on such an answer.
 */
import { expect } from 'chai';
import { pause, PlatformFleet, type ClientResult, type FleetMachine } from './platform-fleet.js';

const ROUTE = { kind: 'safe', timeoutS: 2, targetLatencyS: 0.5, maxAttempts: 2 } as const;
const MS_PER_SECOND = 1_000;
/** Requests of callers in a second, several times the limits of these tests. */
const RATE_PER_S = 60;
/** Time after a machine's first such answer from which its requests count, in milliseconds. */
const TOLD_MS = 500;
const WINDOW_MS = 4_000;
/** Requests allowed in any window of {@link WINDOW_MS}. */
function allowedInWindow(limitPerS: number): number {
  return (1.5 * limitPerS * WINDOW_MS) / MS_PER_SECOND + 5;
}

describe('a back end that names a rate limit', () => {
  let fleet: PlatformFleet;
  let home: FleetMachine;
  /** Machines whose callers send requests. */
  let senders: FleetMachine[];

  beforeEach(async () => {
    fleet = await PlatformFleet.start(ROUTE);
    home = await fleet.addMachine('a');
    senders = [home, await fleet.addMachine('b'), await fleet.addMachine('b')];
    for (const machine of senders) {
      await fleet.untilStatus(machine, 200);
    }
    home.backend.arrivals.length = 0;
  });

  afterEach(() => fleet.close());

  /** Sends requests from the senders in turn, at an even rate. */
  async function load(forS: number): Promise<ClientResult[]> {
    const results: Promise<ClientResult>[] = [];
    for (let sent = 0; sent < forS * RATE_PER_S; sent += 1) {
      const sender = senders[sent % senders.length] ?? home;
      results.push(fleet.call(sender, { deadlineMs: 1_000 }));
      await pause(MS_PER_SECOND / RATE_PER_S);
    }
    return Promise.all(results);
  }

  function arrivalTimes(sinceMs = -Infinity): number[] {
    return home.backend.arrivals
      .map(({ arrivedAtMs }) => arrivedAtMs)
      .filter((atMs) => atMs >= sinceMs);
  }

  /** Most arrivals within any window. */
  function busiestWindow(times: readonly number[]): number {
    const counts = times.map(
      (firstMs) => times.filter((atMs) => atMs >= firstMs && atMs < firstMs + WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  it('gets no more than the limit from all machines together', async () => {
    home.backend.rateLimit = '3.3';
    await load(TOLD_MS / MS_PER_SECOND);
    const toldAtMs = performance.now();
    await load(4.5);
    const counted = arrivalTimes(toldAtMs);
    expect(busiestWindow(counted)).to.be.at.most(allowedInWindow(3.3));
    expect(counted.length).to.be.at.least(3.3 * 3);
  }).timeout(15_000);

  it('gets no more than the limit after the node beside it has restarted', async () => {
    home.backend.rateLimit = '0.4';
    await load(TOLD_MS / MS_PER_SECOND);
    const toldAtMs = performance.now();
    await load(1);
    home.node.abort();
    const node = fleet.createNode(home.address, 'a', home.log);
    await node.open();
    // The rule does not count requests that began at the restarted machine.
    senders = senders.filter((sender) => sender !== home);
    await load(3.5);
    expect(busiestWindow(arrivalTimes(toldAtMs))).to.be.at.most(allowedInWindow(0.4));
  }).timeout(15_000);
});

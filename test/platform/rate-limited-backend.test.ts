/**
 * Back ends that name a rate limit in their answers, with nodes and a store on sockets. Guards against a back end
 * that gets more than its limit from all machines that have passed on such an answer.
 */
import { expect } from 'chai';
import { answer, refuse } from '../../standins/store-platform/backend-stand-in.js';
import { pause, PlatformFleet, type ClientResult, type FleetMachine } from './platform-fleet.js';

const ROUTE = { kind: 'safe', timeoutS: 2, targetLatencyS: 0.5, maxAttempts: 2 } as const;
const MS_PER_SECOND = 1_000;
/** Requests of callers in a second, several times the limits of these tests. */
const RATE_PER_S = 60;
/** Time after a machine's first such answer from which its requests count, in milliseconds. */
const TOLD_MS = 500;
const WINDOW_MS = 4_000;
/** Longest time for which nodes do not ask a back end that has refused because of its limit, in milliseconds. */
const REFUSAL_HOLD_MS = 5_000;
/** Half of the target latency: a refusal that takes longer came after a wait, in milliseconds. */
const IMMEDIATE_MS = 250;
/** Time in which all nodes know a change of the store, in milliseconds. */
const KNOWN_AFTER_MS = 900;
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

  it('has its limit told to a restarted node by the first request of another one', async () => {
    home.backend.rateLimit = '0.4';
    await load(TOLD_MS / MS_PER_SECOND);
    home.node.abort();
    home.backend.behaviour = () => undefined;
    const node = fleet.createNode(home.address, 'a', home.log);
    await node.open();
    await pause(REFUSAL_HOLD_MS);
    home.backend.arrivals.length = 0;
    senders = senders.filter((sender) => sender !== home);
    await load(1);
    expect(arrivalTimes().length).to.equal(0);
    expect(home.log.join()).to.contain('has a limit of 0.4/s, as reported by a peer');
  }).timeout(15_000);

  it('keeps to the limit when its entry is removed from the store and listed again', async () => {
    home.backend.rateLimit = '0.4';
    await load(TOLD_MS / MS_PER_SECOND);
    const toldAtMs = performance.now();
    fleet.store.remove(`servers/${home.backend.id}`);
    await pause(KNOWN_AFTER_MS);
    fleet.announce(home, 'a', 'ready');
    await pause(KNOWN_AFTER_MS);
    await load(3);
    expect(busiestWindow(arrivalTimes(toldAtMs))).to.be.at.most(allowedInWindow(0.4));
  }).timeout(15_000);

  it('gets all requests again once its answers name no limit', async () => {
    home.backend.rateLimit = '3.3';
    await load(1);
    home.backend.rateLimit = undefined;
    await load(2);
    const liftedAtMs = performance.now();
    const results = await load(1);
    expect(arrivalTimes(liftedAtMs).length).to.be.at.least(RATE_PER_S * 0.9);
    expect(results.filter(({ status }) => status === 200).length).to.be.at.least(RATE_PER_S * 0.9);
  }).timeout(15_000);

  it('keeps to the limit while its refusals and errors do not name it', async () => {
    home.backend.rateLimit = '3.3';
    await load(1);
    home.backend.rateLimit = undefined;
    for (const status of [503, 500]) {
      home.backend.behaviour = (_request, response, { requestId }) => {
        const isRefusal = status === 503;
        response.writeHead(status, {
          'Request-Id': requestId,
          'Content-Length': 0,
          ...(isRefusal && { 'Not-Executed': '1' }),
        });
        response.end();
      };
      home.backend.arrivals.length = 0;
      const startMs = performance.now();
      await load(1.5);
      // Requests that wait for the limit arrive after the last one was sent.
      for (const forS of [1.5, (performance.now() - startMs) / MS_PER_SECOND]) {
        const untilMs = startMs + forS * MS_PER_SECOND;
        const arrived = arrivalTimes().filter((atMs) => atMs <= untilMs);
        expect(arrived.length).to.be.at.most(3.3 * forS + 2);
      }
    }
  }).timeout(15_000);

  it('gets a request now and then at a limit of 0, so that the limit can be lifted', async () => {
    home.backend.rateLimit = '0';
    await load(TOLD_MS / MS_PER_SECOND);
    const toldAtMs = performance.now();
    const before = load(3);
    await pause(1_000);
    home.backend.rateLimit = undefined;
    await before;
    await load(4);
    expect(arrivalTimes(toldAtMs).length).to.be.at.least(RATE_PER_S);
  }).timeout(15_000);

  it('is not limited as a new incarnation, which has named no limit', async () => {
    home.backend.rateLimit = '0.4';
    await load(1);
    home.backend.rateLimit = undefined;
    home.backend.close();
    await fleet.restartBackend(home);
    await pause(KNOWN_AFTER_MS);
    await load(1);
    expect(arrivalTimes().length).to.be.at.least(RATE_PER_S * 0.9);
  }).timeout(15_000);

  it('gets no less because of a limit in the answer of another back end at its address', async () => {
    home.backend.rateLimit = '0.4';
    home.backend.behaviour = (_request, response, { requestId }) => {
      refuse(response, requestId, 421);
    };
    await load(0.3);
    home.backend.rateLimit = undefined;
    home.backend.behaviour = (_request, response, { requestId }) => answer(response, requestId);
    await pause(2_000);
    home.backend.arrivals.length = 0;
    await load(1);
    expect(arrivalTimes().length).to.be.at.least(RATE_PER_S * 0.9);
  }).timeout(15_000);

  it('has its answers served although the limit in them is not a number, which is logged once', async () => {
    home.backend.rateLimit = '-1';
    const results = await load(1);
    expect(new Set(results.map(({ status }) => status))).to.deep.equal(new Set([200]));
    const lines = home.log.filter((line) => line.includes('rate limit that is not a number'));
    expect(lines).to.have.length(1);
    const unreadable = /ferryspool_endpoint_rate_limits_unreadable_total (\d+)/;
    const [, count] = unreadable.exec(await fleet.metrics(home)) ?? [];
    expect(Number(count)).to.be.at.least(RATE_PER_S * 0.9);
  }).timeout(15_000);

  it('has the rest refused at once with a time to come back, as not run', async () => {
    home.backend.rateLimit = '3.3';
    await load(TOLD_MS / MS_PER_SECOND);
    const results = await load(1);
    const refused = results.filter(({ status }) => status === 503);
    expect(refused.length).to.be.at.least(RATE_PER_S * 0.8);
    for (const { headers } of refused) {
      expect(Number(headers['retry-after'])).to.be.within(0.05, 6);
    }
    for (let call = 0; call < 10; call += 1) {
      const startedAtMs = performance.now();
      const { status } = await fleet.call(home, { deadlineMs: 1_000 });
      const elapsedMs = performance.now() - startedAtMs;
      expect(status === 503 ? elapsedMs : 0).to.be.lessThan(IMMEDIATE_MS);
    }
    const logged = home.log.filter((line) => line.includes('"code":"rate-limited"'));
    expect(logged.length).to.be.at.least(1);
    expect(logged[0]).to.contain('"maxRatePerS":3.3');
    expect(await fleet.metrics(home)).to.contain('ferryspool_limited_endpoints 1');
  }).timeout(15_000);

  it('leaves the rest to the other back ends of its service', async () => {
    const second = await fleet.addMachine('a');
    senders = [...senders, second];
    await pause(KNOWN_AFTER_MS);
    home.backend.rateLimit = '3.3';
    await load(TOLD_MS / MS_PER_SECOND);
    const toldAtMs = performance.now();
    const results = await load(3);
    const served = results.filter(({ status }) => status === 200);
    expect(served.length).to.be.at.least(results.length * 0.95);
    expect(busiestWindow(arrivalTimes(toldAtMs))).to.be.at.most(allowedInWindow(3.3));
  }).timeout(15_000);
});

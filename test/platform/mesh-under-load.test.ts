/** What nodes of the platform keep together: the bound on repeats, and stops amid changes. */
import http from 'node:http';
import { expect } from 'chai';
import { answer, type Arrival } from '../../standins/store-platform/backend-stand-in.js';
import { pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

/** The bound of the fleet's settings: a fifth of the requests, and so many at any rate. */
const RETRY_RATIO = 0.2;
const MIN_RETRIES = 60;
/** Any span of this length counts, in milliseconds. */
const RETRY_WINDOW_MS = 10_000;
/** Requests that fail are sent again after a back-off. */
const TIMEOUT_MS = 60_000;
/** Requests that a back end of the fleet runs at once. */
const SLOTS = 4;

/** By how much the repeats in any window exceed those that the requests of the same window allow. */
function mostExcessRepeats(arrivals: readonly Arrival[]): number {
  const firsts = new Map<string, number>();
  const repeatsMs: number[] = [];
  const inOrder = [...arrivals].sort((one, other) => one.arrivedAtMs - other.arrivedAtMs);
  for (const { requestId, arrivedAtMs } of inOrder) {
    if (firsts.has(requestId)) {
      repeatsMs.push(arrivedAtMs);
    } else {
      firsts.set(requestId, arrivedAtMs);
    }
  }
  const excesses = repeatsMs.map((endMs) => {
    const isInWindow = (atMs: number): boolean => atMs > endMs - RETRY_WINDOW_MS && atMs <= endMs;
    const requests = [...firsts.values()].filter(isInWindow).length;
    return repeatsMs.filter(isInWindow).length - requests * RETRY_RATIO - MIN_RETRIES;
  });
  return Math.max(...excesses);
}

describe('nodes of the platform together', () => {
  let fleet: PlatformFleet;

  afterEach(() => fleet.close());

  async function startMachines(services: readonly string[]): Promise<FleetMachine[]> {
    fleet = await PlatformFleet.start();
    const machines: FleetMachine[] = [];
    for (const service of services) {
      machines.push(await fleet.addMachine(service));
    }
    for (const machine of machines) {
      await fleet.untilStatus(machine, 200);
    }
    machines.forEach(({ backend }) => backend.arrivals.splice(0));
    return machines;
  }

  it('repeat no more of a service than its bound, however much fails at however many nodes', async function () {
    this.timeout(TIMEOUT_MS);
    const machines = await startMachines(['a', 'a', 'a', 'a']);
    for (const { backend } of machines) {
      backend.behaviour = (_request, response, { requestId }) => {
        response.writeHead(500, { 'Request-Id': requestId, 'Content-Length': 0 }).end();
      };
    }
    const count = 400;
    for (let round = 0; round < count / 8; round += 1) {
      const machine = machines[round % machines.length];
      if (machine !== undefined) {
        await Promise.all(Array.from({ length: 8 }, () => fleet.call(machine)));
      }
    }
    const arrivals = machines.flatMap(({ backend }) => backend.arrivals);
    expect(arrivals.length).to.be.greaterThan(count);
    expect(mostExcessRepeats(arrivals)).to.be.at.most(0);
  });

  it('cut no request of a node that stops while configurations come in quick succession', async () => {
    const [first, second] = await startMachines(['b', 'a']);
    if (first === undefined || second === undefined) {
      throw new Error('two machines are expected');
    }
    second.backend.behaviour = (_request, response, { requestId }) => {
      setTimeout(() => answer(response, requestId), 400);
    };
    const agent = new http.Agent({ keepAlive: true });
    const calls = Array.from({ length: SLOTS }, (_, idx) =>
      fleet.call(first, idx % 2 === 0 ? { agent } : {}),
    );
    await pause(50);
    fleet.configure([{}, {}]);
    const stopped = first.node.stop();
    fleet.configure([{}, {}, {}]);
    await pause(30);
    fleet.configure([{}]);
    const results = await Promise.all(calls);
    expect(results.map(({ status, isWhole }) => [status, isWhole])).to.deep.equal(
      calls.map(() => [200, true]),
    );
    await stopped;
    agent.destroy();
  });

  it('serve again within seconds after all of them were lost at once, from an empty memory', async () => {
    const machines = await startMachines(['a', 'b', 'a']);
    machines.forEach(({ node }) => node.abort());
    const restarted = machines.map(({ address }) => {
      const log: string[] = [];
      return { address, node: fleet.createNode(address, 'a', log) };
    });
    await Promise.all(restarted.map(({ node }) => node.open()));
    const beganAtMs = performance.now();
    await Promise.all(machines.map((machine) => fleet.untilStatus(machine, 200)));
    expect(performance.now() - beganAtMs).to.be.lessThan(3_000);
    restarted.forEach(({ node }) => node.abort());
  });
});

/**
 * Back ends that say in their answers that they leave, with nodes and a store on sockets. Guards against requests that
 * a machine sends to such a back end although it has passed on its word, and although the store still lists it as ready.
 */
import { expect } from 'chai';
import { answer } from '../../standins/store-platform/backend-stand-in.js';
import { pause, PlatformFleet, type ClientResult, type FleetMachine } from './platform-fleet.js';

const ROUTE = { kind: 'safe', timeoutS: 2, targetLatencyS: 0.5, maxAttempts: 2 } as const;
const MS_PER_SECOND = 1_000;
const RATE_PER_S = 60;
/** Time in which all nodes know a change of the store, and in which all have passed on an answer, in milliseconds. */
const KNOWN_AFTER_MS = 900;

/** How many results there are of each status, with the code of an error. */
function outcomesOf(results: readonly ClientResult[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status, body } of results) {
    const outcome = status === 200 ? '200' : `${status} ${body}`;
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}

describe('a back end that says that it leaves', () => {
  let fleet: PlatformFleet;
  let home: FleetMachine;
  let other: FleetMachine;

  beforeEach(async () => {
    fleet = await PlatformFleet.start(ROUTE);
    home = await fleet.addMachine('a');
    other = await fleet.addMachine('b');
    await fleet.untilStatus(home, 200);
    await fleet.untilStatus(other, 200);
  });

  afterEach(() => fleet.close());

  async function load(forS: number, senders = [home, other]): Promise<ClientResult[]> {
    const results: Promise<ClientResult>[] = [];
    for (let sent = 0; sent < forS * RATE_PER_S; sent += 1) {
      results.push(fleet.call(senders[sent % senders.length] ?? home, { deadlineMs: 1_000 }));
      await pause(MS_PER_SECOND / RATE_PER_S);
    }
    return Promise.all(results);
  }

  async function leave(): Promise<void> {
    home.backend.isLeaving = true;
    await load(KNOWN_AFTER_MS / MS_PER_SECOND);
    home.backend.arrivals.length = 0;
  }

  it('gets nothing more, although the store says that it is ready', async () => {
    await leave();
    const results = await load(2);
    expect(home.backend.arrivals.length).to.equal(0);
    expect(new Set(results.map(({ status }) => status))).to.deep.equal(new Set([503]));
  }).timeout(10_000);

  it('gets nothing more from other machines after the node beside it has restarted', async () => {
    await leave();
    home.node.abort();
    const node = fleet.createNode(home.address, 'a', home.log);
    await node.open();
    await load(2, [other]);
    expect(home.backend.arrivals.length).to.equal(0);
  }).timeout(10_000);

  it('gets nothing more when its entry is removed from the store and listed again', async () => {
    await leave();
    fleet.store.remove(`servers/${home.backend.id}`);
    await pause(KNOWN_AFTER_MS);
    fleet.announce(home, 'a', 'ready');
    await pause(KNOWN_AFTER_MS);
    await load(1);
    expect(home.backend.arrivals.length).to.equal(0);
  }).timeout(10_000);

  it('leaves its requests to the other back ends of its service', async () => {
    const second = await fleet.addMachine('a');
    await fleet.untilStatus(second, 200);
    await pause(KNOWN_AFTER_MS);
    await leave();
    const results = await load(1);
    expect(home.backend.arrivals.length).to.equal(0);
    expect(outcomesOf(results)).to.deep.equal({ '200': results.length });
  }).timeout(10_000);

  it('has a successor at its address that gets all requests', async () => {
    await leave();
    home.backend.close();
    await fleet.restartBackend(home);
    await pause(KNOWN_AFTER_MS);
    const results = await load(1);
    expect(outcomesOf(results)).to.deep.equal({ '200': results.length });
  }).timeout(10_000);

  it('is another process than one that starts again under its identity', async () => {
    await leave();
    home.backend.close();
    await fleet.rebearBackend(home);
    await pause(KNOWN_AFTER_MS);
    const results = await load(1);
    expect(outcomesOf(results)).to.deep.equal({ '200': results.length });
  }).timeout(10_000);

  it('is not one that only closes connections', async () => {
    home.backend.behaviour = (_request, response, { requestId }) => {
      response.setHeader('Connection', 'close');
      answer(response, requestId);
    };
    await load(0.5);
    const results = await load(1);
    expect(outcomesOf(results)).to.deep.equal({ '200': results.length });
  }).timeout(10_000);
});

/**
 * A planned stop with nodes and back ends on sockets: every request that was read gets a whole answer
 * before its connection is closed, whatever it waits for. That may be an endpoint at work, a slot, a body
 * that never comes, or a peer, which takes a lost connection for a request that may have run.
 */
import { expect } from 'chai';
import { answer } from '../../standins/store-platform/backend-stand-in.js';
import {
  pause,
  PlatformFleet,
  readWhole,
  SLOTS,
  untilArrivals,
  type ClientResult,
  type FleetMachine,
} from './platform-fleet.js';
import { LAST_SIXTH_MS, SLOW_ROUTE, STOP_OVER_MS, UPLOAD } from './stop-terms.js';

/**
 * So long after the beginning of a stop a caller may go on sending, in milliseconds: its request is given
 * up 750 ms before the grace time is over, and what it sends is read for 150 ms more.
 */
const SENDS_UNTIL_MS = 5_380;
/**
 * Callers send no more new work to a node after two questions in vain whether it is ready, one a second,
 * in milliseconds.
 */
const NOTICED_MS = 2_000;

/** An answer, and when it came, in milliseconds since the request was sent. */
interface TimedResult extends ClientResult {
  readonly atMs: number;
}

describe('a planned stop', () => {
  let fleet: PlatformFleet;

  afterEach(() => fleet.close());

  /** Both machines have a back end that never answers; `/p/` goes to the first, `/p1/` to the second. */
  async function twoMachines(): Promise<[FleetMachine, FleetMachine]> {
    fleet = await PlatformFleet.start(SLOW_ROUTE);
    fleet.configure([SLOW_ROUTE, { ...SLOW_ROUTE, service: 'b' }]);
    const first = await fleet.addMachine('a');
    const second = await fleet.addMachine('b');
    await fleet.untilStatus(first, 200, '/p1/x');
    await fleet.untilStatus(second, 200, '/p/x');
    for (const { backend } of [first, second]) {
      backend.arrivals.length = 0;
      backend.behaviour = () => undefined;
    }
    return [first, second];
  }

  async function uploads(
    machine: FleetMachine,
    path: string,
    count: number,
  ): Promise<TimedResult[]> {
    const beganAtMs = performance.now();
    const calls = Array.from({ length: count }, async () => {
      const result = await fleet.call(machine, { ...UPLOAD, path });
      return { ...result, atMs: performance.now() - beganAtMs };
    });
    return Promise.all(calls);
  }

  /** The stop, as the time that it took in milliseconds. */
  async function stop({ node }: FleetMachine): Promise<number> {
    const beganAtMs = performance.now();
    await node.stop();
    return performance.now() - beganAtMs;
  }

  function expectNotRun({ status, headers, isWhole }: ClientResult): void {
    expect([status, isWhole, Number(headers['retry-after']) > 0]).to.deep.equal([503, true, true]);
  }

  it('gives each caller a whole answer before it ends, whatever its request waits for', async () => {
    const [first, second] = await twoMachines();
    const before = uploads(first, '/p/x', SLOTS + 1);
    await untilArrivals(first, SLOTS);
    const stopped = stop(first);
    await pause(1_000);
    const during = uploads(first, '/p/x', 1);
    const relayed = uploads(first, '/p1/x', 1);
    const stalled = readWhole(fleet.beginUpload(first, 1_000, 10));
    expect(await stopped).to.be.lessThan(STOP_OVER_MS);
    const results = await before;
    const waiting = results.filter(({ status }) => status === 503);
    const running = results.filter(({ status }) => status !== 503);
    expect(waiting).to.have.length(1);
    [...waiting, ...(await during)].forEach(expectNotRun);
    for (const result of [...running, ...(await relayed)]) {
      expect(result.status).to.be.oneOf([502, 504]);
      expect(result.isWhole).to.equal(true);
    }
    expect(Math.min(...running.map(({ atMs }) => atMs))).to.be.greaterThan(LAST_SIXTH_MS);
    expect(await stalled).to.match(/^HTTP\/1.1 503 [^]*not-run/);
    expect([first.backend.arrivals.length, second.backend.arrivals.length]).to.deep.equal([4, 1]);
    expect(first.log.join('')).to.match(/drained to 0 in flight, [1-9]\d* given up/);
  });

  it('takes callers who can not have noticed it yet, though no request came for a while', async () => {
    const [first, second] = await twoMachines();
    second.backend.behaviour = (_request, response, { requestId }) => answer(response, requestId);
    const stopped = stop(first);
    expect(await fleet.readiness(first)).to.equal(503);
    await pause(NOTICED_MS);
    expect((await fleet.call(first, { path: '/p1/x' })).status).to.equal(200);
    expect(await stopped).to.be.lessThan(LAST_SIXTH_MS);
  });

  it('tells its peers what became of their requests before it closes their connections', async () => {
    const [first, second] = await twoMachines();
    const calls = uploads(second, '/p/x', SLOTS + 1);
    await untilArrivals(first, SLOTS);
    expect(await stop(first)).to.be.lessThan(STOP_OVER_MS);
    const results = await calls;
    expect(results.map(({ status }) => status).sort()).to.deep.equal([502, 502, 502, 502, 503]);
    results.filter(({ status }) => status === 503).forEach(expectNotRun);
    expect(second.log.join('')).to.not.include('CONNECTION_LOST');
  });

  it('does not take its answer back from a caller who goes on sending the body', async () => {
    const [first] = await twoMachines();
    const socket = fleet.beginUpload(first, 60_000, 10);
    const beganAtMs = performance.now();
    const stopped = stop(first);
    await pause(LAST_SIXTH_MS);
    const answered = readWhole(socket);
    socket.pause();
    // What is sent once the node has closed the connection ends the client's side at once.
    while (performance.now() - beganAtMs < SENDS_UNTIL_MS) {
      socket.write('x'.repeat(100));
      await pause(30);
    }
    socket.resume();
    // A process that stood still past the bound finds first that the body's time is over: as true a refusal.
    expect(await answered).to.match(/^HTTP\/1.1 (?:503|408) [^]*not-run/);
    await stopped;
  });

  /**
   * The first answer after the beginning of a stop leaves its connection open while requests behind it are
   * under way: endpoints would run them, and their callers get nothing.
   */
  it('answers all requests of a connection, in their order, before it closes it', async () => {
    const [first] = await twoMachines();
    first.backend.behaviour = (_request, response, { requestId }) => {
      setTimeout(() => answer(response, requestId), 200);
    };
    const socket = fleet.beginUpload(first, 10, 10);
    const answered = readWhole(socket);
    await untilArrivals(first, 1);
    fleet.sendUpload(socket, 10, 10);
    fleet.sendUpload(socket, 10, 10);
    await untilArrivals(first, 3);
    await stop(first);
    expect((await answered).match(/HTTP\/1.1 200 /g)).to.have.length(3);
  });
});

/**
 * A request that the endpoint beside its node refuses at once and that goes on to one beside another
 * node, with nodes and back ends on sockets: what its caller is told, and what becomes of the work.
 *
 * The first node's own endpoint needs longer than the target of the request, and its slots are taken by
 * callers of the second node, so that the first node learns only from the refusal, while it submits,
 * that the request can't be answered in time there. The third node's endpoint is free.
 */
import { expect } from 'chai';
import { answer, type Arrival } from '../../standins/store-platform/backend-stand-in.js';
import {
  pause,
  PlatformFleet,
  SLOTS,
  type ClientResult,
  type FleetMachine,
} from './platform-fleet.js';
import { LAST_SIXTH_MS, SLOW_ROUTE, STOP_OVER_MS, UPLOAD } from './stop-terms.js';

const PROMPT_ROUTE = { ...SLOW_ROUTE, targetLatencyS: 0.4 };
/** What the first endpoint takes, in milliseconds: more than the target of the prompt route. */
const SERVICE_MS = 500;
/** The request under test; its identity tells it from those that fill the first endpoint. */
const REDIRECTED = { ...UPLOAD, headers: { 'Request-Id': 'redirected' } };
/** Time in which a request, or its end, reaches a back end, in milliseconds. */
const ARRIVAL_MS = 2_000;

describe('a request that its own endpoint refuses and another node takes', () => {
  let fleet: PlatformFleet;
  let first: FleetMachine;
  let second: FleetMachine;
  let third: FleetMachine;
  let filling: Promise<ClientResult[]>;

  beforeEach(async () => {
    fleet = await PlatformFleet.start();
    fleet.configure([PROMPT_ROUTE, SLOW_ROUTE]);
    first = await fleet.addMachine('a');
    second = await fleet.addMachine('b');
    await measureFirst();
    await fillFirst();
    third = await fleet.addMachine('a');
    third.backend.behaviour = () => undefined;
    await fleet.untilStatus(third, 404, '/none/');
    // Each node reads the store: none tells when it has taken an entry.
    await pause(500);
  });

  afterEach(() => fleet.close());

  /** The first node measures how long its endpoint takes for the prompt route. */
  async function measureFirst(): Promise<void> {
    first.backend.behaviour = (_request, response, { requestId }) => {
      setTimeout(() => answer(response, requestId), SERVICE_MS);
    };
    await fleet.untilStatus(second, 200, '/p/x');
    await fleet.untilStatus(second, 200, '/p1/x');
    first.backend.arrivals.length = 0;
    first.backend.behaviour = () => undefined;
  }

  async function fillFirst(): Promise<void> {
    const upload = { ...UPLOAD, path: '/p1/x' };
    filling = Promise.all(Array.from({ length: SLOTS }, () => fleet.call(second, upload)));
    await until(() => first.backend.arrivals.length === SLOTS);
  }

  /** The redirected request at the third back end, once it is there. */
  async function redirected(): Promise<Arrival> {
    await until(() => third.backend.arrivals.length > 0);
    const refusal = /"attempt-failed"|"attempt-refused"/;
    const refused = first.log.filter((line) => refusal.test(line) && line.includes('redirected'));
    const [arrival] = third.backend.arrivals;
    if (arrival === undefined || refused.length === 0) {
      throw new Error('the request was not refused first, or did not go on');
    }
    expect(arrival.requestId).to.equal('redirected');
    return arrival;
  }

  it('is ended there when its caller leaves', async () => {
    const leaving = new AbortController();
    const call = fleet.call(first, { ...REDIRECTED, signal: leaving.signal });
    const arrival = await redirected();
    expect(arrival.isCut).to.equal(false);
    leaving.abort();
    await until(() => arrival.isCut);
    expect((await call).status).to.equal(0);
  });

  it('is ended there when its caller leaves a node that stops', async () => {
    const leaving = new AbortController();
    const call = fleet.call(first, { ...REDIRECTED, signal: leaving.signal });
    const arrival = await redirected();
    void first.node.stop();
    await pause(1_000);
    expect(arrival.isCut).to.equal(false);
    leaving.abort();
    await until(() => arrival.isCut);
    expect((await call).status).to.equal(0);
  });

  it('gets its answer from there while its node stops', async () => {
    const call = fleet.call(first, REDIRECTED);
    third.backend.behaviour = (_request, response, { requestId }) => {
      setTimeout(() => answer(response, requestId), 2_000);
    };
    await redirected();
    void first.node.stop();
    const { status, isWhole, body } = await call;
    expect([status, isWhole, body]).to.deep.equal([200, true, 'body redirected']);
  });

  it('is told at the end of a stop that it may have run, and is ended there', async () => {
    const call = fleet.call(first, REDIRECTED);
    const arrival = await redirected();
    const beganAtMs = performance.now();
    const stopped = first.node.stop();
    const { status, isWhole } = await call;
    expect(performance.now() - beganAtMs).to.be.greaterThan(LAST_SIXTH_MS);
    expect([status, isWhole]).to.deep.equal([502, true]);
    await until(() => arrival.isCut);
    await stopped;
    expect(performance.now() - beganAtMs).to.be.lessThan(STOP_OVER_MS);
    expect((await filling).map((filled) => filled.status)).to.deep.equal([502, 502, 502, 502]);
    expect(third.backend.arrivals).to.have.length(1);
  });
});

/** Resolves once it is so; rejects when that takes too long. */
async function until(isSo: () => boolean): Promise<void> {
  const beganAtMs = performance.now();
  while (!isSo()) {
    if (performance.now() - beganAtMs > ARRIVAL_MS) {
      throw new Error('it took too long');
    }
    await pause(5);
  }
}

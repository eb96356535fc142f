/**
 * Back ends that start again under their identities, with nodes, back ends and a store on sockets: the new
 * process holds nothing of before, and nothing of before is held against it. What it is asked is served,
 * with all of its slots, whether the old process went with a reset or in silence, at once or after a while,
 * and wherever the new one is.
 */
import { expect } from 'chai';
import { answer } from '../../standins/store-platform/backend-stand-in.js';
import {
  pause,
  PlatformFleet,
  SLOTS,
  untilArrivals,
  type ClientResult,
  type FleetMachine,
} from './platform-fleet.js';

const ROUTE = { kind: 'unsafe', timeoutS: 5, targetLatencyS: 2, maxAttempts: 1 } as const;
const CALL = { method: 'POST', body: 'order', deadlineMs: 5_000 };
/** Nodes know of an entry within this time, in milliseconds. */
const KNOWN_AFTER_MS = 700;
/** Requests that wait at the gate of a back end. */
const WAITING = 4;
const SERIES = 12;

describe('a back end that starts again under its identity', () => {
  let fleet: PlatformFleet;
  let home: FleetMachine;
  let other: FleetMachine;

  beforeEach(async () => {
    fleet = await PlatformFleet.start(ROUTE);
    home = await fleet.addMachine('a');
    other = await fleet.addMachine('b');
    await fleet.untilStatus(other, 200);
    await fleet.untilStatus(home, 200);
    home.backend.arrivals.length = 0;
  });

  afterEach(() => fleet.close());

  /** All slots are taken by requests that are never answered, and others wait. */
  async function fill(): Promise<{
    hung: Promise<ClientResult>[];
    waiting: Promise<ClientResult>[];
  }> {
    home.backend.behaviour = () => undefined;
    const hung = Array.from({ length: SLOTS }, () => fleet.call(other, CALL));
    await untilArrivals(home, SLOTS);
    const waiting = Array.from({ length: WAITING }, () => fleet.call(other, CALL));
    await pause(100);
    return { hung, waiting };
  }

  async function rebear(place = home): Promise<void> {
    home.backend.behaviour = (_request, response, { requestId }) => answer(response, requestId);
    await fleet.rebearBackend(home, place);
  }

  async function statusesOf(calls: readonly Promise<ClientResult>[]): Promise<number[]> {
    return (await Promise.all(calls)).map(({ status }) => status);
  }

  it('is sent what waited, with all of its slots, after the old process went in silence', async () => {
    const { hung, waiting } = await fill();
    const old = home.backend;
    old.vanish();
    await rebear();
    const beganAtMs = performance.now();
    expect(await statusesOf(waiting)).to.deep.equal(waiting.map(() => 200));
    expect(performance.now() - beganAtMs).to.be.below(KNOWN_AFTER_MS + 500);
    expect(home.backend.arrivals).to.have.length(WAITING);
    old.close();
    expect(await statusesOf(hung)).to.deep.equal(hung.map(() => 502));
  }).timeout(10_000);

  it('runs nothing of what the old process may have run', async () => {
    const { hung, waiting } = await fill();
    home.backend.close();
    await rebear();
    expect(await statusesOf(hung)).to.deep.equal(hung.map(() => 502));
    expect(await statusesOf(waiting)).to.deep.equal(waiting.map(() => 200));
    expect(home.backend.arrivals).to.have.length(WAITING);
  }).timeout(10_000);

  it('is not held for the drain that the old one announced', async () => {
    fleet.announce(home, 'a', 'draining');
    await fleet.untilStatus(other, 503);
    home.backend.close();
    await rebear();
    await pause(KNOWN_AFTER_MS);
    expect((await fleet.call(other, CALL)).status).to.equal(200);
    expect((await fleet.call(home, CALL)).status).to.equal(200);
  }).timeout(10_000);

  it('is asked at once, however long the old one was gone', async () => {
    home.backend.close();
    for (let failed = 0; failed < SERIES; failed += 1) {
      expect((await fleet.call(other, CALL)).status).to.be.oneOf([502, 503]);
    }
    fleet.store.remove(`servers/${home.backend.id}`);
    await pause(KNOWN_AFTER_MS);
    await rebear();
    await pause(KNOWN_AFTER_MS);
    const calls = Array.from({ length: SLOTS }, () => fleet.call(other, CALL));
    expect(await statusesOf(calls)).to.deep.equal(calls.map(() => 200));
  }).timeout(10_000);

  it('is found where it is, over the node beside it', async () => {
    const place = await fleet.addMachine('a');
    fleet.store.remove(`servers/${place.backend.id}`);
    place.backend.close();
    home.backend.close();
    const { backend: old } = home;
    await rebear(place);
    await pause(KNOWN_AFTER_MS);
    for (const machine of [home, other, place]) {
      expect((await fleet.call(machine, CALL)).status).to.equal(200);
    }
    expect(place.backend.arrivals).to.have.length(3);
    expect(old.arrivals).to.have.length(0);
  }).timeout(10_000);

  it('serves on through one start after the other', async () => {
    for (let start = 0; start < SERIES; start += 1) {
      home.backend.close();
      await rebear();
      // A connection that was open to the old process is found to be closed by the first request on it.
      await fleet.untilStatus(other, 200);
      await pause(start % 2 === 0 ? 0 : KNOWN_AFTER_MS / 2);
      const calls = Array.from({ length: SLOTS }, () => fleet.call(other, CALL));
      expect(await statusesOf(calls)).to.deep.equal(calls.map(() => 200));
    }
  }).timeout(20_000);
});

/**
 * Guards against nodes that never learn the state of a store in which another writer has left many or large entries:
 * nodes that started gave up a list of more than 200 pages, and nodes that ran gave up a watch of more than 16 MiB, and
 * each began again at the same place.
 */
import { expect } from 'chai';
import { PlatformFleet } from './platform-fleet.js';

const MEGABYTE = 1024 * 1024;
/** More than the pages at which a list was given up. */
const ENTRIES = 260;

describe('a store with many or large entries of another writer', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start();
  });

  afterEach(() => fleet.close());

  it('is read by a node that starts, on as many pages as there are', async () => {
    fleet.store.pageSize = 1;
    for (let index = 0; index < ENTRIES; index += 1) {
      fleet.store.put(`servers/foreign-${index}`, Buffer.alloc(64, 0xff));
    }
    const machine = await fleet.addMachine('a');
    await fleet.untilStatus(machine, 200);
  }).timeout(20_000);

  it('is read by a node that starts while single pages fail', async () => {
    fleet.store.pageSize = 4;
    for (let index = 0; index < ENTRIES; index += 1) {
      fleet.store.put(`servers/foreign-${index}`, Buffer.alloc(64, 0xff));
    }
    fleet.store.refusedCallInterval = 3;
    const machine = await fleet.addMachine('a');
    await fleet.untilStatus(machine, 200);
  }).timeout(20_000);

  it('tells running nodes of a configuration behind a burst of large entries', async () => {
    const machine = await fleet.addMachine('a');
    await fleet.untilStatus(machine, 200);
    for (let index = 0; index < 20; index += 1) {
      fleet.store.put(`servers/foreign-${index}`, Buffer.alloc(MEGABYTE, 0xff));
    }
    fleet.configure([{}, {}]);
    const writtenAtMs = performance.now();
    await fleet.untilStatus(machine, 200, '/p1/x');
    expect(performance.now() - writtenAtMs).to.be.lessThan(2_000);
  }).timeout(20_000);
});

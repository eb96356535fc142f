/**
 * Nodes whose store holds entries that another writer made: they name no endpoint, whatever stood under their
 * key before, and all others are used. Each is counted and logged once, at readers and followers alike.
 */
import http from 'node:http';
import { expect } from 'chai';
import { pause, PlatformFleet, type FleetMachine } from './platform-fleet.js';

const INTERNAL_SERVER_PORT = 21_321;
const COUNTER = 'ferryspool_store_items_refused_total';
/** Time in which a change of the store has reached every node, in milliseconds. */
const SPREAD_MS = 600;

/** Values that are no entry, and the field that each is refused for. */
const FOREIGN: readonly { readonly value: unknown; readonly path: string }[] = [
  { value: Buffer.from([0xff, 0xfe, 0x00, 0x80]), path: '' },
  { value: 'no JSON', path: '' },
  { value: '[]', path: '' },
  { value: {}, path: 'address' },
  { value: 'x'.repeat(20_000), path: '' },
  { value: entry({ address: '10.1.1.1' }), path: 'address' },
  { value: entry({ slots: '4' }), path: 'info.slots' },
  { value: entry({ state: 'resting' }), path: 'status.state' },
];

interface EntryFields {
  readonly address?: string;
  readonly service?: string;
  readonly slots?: unknown;
  readonly state?: string;
}

function entry(fields: EntryFields): object {
  const { address = '127.0.0.9:1', service = 'a', slots = 4, state = 'ready' } = fields;
  return {
    address,
    info: { service, version: 'v1', zone: 'z1', slots },
    status: { state, sequence: 1, coldRemainingS: 0 },
  };
}

function linesOf({ log }: FleetMachine): Record<string, unknown>[] {
  return log
    .filter((line) => line.includes('store-item-refused'))
    .map((line) => JSON.parse(line) as Record<string, unknown>);
}

/** The refused items that the node counted. */
function refusedCount({ address }: FleetMachine): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = http.get({ host: address, port: INTERNAL_SERVER_PORT, agent: false });
    request.on('error', reject);
    request.on('response', (message) => {
      let text = '';
      message.on('data', (chunk: Buffer) => (text += chunk.toString()));
      message.on('end', () => {
        const [, count] = new RegExp(`^${COUNTER} ([0-9]+)$`, 'm').exec(text) ?? [];
        resolve(Number(count));
      });
    });
  });
}

describe('a store with entries of another writer', () => {
  let fleet: PlatformFleet;

  afterEach(() => fleet.close());

  async function twoMachines(): Promise<[FleetMachine, FleetMachine]> {
    fleet = await PlatformFleet.start();
    const first = await fleet.addMachine('b');
    const second = await fleet.addMachine('a');
    await fleet.untilStatus(first, 200);
    return [first, second];
  }

  async function expectServed(machine: FleetMachine): Promise<void> {
    for (let count = 0; count < 10; count += 1) {
      expect((await fleet.call(machine)).status).to.equal(200);
    }
  }

  it('is served from as if they were not there, and each is told once', async () => {
    const [first] = await twoMachines();
    expect(await refusedCount(first)).to.equal(0);
    FOREIGN.forEach(({ value }, index) => fleet.store.put(`servers/x${index}`, value));
    await pause(SPREAD_MS);
    await expectServed(first);
    // The snapshot is built again with each change.
    fleet.configure([{}]);
    await pause(SPREAD_MS);
    await expectServed(first);
    const lines = linesOf(first).sort(
      (left, right) => Number(left.revision) - Number(right.revision),
    );
    expect(lines.map(({ key, path }) => [key, path])).to.deep.equal(
      FOREIGN.map(({ path }, index) => [`servers/x${index}`, path]),
    );
    lines.forEach(({ found, expected }) => expect([found, expected]).to.not.include(''));
    expect(await refusedCount(first)).to.equal(FOREIGN.length);
  }).timeout(10_000);

  it('names nobody where it overwrote an entry, until that is written again', async () => {
    const [first, second] = await twoMachines();
    fleet.store.put(`servers/${second.backend.id}`, entry({ state: 'resting' }));
    await pause(SPREAD_MS);
    second.backend.arrivals.length = 0;
    expect((await fleet.call(first)).status).to.equal(503);
    expect(second.backend.arrivals).to.have.length(0);
    fleet.announce(second, 'a', 'ready');
    await fleet.untilStatus(first, 200);
  }).timeout(10_000);

  it('leaves the configuration in force where it overwrote that', async () => {
    const [first] = await twoMachines();
    fleet.store.put('op/config', { version: '000000ff', services: 'all' });
    await pause(SPREAD_MS);
    await expectServed(first);
    expect(linesOf(first).map(({ path }) => path)).to.deep.equal(['services']);
    expect(await refusedCount(first)).to.equal(1);
    fleet.configure([{}, {}]);
    await fleet.untilStatus(first, 200, '/p1/x');
  }).timeout(10_000);

  it('takes no address from an endpoint by an entry of a service that is not configured', async () => {
    const [first, second] = await twoMachines();
    const address = `${second.address}:21301`;
    fleet.store.put('servers/x', entry({ address, service: 'unknown' }));
    await pause(SPREAD_MS);
    await expectServed(first);
    expect(linesOf(first)).to.deep.equal([]);
  }).timeout(10_000);

  it('is told to followers as to readers, and cuts no feed', async () => {
    fleet = await PlatformFleet.start();
    for (const zone of ['z1', 'z1', 'z1', 'z1', 'z2', 'z3', 'z4', 'z5', 'z6']) {
      await fleet.addMachine('a', zone);
    }
    const areFollowing = () =>
      fleet.machines.filter(({ log }) => log.some((line) => line.includes('store-reading-ended')));
    while (areFollowing().length < 2) {
      await pause(10);
    }
    const [follower] = areFollowing();
    if (follower === undefined) {
      throw new Error('no machine follows another one');
    }
    const feedsBefore = follower.log.filter((line) => line.includes('feed-opened')).length;
    FOREIGN.forEach(({ value }, index) => fleet.store.put(`servers/x${index}`, value));
    fleet.configure([{}, {}]);
    await fleet.untilStatus(follower, 200, '/p1/x');
    await pause(SPREAD_MS);
    expect(await refusedCount(follower)).to.equal(FOREIGN.length);
    expect(linesOf(follower)).to.have.length(FOREIGN.length);
    expect(follower.log.filter((line) => line.includes('feed-opened'))).to.have.length(feedsBefore);
  }).timeout(30_000);
});

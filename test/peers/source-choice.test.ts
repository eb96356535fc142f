/** Choice of readers and feeds: limits on the number of readers and store calls, and the propagation time. */
import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { ReaderOrder } from '../../src/peers/reader-order.js';
import { SourceWorld } from './source-world.js';

/** Time within which every node must have a change, in milliseconds; the strictest user requirement. */
const APPLY_MS = 2_000;
const SETTLED_MS = 8_000;
const MAX_READERS = 12;

function settled(machines: number, zones: number, seed = 7): SourceWorld {
  const generator = xoroshiro128plus(seed);
  const world = new SourceWorld({ machines, zones, random: () => uniformFloat64(generator) });
  world.run(SETTLED_MS);
  return world;
}

const sizes = [
  { machines: 13, zones: 3, maxReaders: 13 },
  { machines: 74, zones: 3, maxReaders: 12 },
  { machines: 195, zones: 6, maxReaders: 12 },
  { machines: 1_800, zones: 6, maxReaders: 12 },
];

describe('ReaderOrder', () => {
  it('gives each node a distinct position, whatever the order of the list', () => {
    const machines = ['a', 'b', 'c', 'd'].map((address) => ({ address, zone: 'z' }));
    const lengths = machines.map(
      (self) => new ReaderOrder(self).positionAmong([...machines].reverse()).predecessors.length,
    );
    expect(lengths.sort()).to.deep.equal([0, 1, 2, 3]);
  });

  it('ignores machines of other zones and assigns more readers per zone if there are few zones', () => {
    const machines = [
      { address: 'a', zone: 'z' },
      { address: 'b', zone: 'y' },
    ];
    const position = new ReaderOrder({ address: 'c', zone: 'z' }).positionAmong(machines);
    expect(position.zoneSize).to.equal(2);
    expect(position.readerCount).to.equal(6);
    expect(position.predecessors).to.not.include('b');
  });
});

describe('the sources of a fleet', () => {
  for (const { machines, zones, maxReaders } of sizes) {
    it(`have at most ${maxReaders} readers for ${machines} nodes and deliver changes at once`, () => {
      const world = settled(machines, zones);
      expect(world.readers.length).to.be.within(1, maxReaders);
      expect(world.change(APPLY_MS)).to.be.below(200);
    });
  }

  for (const how of ['reset', 'dark'] as const) {
    it(`deliver a change in time although all readers fail together (${how})`, () => {
      const world = settled(195, 6);
      world.kill(world.readers, how);
      expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
      world.run(SETTLED_MS);
      // The failed nodes are still listed, so each is tried again every two seconds.
      expect(world.readers.length).to.be.within(1, 2 * MAX_READERS);
    });
  }

  it('deliver a change in time although two thirds of the nodes fail together and restart', () => {
    const world = settled(195, 6);
    const ended = world.nodes.filter((_, idx) => idx % 3 !== 0);
    world.kill(ended, 'dark');
    expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
    world.run(3_000);
    world.revive(ended);
    world.run(SETTLED_MS);
    expect(world.change(APPLY_MS)).to.be.below(200);
    expect(world.readers.length).to.be.within(1, MAX_READERS);
  });

  it('replace readers that the store refuses while it serves others', () => {
    const world = settled(195, 6);
    const refused = new Set(world.readers.map(({ address }) => address));
    world.storeFor = (address) => (refused.has(address) ? 'refuses' : 'serves');
    expect(world.change(8_000)).to.be.below(5_000);
    world.run(5_000);
    expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
    const others = world.readers.filter(({ address }) => !refused.has(address));
    expect(others.length).to.be.within(1, 30);
  });

  it('deliver a change in time although the store does not answer some of the machines', () => {
    const world = settled(195, 6);
    world.storeFor = (address) =>
      address.endsWith('1') || address.endsWith('4') ? 'silent' : 'serves';
    world.run(5_000);
    expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
    expect(world.readers.length).to.be.below(40);
  });

  for (const { machines, zones } of sizes) {
    it(`call an unavailable store a bounded number of times per second (${machines} nodes)`, () => {
      const world = settled(machines, zones);
      world.storeFor = () => 'refuses';
      world.run(3_000);
      world.calls = 0;
      world.run(4_000);
      expect(world.calls / 4).to.be.below(60);
      world.storeFor = () => 'serves';
      world.run(4_000);
      expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
      world.run(SETTLED_MS);
      expect(world.readers.length).to.be.at.most(Math.min(machines, MAX_READERS + 1));
    });
  }

  for (const seed of [1, 2, 3, 4, 5]) {
    it(`return to few readers and fast delivery after any refusals and failures (seed ${seed})`, () => {
      const generator = xoroshiro128plus(seed);
      const random = () => uniformFloat64(generator);
      const world = settled(74, 3, seed);
      for (let round = 0; round < 6; round += 1) {
        const refused = new Set(
          world.nodes.filter(() => random() < 0.35).map((one) => one.address),
        );
        const ended = world.nodes.filter(({ isAlive }) => isAlive && random() < 0.3);
        const state = random() < 0.5 ? 'silent' : 'refuses';
        world.storeFor = (address) => (refused.has(address) ? state : 'serves');
        world.kill(ended, random() < 0.5 ? 'dark' : 'reset');
        world.run(1_000 + random() * 3_000);
        world.revive(ended);
        expect(world.change(9_000)).to.be.below(9_000);
      }
      world.storeFor = () => 'serves';
      world.run(20_000);
      expect(world.change(APPLY_MS)).to.be.below(200);
      expect(world.readers.length).to.be.at.most(MAX_READERS + 1);
    });
  }
});

/** Who reads the store and who follows whom: bounds on readers and calls, and how soon all know. */
import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { ReaderOrder } from '../../src/peers/reader-order.js';
import { SourceWorld } from './source-world.js';

/** Time in which a change has to be known, in milliseconds: the least that users ask for. */
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

describe('order of the readers of a zone', () => {
  it('is the same for all, whatever the order of the list, and has a first without any ahead', () => {
    const machines = ['a', 'b', 'c', 'd'].map((address) => ({ address, zone: 'z' }));
    const lengths = machines.map(
      (self) => new ReaderOrder(self).positionAmong([...machines].reverse()).predecessors.length,
    );
    expect(lengths.sort()).to.deep.equal([0, 1, 2, 3]);
  });

  it('leaves out other zones, and gives few zones more readers each', () => {
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

describe('sources of the nodes of a fleet', () => {
  for (const { machines, zones, maxReaders } of sizes) {
    it(`lets at most ${maxReaders} of ${machines} nodes read, and tells all at once`, () => {
      const world = settled(machines, zones);
      expect(world.readers.length).to.be.within(1, maxReaders);
      expect(world.change(APPLY_MS)).to.be.below(200);
    });
  }

  for (const how of ['reset', 'dark'] as const) {
    it(`tells all in time although all readers end together (${how})`, () => {
      const world = settled(195, 6);
      world.kill(world.readers, how);
      expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
      world.run(SETTLED_MS);
      // The dead are still listed, so each is tried again every other second.
      expect(world.readers.length).to.be.within(1, 2 * MAX_READERS);
    });
  }

  it('tells all in time although two thirds end together and come back', () => {
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

  it('gets round readers that the store turns away while it serves others', () => {
    const world = settled(195, 6);
    const refused = new Set(world.readers.map(({ address }) => address));
    world.storeFor = (address) => (refused.has(address) ? 'refuses' : 'serves');
    expect(world.change(8_000)).to.be.below(5_000);
    world.run(5_000);
    expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
    const others = world.readers.filter(({ address }) => !refused.has(address));
    expect(others.length).to.be.within(1, 30);
  });

  it('gets round a store that says nothing to a third of the machines', () => {
    const world = settled(195, 6);
    world.storeFor = (address) =>
      address.endsWith('1') || address.endsWith('4') ? 'silent' : 'serves';
    world.run(5_000);
    expect(world.change(APPLY_MS)).to.be.below(APPLY_MS);
    expect(world.readers.length).to.be.below(40);
  });

  for (const { machines, zones } of sizes) {
    it(`asks a store that is away a bounded number of times a second (${machines} nodes)`, () => {
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
    it(`always comes back to few readers and quick changes, whatever was refused (seed ${seed})`, () => {
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

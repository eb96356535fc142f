import { expect } from 'chai';
import { ReaderWorld, type WorldOptions } from './reader-world.js';

const OPTIONS: WorldOptions = {
  seed: 1,
  machines: 7,
  readerShares: { a: 2 },
  seeds: 3,
  isListed: true,
};
const SETTLE_MS = 25_000;

interface TakeoverCase {
  readonly name: string;
  readonly options?: Partial<WorldOptions>;
  readonly inject: (world: ReaderWorld) => void;
  /** Slots expected to be held within `withinMs` after the fault. */
  readonly expected: readonly string[];
  readonly withinMs: number;
}

const ZONE_SLOTS = ['a/0', 'a/1'];
const cases: readonly TakeoverCase[] = [
  { name: 'no fault', inject: () => undefined, expected: ZONE_SLOTS, withinMs: 0 },
  {
    name: 'the holders are killed',
    inject: (world) => holders(world).forEach((index) => world.kill(index)),
    expected: ZONE_SLOTS,
    withinMs: 30_000,
  },
  {
    name: 'the holders are stopped gracefully',
    inject: (world) => holders(world).forEach((index) => world.stop(index)),
    expected: ZONE_SLOTS,
    withinMs: 15_000,
  },
  {
    name: 'a minority of electors is killed',
    inject: (world) => [0, 1].forEach((index) => world.kill(index)),
    expected: ZONE_SLOTS,
    withinMs: 30_000,
  },
  {
    name: 'every process restarts without any documents',
    inject: (world) => world.processes.forEach((_, index) => world.restart(index)),
    expected: ZONE_SLOTS,
    withinMs: 60_000,
  },
  {
    name: 'a majority of electors is killed: the holder of the recovery slot reads',
    options: { seeds: 7 },
    inject: (world) => [0, 1, 2].forEach((index) => world.kill(index)),
    expected: ['recovery'],
    withinMs: 90_000,
  },
  {
    name: 'a majority of electors is killed and removed from the list',
    options: { seeds: 7 },
    inject: (world) => {
      [0, 1, 2].forEach((index) => world.kill(index));
      world.publish(true);
    },
    expected: ZONE_SLOTS,
    withinMs: 150_000,
  },
  {
    name: 'a fleet without a machine list',
    options: { isListed: false },
    inject: () => undefined,
    expected: ZONE_SLOTS,
    withinMs: 60_000,
  },
  {
    name: 'a single node without seeds and machine list',
    options: { isListed: false, machines: 1, seeds: 0, readerShares: { a: 1 } },
    inject: () => undefined,
    expected: ['a/0'],
    withinMs: 20_000,
  },
];

function holders(world: ReaderWorld): number[] {
  return world.processes.flatMap((process, index) =>
    process.reader.heldSlots(process.localMs(world.nowMs)).length > 0 ? [index] : [],
  );
}

/** Distributes the newest list of any node to all running nodes, as dissemination would. */
function spreadLists(world: ReaderWorld): void {
  const newest = Math.max(...world.processes.map((process) => process.heldList));
  world.processes.forEach((process) => {
    if (process.isAlive && !process.isPaused) {
      process.heldList = newest;
    }
  });
}

describe('source reader', () => {
  for (const { name, options, inject, expected, withinMs } of cases) {
    it(`acquires the expected leases: ${name}`, () => {
      const world = new ReaderWorld({ ...OPTIONS, ...options });
      world.advance(SETTLE_MS);
      inject(world);
      const endMs = world.nowMs + withinMs;
      while (world.nowMs < endMs && world.heldSlots().sort().join() !== expected.join()) {
        world.advance(100);
        spreadLists(world);
      }
      expect(world.heldSlots().sort()).to.deep.equal(expected);
    });
  }

  const gaps: [string, (world: ReaderWorld, index: number) => void, number][] = [
    ['is stopped gracefully', (world, index) => world.stop(index), 2_000],
    ['is killed', (world, index) => world.kill(index), 8_000],
  ];
  for (const [name, end, withinMs] of gaps) {
    it(`replaces the only reader of a new fleet when it ${name}`, () => {
      for (const seed of [1, 2, 3, 4, 5]) {
        const world = new ReaderWorld({ ...OPTIONS, seed, isListed: false });
        const advanceUntil = (isReached: () => boolean, endMs: number): void => {
          while (!isReached() && world.nowMs < endMs) {
            world.advance(100);
            spreadLists(world);
          }
        };
        const isListed = (): boolean => world.processes.every(({ heldList }) => heldList > 0);
        advanceUntil(isListed, SETTLE_MS);
        world.advance(500);
        expect(world.heldSlots(), `seed ${seed}`).to.deep.equal(['recovery']);
        holders(world).forEach((index) => end(world, index));
        advanceUntil(() => world.heldSlots().length > 0, world.nowMs + withinMs);
        expect(world.heldSlots(), `seed ${seed}`).to.deep.equal(['recovery']);
      }
    });
  }
});

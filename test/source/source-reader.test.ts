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
  /** Slots that are held after the fault, in the end. */
  readonly expected: readonly string[];
  readonly withinMs: number;
}

const ZONE_SLOTS = ['a/0', 'a/1'];
const cases: readonly TakeoverCase[] = [
  { name: 'no fault', inject: () => undefined, expected: ZONE_SLOTS, withinMs: 0 },
  {
    name: 'the holders die',
    inject: (world) => holders(world).forEach((index) => world.kill(index)),
    expected: ZONE_SLOTS,
    withinMs: 30_000,
  },
  {
    name: 'the holders are stopped as planned',
    inject: (world) => holders(world).forEach((index) => world.stop(index)),
    expected: ZONE_SLOTS,
    withinMs: 15_000,
  },
  {
    name: 'a minority of electors dies',
    inject: (world) => [0, 1].forEach((index) => world.kill(index)),
    expected: ZONE_SLOTS,
    withinMs: 30_000,
  },
  {
    name: 'every process restarts, holding nothing',
    inject: (world) => world.processes.forEach((_, index) => world.restart(index)),
    expected: ZONE_SLOTS,
    withinMs: 60_000,
  },
  {
    name: 'a majority of electors dies: the recovery slot reads on',
    options: { seeds: 7 },
    inject: (world) => [0, 1, 2].forEach((index) => world.kill(index)),
    expected: ['recovery'],
    withinMs: 90_000,
  },
  {
    name: 'a majority of electors dies and the list says so',
    options: { seeds: 7 },
    inject: (world) => {
      [0, 1, 2].forEach((index) => world.kill(index));
      world.publish(true);
    },
    expected: ZONE_SLOTS,
    withinMs: 150_000,
  },
  {
    name: 'a cold fleet',
    options: { isListed: false },
    inject: () => undefined,
    expected: ZONE_SLOTS,
    withinMs: 60_000,
  },
  {
    name: 'one node alone, without seeds and list',
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

/** Lets the newest list of any node spread to all, as the dissemination does. */
function spreadLists(world: ReaderWorld): void {
  const newest = Math.max(...world.processes.map((process) => process.heldList));
  world.processes.forEach((process) => {
    if (process.isAlive && !process.isPaused) {
      process.heldList = newest;
    }
  });
}

describe('source reader', () => {
  for (const { name, options, inject: during, expected, withinMs } of cases) {
    it(`finds readers: ${name}`, () => {
      const world = new ReaderWorld({ ...OPTIONS, ...options });
      world.advance(SETTLE_MS);
      during(world);
      const endMs = world.nowMs + withinMs;
      while (world.nowMs < endMs && world.heldSlots().sort().join() !== expected.join()) {
        world.advance(100);
        spreadLists(world);
      }
      expect(world.heldSlots().sort()).to.deep.equal(expected);
    });
  }

  const gaps: [string, (world: ReaderWorld, index: number) => void, number][] = [
    ['is stopped as planned', (world, index) => world.stop(index), 2_000],
    ['dies', (world, index) => world.kill(index), 8_000],
  ];
  for (const [name, end, withinMs] of gaps) {
    it(`a young fleet reads on when the one reader ${name}`, () => {
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

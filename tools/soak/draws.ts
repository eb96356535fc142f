/** Draws from a source of random numbers, for plans and traffic of a soak. */
import type { RandomSource } from '../../src/control/control-event.js';

/** A number from `least` on, below `most`. */
export function between(least: number, most: number, random: RandomSource): number {
  return least + random() * (most - least);
}

/** One of the items; throws when there is none. */
export function pick<T>(items: readonly T[], random: RandomSource): T {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) {
    throw new RangeError('nothing to pick from');
  }
  return item;
}

/** The numbers below `count`, in an order by chance. */
export function shuffled(count: number, random: RandomSource): number[] {
  return Array.from({ length: count }, (_, idx) => ({ idx, rank: random() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ idx }) => idx);
}

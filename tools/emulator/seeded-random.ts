/** Seeded random numbers, so that a run of the emulator repeats exactly. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from '../../src/control/control-event.js';

/** Multiplier that spreads neighbouring seeds (golden ratio of 2^32). */
const SEED_SPREAD = 0x9e3779b1;

/** A source of its own for `stream` under `seed`: streams do not disturb each other. */
export function seededRandom(seed: number, stream = 0): RandomSource {
  const generator = xoroshiro128plus((seed ^ Math.imul(stream + 1, SEED_SPREAD)) | 0);
  return () => uniformFloat64(generator);
}

/** How two variants differ over runs that share their seeds. */
import jStat from 'jstat';
import type { Measures } from './measures.js';

/** Probability that the interval covers the true difference. */
const CONFIDENCE = 0.95;

/** One measure over all pairs of runs; the difference is the variant's less the base's. */
export interface PairedDifference {
  readonly measure: string;
  readonly pairs: number;
  readonly baseMean: number;
  readonly variantMean: number;
  readonly difference: number;
  /** NaN, as are the bounds of the interval, where there is one pair only. */
  readonly standardError: number;
  /** Bounds of the 95% interval, by Student's t. */
  readonly low: number;
  readonly high: number;
}

/** Whether the interval lies on one side of 0. */
export function isTold({ low, high }: PairedDifference): boolean {
  return low > 0 || high < 0;
}

/** The differences of all measures; runs of one index are a pair. */
export function pairedDifferences(
  base: readonly Measures[],
  variant: readonly Measures[],
): PairedDifference[] {
  if (base.length !== variant.length || base.length === 0) {
    throw new RangeError('runs have to be paired');
  }
  const names = Object.keys(base[0] ?? {});
  return names.map((name) => differenceOf(name, valuesOf(base, name), valuesOf(variant, name)));
}

function differenceOf(measure: string, base: number[], variant: number[]): PairedDifference {
  const differences = variant.map((value, index) => value - (base[index] ?? NaN));
  const pairs = differences.length;
  const difference = jStat.mean(differences);
  const standardError = jStat.stdev(differences, true) / Math.sqrt(pairs);
  const reach = jStat.studentt.inv((1 + CONFIDENCE) / 2, pairs - 1) * standardError;
  return {
    measure,
    pairs,
    baseMean: jStat.mean(base),
    variantMean: jStat.mean(variant),
    difference,
    standardError,
    low: difference - reach,
    high: difference + reach,
  };
}

/** A measure that a run lacks makes the difference NaN, so that it shows. */
function valuesOf(runs: readonly Measures[], name: string): number[] {
  return runs.map((run) => run[name] ?? NaN);
}

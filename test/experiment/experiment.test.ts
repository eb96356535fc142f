/** Variants of the policy against the policy as shipped, over the same seeds. */
import { expect } from 'chai';
import { runExperiment } from '../../tools/experiment/experiment.js';
import type { PairedDifference } from '../../tools/experiment/paired-difference.js';
import {
  parseVariant,
  VariantError,
  type Variant,
} from '../../tools/experiment/policy-settings.js';
import { scenarioOf, seedsUpTo } from './scenarios-for-tests.js';

/** The differences of `variant` from the policy as shipped, by measure. */
function compare(name: string, variant: Variant, seeds: number): Map<string, PairedDifference> {
  const [comparison] = runExperiment({
    scenarios: [scenarioOf(name)],
    base: {},
    variants: [variant],
    seeds: seedsUpTo(seeds),
    onProgress: () => undefined,
  });
  return new Map(comparison?.differences.map((one) => [one.measure, one]));
}

describe('an experiment', () => {
  it('finds no difference at all between equal variants', () => {
    const shipped = { retries: 3, redirects: 1, lateRedirects: 1, queuePerSlot: 1, hopCost: 0.04 };
    for (const one of compare('burst', shipped, 2).values()) {
      expect(one, one.measure).to.include({ difference: 0, standardError: 0, low: 0, high: 0 });
    }
  });

  it('finds that a queue of none is worse in a burst', () => {
    const differences = compare('burst', { queuePerSlot: 0 }, 4);
    expect(differences.get('worth')?.high).to.be.below(0);
    expect(differences.get('refused')?.low).to.be.above(0);
  });

  it('finds that more requests fail without retries where nodes fall silent', () => {
    const differences = compare('silent', { retries: 0 }, 5);
    expect(differences.get('failed')?.low).to.be.above(0);
  });
});

describe('a variant in words', () => {
  it('is read by its names', () => {
    expect(parseVariant(['retries=0', 'hopCost=0.1'])).to.deep.equal({ retries: 0, hopCost: 0.1 });
  });

  for (const word of ['retries', 'retries=', 'retries=x', 'retries=-1', 'retry=1']) {
    it(`is refused: ${word}`, () => {
      expect(() => parseVariant([word])).to.throw(VariantError);
    });
  }
});

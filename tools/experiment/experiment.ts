/** Plays a base and its variants over the same seeds, and compares each variant with the base. */
import { pairedDifferences, type PairedDifference } from './paired-difference.js';
import { describeVariant, type Variant } from './policy-settings.js';
import { runScenario } from './run-scenario.js';
import type { Scenario } from './scenario.js';

/** What to play. */
export interface ExperimentOptions {
  readonly scenarios: readonly Scenario[];
  readonly base: Variant;
  readonly variants: readonly Variant[];
  readonly seeds: readonly number[];
  readonly onProgress: (text: string) => void;
}

/** One variant against the base in one scenario. */
export interface Comparison {
  readonly scenario: string;
  readonly base: string;
  readonly variant: string;
  readonly differences: readonly PairedDifference[];
}

/** Plays everything, one run after the other. */
export function runExperiment(options: ExperimentOptions): Comparison[] {
  return options.scenarios.flatMap((scenario) => compareIn(scenario, options));
}

function compareIn(scenario: Scenario, options: ExperimentOptions): Comparison[] {
  const { base, variants, seeds, onProgress } = options;
  const play = (variant: Variant) => {
    onProgress(`${scenario.name}: ${describeVariant(variant)}, ${seeds.length} seeds`);
    return seeds.map((seed) => runScenario(scenario, variant, seed).measures);
  };
  const baseRuns = play(base);
  return variants.map((variant) => ({
    scenario: scenario.name,
    base: describeVariant(base),
    variant: describeVariant(variant),
    differences: pairedDifferences(baseRuns, play(variant)),
  }));
}

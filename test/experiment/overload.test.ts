/** Overload of an emulated fleet: it serves what it has capacity for, and is as before once the overload is over. */
import { expect } from 'chai';
import { worthOf, type CallerOutcome } from '../../tools/experiment/emulated-caller.js';
import { runScenario } from '../../tools/experiment/run-scenario.js';
import type { Scenario } from '../../tools/experiment/scenario.js';
import { scenarioOf, seedsUpTo } from './scenarios-for-tests.js';

const SEEDS = seedsUpTo(3);
/** Share by which two groups of a few thousand requests may differ by chance. */
const CHANCE = 0.05;
const BURST_ENDS_AT_MS = 8_000;
const BURST_BEGINS_AT_MS = 3_000;
/** Time after the end of a burst in which the fleet recovers. */
const RECOVERY_MS = 5_000;

function outcomesOf(scenario: Scenario): CallerOutcome[] {
  return SEEDS.flatMap((seed) => runScenario(scenario, {}, seed).outcomes);
}

/** The credit that the requests earn. */
function creditOf(outcomes: readonly CallerOutcome[]): number {
  return outcomes.reduce((sum, outcome) => sum + worthOf(outcome), 0);
}

/** Share of the credit of the requests that they earn. */
function earnedShareOf(outcomes: readonly CallerOutcome[]): number {
  return (
    creditOf(outcomes) / outcomes.reduce((sum, { requestClass }) => sum + requestClass.worth, 0)
  );
}

describe('overload of an emulated fleet', function () {
  this.timeout(120_000);

  // Guards against congestion collapse: repeats and refusals take the capacity for requests that could be in time.
  it('serves no less when two or three times as many callers come', () => {
    const atCapacity = creditOf(outcomesOf(scenarioOf('shared')));
    for (const name of ['shared-twice', 'shared-thrice']) {
      const credit = creditOf(outcomesOf(scenarioOf(name)));
      expect(credit / atCapacity, name).to.be.above(1 - CHANCE);
    }
  });

  // Guards against an overload that sustains itself after its cause is over.
  it('earns after a burst what it earned before', () => {
    const durationMs = BURST_ENDS_AT_MS + 2 * RECOVERY_MS;
    const outcomes = outcomesOf({ ...scenarioOf('shared-burst'), durationMs });
    const before = outcomes.filter(({ startedAtMs }) => startedAtMs < BURST_BEGINS_AT_MS);
    const recoveredAtMs = BURST_ENDS_AT_MS + RECOVERY_MS;
    const after = outcomes.filter(({ startedAtMs }) => startedAtMs >= recoveredAtMs);
    expect(earnedShareOf(after)).to.be.above(earnedShareOf(before) * (1 - CHANCE));
  });
});

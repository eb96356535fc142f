import { expect } from 'chai';
import fc from 'fast-check';
import { LOST_MAJORITIES, MUTANTS, REGRESSIONS, type Mutant } from './replica-mutants.js';
import { REFORMATION_REVISION_STEP } from '../../src/replication/formation.js';
import { ScriptRun } from './script-run.js';
import { arbitraryScript } from './write-steps.js';

const SEED = 4_001;
const RUNS = 300;
/** Number of scripts within which an injected fault must be detected. */
const MUTANT_RUNS = 600;

describe('replication/replica', () => {
  it('keeps a linear history of accepted writes under failures', () => {
    const totals = new Map<string, number>();
    let steps = 0;
    fc.assert(
      fc.property(arbitraryScript, (script) => {
        const summary = new ScriptRun(script).run();
        steps += summary.steps;
        for (const [outcome, count] of Object.entries(summary.outcomes)) {
          totals.set(outcome, (totals.get(outcome) ?? 0) + count);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
    expect(steps).to.be.greaterThan(RUNS * 10);
    for (const outcome of ['accepted', 'conflict', 'invalid', 'not-accepted', 'unknown']) {
      expect(totals.get(outcome), outcome).to.be.greaterThan(50);
    }
  }).timeout(60_000);

  REGRESSIONS.forEach((script, index) => {
    it(`passes regression script ${index + 1}`, () => {
      expect(new ScriptRun(script).run().steps).to.equal(script.steps.length);
    });
  });

  for (const script of LOST_MAJORITIES) {
    it(`re-forms a group and keeps accepted writes after losing ${script.name}`, () => {
      const run = new ScriptRun(script);
      expect(run.run().outcomes).to.deep.equal({ accepted: 2 });
      expect(run.oracle.newest.version.number).to.be.greaterThan(REFORMATION_REVISION_STEP);
    });
  }

  for (const mutant of MUTANTS) {
    it(`detects an injected fault: ${mutant.name}`, () => {
      expect(findViolation(mutant)).to.match(/OracleViolation/);
    }).timeout(30_000);
  }
});

/** The violation that a mutant causes. A directed script must pass without the mutant. */
function findViolation({ caughtBy, injection, setting }: Mutant): string {
  if (typeof caughtBy === 'number') {
    const property = fc.property(arbitraryScript, (script) => {
      new ScriptRun(script, injection).run();
    });
    const seed = caughtBy;
    const result = fc.check(property, { seed, numRuns: MUTANT_RUNS, endOnFailure: true });
    return String(result.errorInstance);
  }
  const script = { seed: 0, voters: 5, isWarm: true, ...setting, steps: caughtBy } as const;
  new ScriptRun(script).run();
  try {
    new ScriptRun(script, injection).run();
  } catch (error) {
    return String(error);
  }
  return 'none';
}

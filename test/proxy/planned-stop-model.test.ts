/**
 * Model test of the planned stop: runs the production decision logic under a virtual clock with concurrent events
 * in any order. Covers every short script over a bounded set of steps, and random long scripts.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  runScript,
  MUTANTS,
  PRODUCTION,
  type StopBehavior,
  type Step,
} from './stop/stop-script.js';
import type { WorldOptions } from './stop/stop-world.js';

const SEED = 20_261_202;
/** Random scripts per check. */
const RUNS = 4_000;
/** Maximum number of steps in a random script. */
const MAX_SCRIPT_STEPS = 25;
/** Number of steps in each exhaustively tested script. */
const SHORT_SCRIPT_STEPS = 5;

const SHORT_STEPS: readonly Step[] = [
  { type: 'stop' },
  { type: 'head', connection: 0 },
  { type: 'body', connection: 0 },
  { type: 'request', connection: 0 },
  { type: 'send' },
  { type: 'answer' },
  { type: 'begin' },
  { type: 'next-bound' },
];
const PLAIN: WorldOptions = { isRelayed: false, isRepeatable: false, peersCloseMs: 50 };

const connection = fc.integer({ min: 0, max: 2 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constantFrom('stop', 'accept', 'link-silent', 'next-bound') }),
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constantFrom('head', 'body', 'request', 'cancel'),
      connection,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constantFrom('send', 'send', 'answer', 'begin', 'finish', 'break', 'refuse'),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('wait'),
      ms: fc.constantFrom(1, 19, 20, 21, 40, 100, 150),
    }),
  },
);
const script = fc.array(step, { maxLength: MAX_SCRIPT_STEPS, size: 'max' });
const options: fc.Arbitrary<WorldOptions> = fc.record({
  isRelayed: fc.boolean(),
  isRepeatable: fc.boolean(),
  peersCloseMs: fc.constantFrom(0, 50, 200),
});

function check(parts: StopBehavior): fc.RunDetails<[steps: Step[], world: WorldOptions]> {
  const property = fc.property(
    script,
    options,
    (steps, world) => runScript(steps, world, parts).length === 0,
  );
  return fc.check(property, { seed: SEED, numRuns: RUNS });
}

function* scriptsOf(length: number): Generator<Step[]> {
  if (length === 0) {
    yield [];
    return;
  }
  for (const steps of scriptsOf(length - 1)) {
    for (const last of SHORT_STEPS) {
      yield [...steps, last];
    }
  }
}

describe('the planned stop in a model', () => {
  it('keeps its guarantees in every short script', function () {
    this.timeout(120_000);
    for (const steps of scriptsOf(SHORT_SCRIPT_STEPS)) {
      const violations = runScript(steps, PLAIN);
      if (violations.length > 0) {
        expect.fail(`${violations.join('; ')} in ${JSON.stringify(steps)}`);
      }
    }
  });

  it('keeps its guarantees in long scripts', function () {
    this.timeout(120_000);
    const { failed, counterexample } = check(PRODUCTION);
    const [steps = [], world = PLAIN] = counterexample ?? [];
    const violations = failed ? runScript(steps, world) : [];
    expect(violations, JSON.stringify({ steps, world })).to.deep.equal([]);
    expect(failed).to.equal(false);
  });

  for (const { name, ...parts } of MUTANTS) {
    it(`detects a stop that ${name}`, function () {
      this.timeout(120_000);
      expect(check(parts).failed).to.equal(true);
    });
  }
});

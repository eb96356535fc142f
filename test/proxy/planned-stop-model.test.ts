/**
 * The planned stop against all that may happen around it, in any order: the product's decisions under a
 * virtual clock. Every short script of a bounded set, and long ones by chance.
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
/** Scripts by chance for each check. */
const RUNS = 4_000;
/** Steps of a script by chance, at most. */
const LONGEST_SCRIPT = 25;
/** Steps of each script of the bounded set. */
const SHORT_SCRIPT = 5;

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
const script = fc.array(step, { maxLength: LONGEST_SCRIPT, size: 'max' });
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
  it('keeps its promises in every short script', function () {
    this.timeout(120_000);
    for (const steps of scriptsOf(SHORT_SCRIPT)) {
      const found = runScript(steps, PLAIN);
      if (found.length > 0) {
        expect.fail(`${found.join('; ')} in ${JSON.stringify(steps)}`);
      }
    }
  });

  it('keeps its promises in long scripts', function () {
    this.timeout(120_000);
    const { failed, counterexample } = check(PRODUCTION);
    const [steps = [], world = PLAIN] = counterexample ?? [];
    const found = failed ? runScript(steps, world) : [];
    expect(found, JSON.stringify({ steps, world })).to.deep.equal([]);
    expect(failed).to.equal(false);
  });

  for (const { name, ...parts } of MUTANTS) {
    it(`finds a stop that ${name}`, function () {
      this.timeout(120_000);
      expect(check(parts).failed).to.equal(true);
    });
  }
});

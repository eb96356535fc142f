import { expect } from 'chai';
import fc from 'fast-check';
import { CLAIM_RETENTION_MS } from '../../src/claims/claim-terms.js';
import { CLAIM_MUTANTS } from './claim-mutants.js';
import { ClaimSimulation } from './claim-simulation.js';

const SEED = 20_261_203;
const RUNS = 300;
const MUTANT_RUNS = 600;
const MAX_MACHINES = 14;
const KEYS = 2;
const LATENCIES_MS = [10, 10, 200, 900, 3_000];

type Action = (simulation: ClaimSimulation, a: number, b: number) => unknown;

/** Actions of the fuzzer; `a` and `b` select machines, durations or variants. */
const ACTIONS = {
  advance: (simulation, a) => simulation.advance(a % 3_000),
  ask: (simulation, a, b) =>
    simulation.openClaim(a % simulation.processes.length, `key-${b % KEYS}`),
  askTwice: (simulation, a, b) => {
    simulation.openClaim(a % simulation.processes.length, `key-${b % KEYS}`);
    simulation.openClaim(b % simulation.processes.length, `key-${b % KEYS}`);
  },
  end: (simulation, a, b) =>
    simulation.end(simulation.attempts[a % simulation.attempts.length], b % 2 === 0),
  kill: (simulation, a) => simulation.kill(a % simulation.processes.length),
  restart: (simulation, a) => simulation.restart(a % simulation.processes.length),
  restartHolder: (simulation, a) => simulation.restart(a % 5),
  race: (simulation, a, b) => race(simulation, a, b),
  recover: (simulation) => {
    simulation.heal();
    simulation.advance(CLAIM_RETENTION_MS);
  },
  pause: (simulation, a) => simulation.pause(a % simulation.processes.length),
  resume: (simulation, a) => simulation.resume(a % simulation.processes.length),
  cut: (simulation, a, b) =>
    simulation.cut(a % simulation.processes.length, b % simulation.processes.length),
  heal: (simulation) => simulation.heal(),
  restartEveryOther: (simulation) =>
    simulation.processes.forEach((_, index) => index % 2 === 0 && simulation.restart(index)),
  setClocksForward: (simulation, a) => simulation.setClocksForward(a % CLAIM_RETENTION_MS),
  publish: (simulation, a) =>
    simulation.processes.length < MAX_MACHINES && simulation.publishList(a % 2 === 0),
  learnList: (simulation, a) => simulation.learnList(a % simulation.processes.length),
  latency: (simulation, a) => (simulation.latencyMs = LATENCIES_MS[a % LATENCIES_MS.length] ?? 10),
} satisfies Record<string, Action>;
type ActionName = keyof typeof ACTIONS;

/** Relative frequency of each action. */
const WEIGHTS: Readonly<Record<ActionName, number>> = {
  advance: 16,
  ask: 12,
  askTwice: 4,
  end: 6,
  kill: 2,
  restart: 2,
  restartHolder: 3,
  race: 3,
  recover: 1,
  pause: 2,
  resume: 4,
  cut: 4,
  heal: 3,
  restartEveryOther: 0.25,
  setClocksForward: 1,
  publish: 4,
  learnList: 8,
  latency: 6,
};

/**
 * A holder restarts while a slow claim is in progress, and a fast claim on the same key follows.
 */
function race(simulation: ClaimSimulation, a: number, b: number): void {
  const key = `key-${b % KEYS}`;
  const { latencyMs } = simulation;
  simulation.latencyMs = a % 2 === 0 ? 900 : 3_000;
  simulation.openClaim(a % simulation.processes.length, key);
  simulation.advance(b % 500);
  simulation.restart(a % 5);
  simulation.latencyMs = 10;
  simulation.advance(b % 2 === 0 ? 60 : 2_100);
  simulation.openClaim(b % simulation.processes.length, key);
  simulation.advance(3_000);
  simulation.latencyMs = latencyMs;
}

const action = fc.record({
  name: fc.oneof(
    ...Object.entries(WEIGHTS).map(([name, weight]) => ({
      weight: 4 * weight,
      arbitrary: fc.constant(name as ActionName),
    })),
  ),
  a: fc.nat(1_000_000),
  b: fc.nat(1_000_000),
});
const script = fc.record({
  seed: fc.nat(),
  machines: fc.integer({ min: 5, max: 7 }),
  steps: fc.array(action, { minLength: 20, maxLength: 70 }),
});
type Script = typeof script extends fc.Arbitrary<infer T> ? T : never;

interface Totals {
  steps: number;
  won: number;
  taken: number;
}

function fuzz(runs: number, endOnFailure: boolean, seen?: Totals): fc.RunDetails<[Script]> {
  const property = fc.property(script, ({ seed, machines, steps }) => {
    const simulation = new ClaimSimulation(seed, machines, false);
    simulation.advance(CLAIM_RETENTION_MS + 5_000);
    steps.forEach(({ name, a, b }) => ACTIONS[name](simulation, a, b));
    simulation.advance(5_000);
    if (seen !== undefined) {
      seen.steps += steps.length;
      seen.won += simulation.attempts.filter((attempt) => attempt.wonAtMs < Infinity).length;
      seen.taken += simulation.attempts.filter((attempt) => attempt.state === 'taken').length;
    }
  });
  return fc.check(property, { seed: SEED, numRuns: runs, endOnFailure });
}

describe('claims under faults', () => {
  it('never allow a key to run twice', function () {
    this.timeout(120_000);
    const seen: Totals = { steps: 0, won: 0, taken: 0 };
    const result = fuzz(RUNS, false, seen);
    expect(result.failed, fc.defaultReportMessage(result) ?? '').to.equal(false);
    expect(seen.won).to.be.greaterThan(RUNS);
    expect(seen.taken).to.be.greaterThan(RUNS);
  });

  for (const [name, install] of Object.entries(CLAIM_MUTANTS)) {
    it(`detects an injected fault: ${name}`, function () {
      this.timeout(120_000);
      const restore = install();
      try {
        const result = fuzz(MUTANT_RUNS, true);
        expect(result.failed).to.equal(true);
        expect(String(result.errorInstance)).to.contain('DoubleRunError');
      } finally {
        restore();
      }
    });
  }
});

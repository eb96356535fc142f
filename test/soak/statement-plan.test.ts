/** The plan of a soak in which back ends make statements about themselves. */
import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { planStatements } from '../../tools/soak/statement-plan.js';

describe('a plan of statements of back ends', () => {
  const planOf = (seed: number) =>
    planStatements({ machines: 4, durationMs: 60_000, random: seededRandom(seed, 0) });

  it('is the same for the same seed and differs between seeds', () => {
    expect(planOf(1)).to.deep.equal(planOf(1));
    expect(planOf(1)).not.to.deep.equal(planOf(2));
  });

  it('has limits, leaving back ends, and faults of the nodes beside them', () => {
    const kinds = new Set([1, 2, 3].flatMap((seed) => planOf(seed).map(({ fault }) => fault.kind)));
    expect(kinds).to.deep.equal(
      new Set(['backend-limit', 'backend-leave', 'kill', 'stop', 'freeze', 'relay-link']),
    );
  });
});

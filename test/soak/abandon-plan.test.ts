/** The plan of a soak in which callers leave. */
import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { planAbandons } from '../../tools/soak/abandon-plan.js';

describe('a plan under which callers leave', () => {
  const planOf = (seed: number) =>
    planAbandons({ machines: 4, durationMs: 60_000, random: seededRandom(seed, 0) });

  it('is the same for the same seed and differs between seeds', () => {
    expect(planOf(1)).to.deep.equal(planOf(1));
    expect(planOf(1)).not.to.deep.equal(planOf(2));
  });

  it('has late processes, slow connections and slow back ends', () => {
    const kinds = new Set([1, 2].flatMap((seed) => planOf(seed).map(({ fault }) => fault.kind)));
    expect(kinds).to.include.all.keys('late', 'stall', 'backend-fault', 'narrow', 'configure');
  });

  it('makes one process late at a time', () => {
    const late = planOf(1).filter(({ fault }) => fault.kind === 'late');
    late.slice(1).forEach(({ atMs }, idx) => {
      const before = late[idx];
      expect(atMs).to.be.at.least((before?.atMs ?? 0) + (before?.fault.forMs ?? 0));
    });
  });
});

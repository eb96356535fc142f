/** Plans of store restores. */
import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { planRestores } from '../../tools/soak/restore-plan.js';

const MACHINES = 4;
const DURATION_MS = 60_000;

describe('a plan of store restores', () => {
  const planOf = (seed: number) =>
    planRestores({ machines: MACHINES, durationMs: DURATION_MS, random: seededRandom(seed, 0) });

  it('is the same for the same seed and differs between seeds', () => {
    expect(planOf(1)).to.deep.equal(planOf(1));
    expect(planOf(1)).not.to.deep.equal(planOf(2));
  });

  it('has several restores and otherwise only planned work, ordered by time', () => {
    const plan = planOf(3);
    const kinds = plan.map(({ fault }) => fault.kind);
    expect(kinds.filter((kind) => kind === 'store-restore').length).to.be.greaterThan(3);
    expect(new Set(kinds)).to.deep.equal(
      new Set(['store-restore', 'configure', 'backend-drain', 'stop']),
    );
    const times = plan.map(({ atMs }) => atMs);
    expect(times).to.deep.equal([...times].sort((left, right) => left - right));
  });
});

/** Plans of soaks: drawn by seed, of every kind, within the machines and the time. */
import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { planSoak, type PlannedFault } from '../../tools/soak/fault-plan.js';

function planOf(seed: number, durationMs = 60_000): PlannedFault[] {
  return planSoak({ machines: 6, durationMs, random: seededRandom(seed) });
}

describe('the plan of a soak', () => {
  it('is the same for the same seed, and another for another', () => {
    expect(planOf(5)).to.deep.equal(planOf(5));
    expect(planOf(5)).to.not.deep.equal(planOf(6));
  });

  it('has every kind in a long run, in order, on machines that exist', () => {
    const plan = planOf(7, 600_000);
    expect(new Set(plan.map(({ fault }) => fault.kind)).size).to.equal(11);
    const times = plan.map(({ atMs }) => atMs);
    expect(times).to.deep.equal([...times].sort((left, right) => left - right));
    for (const { fault } of plan) {
      const machines = 'machines' in fault ? fault.machines : [0];
      expect(machines).to.not.be.empty;
      expect(new Set(machines).size).to.equal(machines.length);
      machines.forEach((idx) => expect(idx).to.be.within(0, 5));
    }
  });
});

/** The plan of planned work alone. */
import { expect } from 'chai';
import { planPlannedWork } from '../../tools/soak/planned-plan.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';

const MACHINES = 6;
const DURATION_MS = 60_000;
const PLANNED = new Set(['stop', 'reload', 'backend-drain', 'configure']);

describe('a plan of planned work', () => {
  const planOf = (seed: number) =>
    planPlannedWork({
      machines: MACHINES,
      durationMs: DURATION_MS,
      random: seededRandom(seed, 0),
    });

  it('is the same for the same seed, and another for another', () => {
    expect(planOf(1)).to.deep.equal(planOf(1));
    expect(planOf(1)).not.to.deep.equal(planOf(2));
  });

  it('harms nothing before all nodes lose power, right after a configuration', () => {
    const plan = planOf(3);
    const [configuration, power] = plan.slice(-2);
    plan.slice(0, -1).forEach(({ fault }) => expect(PLANNED).to.include(fault.kind));
    expect(configuration?.fault.kind).to.equal('configure');
    expect(power?.fault).to.include({ kind: 'kill' });
    expect((power?.atMs ?? 0) - (configuration?.atMs ?? 0)).to.be.within(0, 100);
  });

  it('has each kind of planned work, second stops and large configurations among it', () => {
    const faults = [1, 2, 3, 4].flatMap((seed) => planOf(seed).map(({ fault }) => fault));
    expect(new Set(faults.map(({ kind }) => kind))).to.include.all.keys(...PLANNED);
    expect(faults.some((one) => one.kind === 'stop' && one.againAfterMs !== undefined)).to.equal(
      true,
    );
    expect(faults.some((one) => one.kind === 'configure' && (one.fillers ?? 0) > 0)).to.equal(true);
  });
});

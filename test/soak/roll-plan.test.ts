/** Plans of rolls: drawn by seed, several machines at a time, and nothing in them that ends a connection. */
import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import type { PlannedFault, SoakFault } from '../../tools/soak/fault-plan.js';
import { planRolls } from '../../tools/soak/roll-plan.js';

const MACHINES = 10;
const LONG_MS = 600_000;
/** One roll at most begins in so short a time, in milliseconds. */
const ONE_ROLL_MS = 12_000;
const SEEDS = Array.from({ length: 50 }, (_, seed) => seed);
const LEAST_ROLLED_SHARE = 0.43;
const GRACE_MS = 6_000;

function planOf(seed: number, durationMs = LONG_MS, machines = MACHINES): PlannedFault[] {
  return planRolls({ machines, durationMs, random: seededRandom(seed) });
}

function only<K extends SoakFault['kind']>(
  plan: readonly PlannedFault[],
  kind: K,
): { atMs: number; fault: Extract<SoakFault, { kind: K }> }[] {
  return plan.flatMap(({ atMs, fault }) =>
    fault.kind === kind ? [{ atMs, fault: fault as Extract<SoakFault, { kind: K }> }] : [],
  );
}

describe('the rolls of a soak', () => {
  it('are the same for the same seed, and others for another', () => {
    expect(planOf(5)).to.deep.equal(planOf(5));
    expect(planOf(5)).to.not.deep.equal(planOf(6));
  });

  it('have planned work, slow connections and short halts alone', () => {
    expect([...new Set(planOf(7).map(({ fault }) => fault.kind))].sort()).to.deep.equal([
      'backend-drain',
      'configure',
      'freeze',
      'stall',
      'stop',
    ]);
  });

  it('stop a large share of the machines in each roll, several within one grace time', () => {
    for (const seed of SEEDS) {
      const stops = only(planOf(seed, ONE_ROLL_MS), 'stop');
      const [first, second] = stops;
      expect(second?.atMs).to.be.below((first?.atMs ?? 0) + GRACE_MS);
    }
    const firstRolls = SEEDS.map((seed) => {
      const stops = only(planOf(seed), 'stop');
      const next = stops.findIndex(
        ({ atMs }, idx) => atMs - (stops[idx - 1]?.atMs ?? atMs) > 2_900,
      );
      return new Set(stops.slice(0, next).flatMap(({ fault }) => fault.machines)).size;
    });
    firstRolls.forEach((count) => expect(count).to.be.at.least(MACHINES * LEAST_ROLLED_SHARE));
  });

  it('slow single connections down, each way and both, for 0.3 to 2.5 s', () => {
    const stalls = only(planOf(8), 'stall').map(({ fault }) => fault);
    expect(new Set(stalls.map(({ way }) => way))).to.have.all.keys('there', 'back', 'both');
    stalls.forEach(({ forMs, machines }) => {
      expect(forMs).to.be.within(300, 2_500);
      expect(machines).to.have.lengthOf(1);
    });
    expect(stalls.some(({ delayMs }) => delayMs === Infinity)).to.equal(true);
    expect(stalls.some(({ delayMs }) => delayMs < 1_000)).to.equal(true);
  });

  it('halt processes for 2 s at most', () => {
    only(planOf(8), 'freeze').forEach(({ fault }) => expect(fault.forMs).to.be.at.most(2_000));
  });

  it('release back ends to the same and to other addresses', () => {
    const moves = only(planOf(9), 'backend-drain').map(({ fault }) => fault.moves);
    expect(moves).to.include.members([true, false]);
  });

  it('are in order, within the time and on machines that exist, in a fleet of one too', () => {
    for (const machines of [1, 4, MACHINES]) {
      const plan = planOf(10, LONG_MS, machines);
      const times = plan.map(({ atMs }) => atMs);
      expect(times).to.deep.equal([...times].sort((left, right) => left - right));
      times.forEach((atMs) => expect(atMs).to.be.within(0, LONG_MS));
      for (const { fault } of plan) {
        const struck = 'machines' in fault ? fault.machines : [0];
        expect(struck).to.not.be.empty;
        struck.forEach((idx) => expect(idx).to.be.within(0, machines - 1));
      }
    }
  });
});

/** Plans of series: drawn by seed, overlapping, within the machines and the time. */
import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import type { PlannedFault, SoakFault } from '../../tools/soak/fault-plan.js';
import { planSeries } from '../../tools/soak/series-plan.js';

const MACHINES = 6;
const LONG_MS = 600_000;
/** A stop under traffic takes at least so long, in milliseconds. */
const STOP_TAKES_MS = 2_800;

function planOf(seed: number, durationMs = LONG_MS): PlannedFault[] {
  return planSeries({ machines: MACHINES, durationMs, random: seededRandom(seed) });
}

function namesOf(plan: readonly PlannedFault[]): Set<string> {
  return new Set(plan.map(({ fault }) => nameOf(fault)));
}

function nameOf(fault: SoakFault): string {
  return 'state' in fault ? `${fault.kind} ${fault.state}` : fault.kind;
}

describe('the series of a soak', () => {
  it('are the same for the same seed, and others for another', () => {
    expect(planOf(5)).to.deep.equal(planOf(5));
    expect(planOf(5)).to.not.deep.equal(planOf(6));
  });

  it('have every kind, and silences on each link both ways and one way', () => {
    expect([...namesOf(planOf(7))].sort()).to.deep.equal([
      'backend-drain',
      'backend-link open-one-way',
      'backend-link open-silence',
      'configure',
      'narrow',
      'relay-link open-one-way',
      'relay-link open-silence',
      'reload',
      'stop',
      'store-link open-one-way',
      'store-link open-silence',
    ]);
  });

  it('are in order, within the time and on machines that exist', () => {
    const plan = planOf(8);
    const times = plan.map(({ atMs }) => atMs);
    expect(times).to.deep.equal([...times].sort((left, right) => left - right));
    times.forEach((atMs) => expect(atMs).to.be.within(0, LONG_MS));
    for (const { fault } of plan) {
      const machines = 'machines' in fault ? fault.machines : [0];
      expect(machines).to.not.be.empty;
      expect(new Set(machines).size).to.equal(machines.length);
      machines.forEach((idx) => expect(idx).to.be.within(0, MACHINES - 1));
    }
  });

  it('stop a machine while another one stops, and reload, release and silence meanwhile', () => {
    const plan = planOf(9);
    const stops = plan.filter(({ fault }) => fault.kind === 'stop');
    const during = plan.filter(({ atMs }) =>
      stops.some((stop) => atMs > stop.atMs && atMs < stop.atMs + STOP_TAKES_MS),
    );
    const kinds = new Set(during.map(({ fault }) => fault.kind));
    expect(kinds).to.include.all.keys('stop', 'reload', 'backend-drain', 'configure', 'relay-link');
  });

  it('work for a fleet of one machine', () => {
    const plan = planSeries({ machines: 1, durationMs: LONG_MS, random: seededRandom(1) });
    expect(namesOf(plan)).to.include('stop');
  });
});

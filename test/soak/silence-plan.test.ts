/** Plans of silences: drawn by seed, on every kind of link and each way, and on machines that stop. */
import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import type { PlannedFault } from '../../tools/soak/fault-plan.js';
import { planSeries } from '../../tools/soak/series-plan.js';
import { planSilences } from '../../tools/soak/silence-plan.js';

const MACHINES = 6;
const LONG_MS = 600_000;
/** Time after a stop in which it is under way, in milliseconds. */
const STOP_TAKES_MS = 3_000;
const LINKS = ['backend-link', 'caller-link', 'relay-link', 'store-link'] as const;
const STATES = ['open-one-way', 'open-other-way', 'open-silence'] as const;

function seriesOf(seed: number): PlannedFault[] {
  return planSeries({ machines: MACHINES, durationMs: LONG_MS, random: seededRandom(seed) });
}

function planOf(seed: number, beside: readonly PlannedFault[] = seriesOf(1)): PlannedFault[] {
  const random = seededRandom(seed);
  return planSilences({ machines: MACHINES, durationMs: LONG_MS, random }, beside);
}

describe('the silences of a soak', () => {
  it('are the same for the same seed, and others for another', () => {
    expect(planOf(5)).to.deep.equal(planOf(5));
    expect(planOf(5)).to.not.deep.equal(planOf(6));
  });

  it('come on each kind of link, both ways and each way alone, also without any stop', () => {
    const names = planOf(7, []).map(({ fault }) =>
      'state' in fault ? `${fault.kind} ${fault.state}` : fault.kind,
    );
    const all = LINKS.flatMap((kind) => STATES.map((state) => `${kind} ${state}`));
    expect([...new Set(names)].sort()).to.deep.equal(all);
  });

  it('strike machines while they stop, beside reloads, configurations and a further stop', () => {
    const stops = seriesOf(1).filter(({ fault }) => fault.kind === 'stop');
    const names = stops.flatMap(({ atMs, fault: stop }) =>
      planOf(8)
        .filter((one) => one.atMs > atMs && one.atMs < atMs + STOP_TAKES_MS)
        .filter(
          ({ fault }) =>
            !('machines' in fault) ||
            ('machines' in stop && fault.machines.join() === stop.machines.join()),
        )
        .map(({ fault }) => ('state' in fault ? `${fault.kind} ${fault.state}` : fault.kind)),
    );
    const all = LINKS.flatMap((kind) => STATES.map((state) => `${kind} ${state}`));
    expect(names).to.include.members([...all, 'reload', 'configure', 'stop']);
  });

  it('are in order and within the time', () => {
    const times = planOf(9).map(({ atMs }) => atMs);
    expect(times).to.deep.equal([...times].sort((left, right) => left - right));
    times.forEach((atMs) => expect(atMs).to.be.within(0, LONG_MS));
  });
});

import { expect } from 'chai';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { describeAction, durationOfMs, type FaultAction } from '../../tools/faults/fault-action.js';
import { planFaults, type ScheduleOptions } from '../../tools/faults/fault-schedule.js';

const BACKENDS = ['b-1', 'b-2', 'b-3', 'b-4', 'b-5'];
const DURATION_MS = 90_000;
const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

function optionsOf(seed: number): ScheduleOptions {
  return {
    durationMs: DURATION_MS,
    leaseDurationMs: 6_000,
    nodes: ['edge-1', 'edge-2', ...BACKENDS],
    backends: BACKENDS,
    random: seededRandom(seed, 0),
  };
}

/** Machines that an action stops, kills or freezes by name. */
function machinesOf(action: FaultAction): readonly string[] {
  switch (action.type) {
    case 'kill-nodes':
      return action.nodes;
    case 'freeze-node':
    case 'stop-node':
      return [action.node];
    case 'kill-backend':
    case 'stop-backend':
      return [action.machine];
    default:
      return [];
  }
}

describe('fault schedule', () => {
  it('is the same for a seed, and another for another', () => {
    expect(planFaults(optionsOf(7))).to.deep.equal(planFaults(optionsOf(7)));
    expect(planFaults(optionsOf(7))).to.not.deep.equal(planFaults(optionsOf(8)));
  });

  for (const seed of SEEDS) {
    it(`seed ${seed}: in order, over in time, no machine taken twice at once`, () => {
      const busyUntilMs = new Map<string, number>();
      let lastMs = 0;
      for (const { atMs, action } of planFaults(optionsOf(seed))) {
        const endMs = atMs + durationOfMs(action);
        expect(atMs).to.be.at.least(lastMs);
        expect(endMs).to.be.at.most(DURATION_MS);
        for (const machine of machinesOf(action)) {
          expect(busyUntilMs.get(machine) ?? 0, machine).to.be.at.most(atMs);
          busyUntilMs.set(machine, endMs);
        }
        lastMs = atMs;
      }
    });
  }

  it('makes every kind of failure', () => {
    const actions = SEEDS.flatMap((seed) => planFaults(optionsOf(seed))).map((one) => one.action);
    expect([...new Set(actions.map((action) => action.type))]).to.have.members([
      'kill-nodes',
      'kill-backend',
      'freeze-node',
      'freeze-reader',
      'stop-node',
      'stop-backend',
      'platform-outage',
      'platform-stale',
      'platform-restart-from-zero',
      'publish',
      'publish-bad',
    ]);
    for (const withNode of [false, true]) {
      const isMeant = (action: FaultAction): boolean =>
        action.type === 'stop-backend' && action.withNode === withNode;
      expect(actions.some(isMeant)).to.equal(true);
    }
    const herds = actions.filter((action) => action.type === 'kill-nodes');
    expect(herds.some((herd) => herd.nodes.length > 2)).to.equal(true);
    expect(actions.map(describeAction)).to.not.include(undefined);
  });
});

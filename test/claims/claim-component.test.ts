/** Claims on idempotency keys: claim rounds, holders, and repeated requests with the same key. */
import { expect } from 'chai';
import { ClaimComponent } from '../../src/claims/claim-component.js';
import type { ClaimOutcome } from '../../src/claims/claim-command.js';
import { ClaimTable } from '../../src/claims/claim-table.js';
import { claimDigest } from '../../src/claims/claim-digest.js';
import {
  CLAIM_RETENTION_MS,
  CLAIM_ROUND_TIMEOUT_MS,
  SYNC_DELAY_MS,
  SYNC_INTERVAL_MS,
} from '../../src/claims/claim-terms.js';
import type { ControlEffect } from '../../src/control/control-event.js';
import { fleetGroupOf } from '../../src/control/fleet-group.js';
import { MachineIndex } from '../../src/membership/machine-index.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { Machine } from '../../src/model/machine.js';
import type { ClaimStep } from '../../src/wire/message.js';
import { CLAIM_TIMING_MUTANTS } from './claim-mutants.js';
import { ClaimSimulation, type AttemptState } from './claim-simulation.js';

const CLAIM = claimDigest('payments', 'charge-1');
const MACHINES = Array.from({ length: 5 }, (_, index) => machine(index));

function machine(index: number): Machine {
  return {
    id: `m${index}`,
    address: `10.0.0.${index + 1}`,
    controlPort: 7_000,
    relayPort: 7_001,
    zone: 'a',
    region: 'r',
    seniority: index,
    state: 'live',
  };
}

function identity(id: string): PeerIdentity {
  const place = { address: '10.0.0.99', controlPort: 7_000, relayPort: 7_001 };
  return { id, incarnation: 1, ...place, zone: 'a', region: 'r' };
}

function component(id: string): ClaimComponent {
  return new ClaimComponent({
    fleet: { identity: identity(id), oldestMachines: () => MACHINES },
    counters: { add: () => undefined },
    opensWhenAllAreNew: false,
  });
}

/** Opens a claim at a node that is not a holder, and delivers answers at the given times. */
function outcomeOf(answers: readonly (readonly [string, ClaimStep, number])[]): string {
  const node = component('edge');
  let outcome: ClaimOutcome | undefined;
  const onOutcome = (settled: ClaimOutcome): void => {
    outcome ??= settled;
  };
  node.handle({ type: 'start' }, 0);
  const command = { kind: 'open', claim: CLAIM, attempt: 'edge-1', onOutcome } as const;
  node.handle({ type: 'claim', command }, 0);
  for (const [from, step, atMs] of answers) {
    const message = { type: 'claim', step, claim: CLAIM, attempt: 'edge-1' } as const;
    node.handle({ type: 'message', from: identity(from), message }, atMs);
  }
  node.handle({ type: 'wake' }, CLAIM_ROUND_TIMEOUT_MS);
  return outcome === undefined
    ? 'none'
    : outcome.outcome === 'taken' && outcome.ran
      ? 'ran'
      : outcome.outcome;
}

const LATE_MAJORITY = [
  ['m0', 'granted', 1],
  ['m1', 'granted', 1],
  ['m2', 'granted', CLAIM_ROUND_TIMEOUT_MS],
] as const;

/** Time at which a new holder first requests the claims of the others. */
function firstSyncAt(): number {
  const node = component('m0');
  const dials = (effects: readonly ControlEffect[]): boolean =>
    effects.some((effect) => effect.type === 'dial');
  for (let atMs = 0; atMs <= 2 * SYNC_DELAY_MS; atMs += 100) {
    if (dials(node.handle({ type: 'wake' }, atMs))) {
      return atMs;
    }
  }
  return Infinity;
}

describe('claim round', () => {
  const cases: readonly (readonly [string, Parameters<typeof outcomeOf>[0], string])[] = [
    ['no answers', [], 'unavailable'],
    [
      'a majority grants',
      [
        ['m0', 'granted', 1],
        ['m1', 'granted', 1],
        ['m4', 'granted', 9],
      ],
      'won',
    ],
    [
      'a minority grants',
      [
        ['m0', 'granted', 1],
        ['m1', 'granted', 1],
      ],
      'unavailable',
    ],
    [
      'one holder grants three times',
      [
        ['m0', 'granted', 1],
        ['m0', 'granted', 2],
        ['m0', 'granted', 3],
      ],
      'unavailable',
    ],
    [
      'machines that are not holders grant',
      [
        ['m0', 'granted', 1],
        ['x', 'granted', 2],
        ['y', 'granted', 3],
      ],
      'unavailable',
    ],
    [
      'a majority is unready',
      [
        ['m0', 'unready', 1],
        ['m1', 'unready', 1],
        ['m2', 'unready', 1],
      ],
      'unavailable',
    ],
    [
      'one holder has another attempt',
      [
        ['m0', 'claimed', 1],
        ['m1', 'granted', 1],
      ],
      'taken',
    ],
    [
      'a majority has another attempt',
      [
        ['m0', 'claimed', 1],
        ['m1', 'claimed', 1],
        ['m2', 'claimed', 1],
      ],
      'taken',
    ],
    [
      'one holder reports that another attempt ran',
      [
        ['m0', 'claimed', 1],
        ['m1', 'finished', 1],
        ['m2', 'claimed', 1],
      ],
      'ran',
    ],
    [
      'a stray record at one holder',
      [
        ['m0', 'claimed', 1],
        ['m1', 'granted', 1],
        ['m2', 'granted', 1],
        ['m3', 'granted', 1],
      ],
      'won',
    ],
    ['the majority is reached after the timeout', LATE_MAJORITY, 'unavailable'],
  ];
  for (const [name, answers, expected] of cases) {
    it(`${name}: ${expected}`, () => {
      expect(outcomeOf(answers)).to.equal(expected);
    });
  }

  it('counts a late majority if rounds do not time out (injected fault)', () => {
    const restore = CLAIM_TIMING_MUTANTS['a late majority is counted']();
    try {
      expect(outcomeOf(LATE_MAJORITY)).to.equal('won');
    } finally {
      restore();
    }
  });
});

describe('claim holder', () => {
  it('waits for rounds that may count its former grants before it requests claims', () => {
    expect(firstSyncAt()).to.equal(SYNC_DELAY_MS);
    const restore = CLAIM_TIMING_MUTANTS['a new holder requests claims without the delay']();
    try {
      expect(firstSyncAt()).to.equal(0);
    } finally {
      restore();
    }
  });

  it('grants no more claims than its limit until some expire', () => {
    const table = new ClaimTable(2);
    expect(table.request('a', '1', 0)).to.equal('granted');
    expect(table.request('b', '2', 0)).to.equal('granted');
    expect(table.request('c', '3', 0)).to.equal('unready');
    expect(table.request('c', '3', CLAIM_RETENTION_MS)).to.equal('granted');
  });

  it('grants neither of two attempts that other holders recorded for one key', () => {
    const table = new ClaimTable();
    for (const attempt of ['1', '2']) {
      table.merge({ claim: 'a', attempt, isFinished: false, remainingMs: 1_000 }, 0);
    }
    expect([table.request('a', '1', 0), table.request('a', '2', 0)]).to.deep.equal([
      'claimed',
      'claimed',
    ]);
  });

  it('frees a key only if its own attempt is released', () => {
    const table = new ClaimTable();
    table.request('a', '1', 0);
    table.release('a', '2', 0);
    expect(table.request('a', '3', 0)).to.equal('claimed');
    table.release('a', '1', 0);
    expect(table.request('a', '1', 0)).to.equal('unready');
    expect(table.request('a', '3', 0)).to.equal('granted');
  });
});

interface FaultCase {
  readonly name: string;
  readonly opensWhenAllAreNew?: boolean;
  /** Key of the second request, if it differs from the first. */
  readonly key?: string;
  readonly injectFault: (simulation: ClaimSimulation) => void;
  readonly expected: AttemptState;
}

const FAULTS: readonly FaultCase[] = [
  { name: 'no fault', injectFault: () => undefined, expected: 'taken' },
  {
    name: 'its node is killed',
    injectFault: (simulation) => simulation.kill(6),
    expected: 'taken',
  },
  {
    name: 'a minority of holders restarts',
    injectFault: (simulation) => [0, 1].forEach((index) => simulation.restart(index)),
    expected: 'taken',
  },
  {
    name: 'every holder restarts, one at a time',
    injectFault: (simulation) =>
      [0, 1, 2, 3, 4].forEach((index) => {
        simulation.restart(index);
        simulation.advance(SYNC_DELAY_MS + 2 * SYNC_INTERVAL_MS);
      }),
    expected: 'taken',
  },
  {
    name: 'every holder is replaced, two at a time',
    injectFault: (simulation) =>
      [
        [0, 1],
        [2, 3],
        [4, 5],
      ].forEach((pair) => {
        pair.forEach((index) => simulation.kill(index));
        simulation.publishList(true);
        simulation.processes.forEach((_, index) => simulation.learnList(index));
        simulation.advance(SYNC_DELAY_MS + 2 * SYNC_INTERVAL_MS);
      }),
    expected: 'taken',
  },
  {
    name: 'a majority of holders restarts together, the others keep the claim',
    injectFault: (simulation) => [0, 1, 2].forEach((index) => simulation.restart(index)),
    expected: 'taken',
  },
  {
    name: 'a majority of holders restarts together, another key',
    key: 'other-key',
    injectFault: (simulation) => [0, 1, 2].forEach((index) => simulation.restart(index)),
    expected: 'unavailable',
  },
  {
    name: 'a majority of holders restarts together, and the claim expires',
    injectFault: (simulation) => {
      [0, 1, 2].forEach((index) => simulation.restart(index));
      simulation.advance(CLAIM_RETENTION_MS);
    },
    expected: 'won',
  },
  {
    name: 'every holder restarts together and may grant at once, another key',
    opensWhenAllAreNew: true,
    key: 'other-key',
    injectFault: (simulation) => [0, 1, 2, 3, 4].forEach((index) => simulation.restart(index)),
    expected: 'won',
  },
];

describe('a second request with an idempotency key', () => {
  for (const { name, opensWhenAllAreNew, key, injectFault, expected } of FAULTS) {
    it(`is ${expected}: ${name}`, () => {
      const simulation = new ClaimSimulation(7, 8, opensWhenAllAreNew === true);
      simulation.advance(CLAIM_RETENTION_MS + SYNC_DELAY_MS + SYNC_INTERVAL_MS);
      const first = simulation.openClaim(6, 'key');
      simulation.advance(100);
      expect(first?.state).to.equal('won');
      injectFault(simulation);
      simulation.advance(SYNC_DELAY_MS + 4 * SYNC_INTERVAL_MS);
      const second = simulation.openClaim(7, key ?? 'key');
      simulation.advance(2 * CLAIM_ROUND_TIMEOUT_MS);
      expect(second?.state).to.equal(expected);
    });
  }

  describe('with groups', () => {
    const GROUPS = 3;
    const fleet = new MachineIndex(Array.from({ length: 30 }, (_, index) => machine(index)));
    const componentInGroups = (id: string): ClaimComponent =>
      new ClaimComponent({
        fleet: {
          identity: identity(id),
          oldestMachines: (group, groups) => fleet.oldestOf(group, groups),
        },
        counters: { add: () => undefined },
        opensWhenAllAreNew: true,
        groups: GROUPS,
      });

    it('sends requests to the five oldest machines of the group, and spreads keys over groups', () => {
      const asked = new Set<string>();
      for (let key = 0; key < 30; key += 1) {
        const claim = claimDigest('payments', `charge-${key}`);
        const node = componentInGroups('edge');
        const command = { kind: 'open', claim, attempt: 'a', onOutcome: () => undefined } as const;
        const effects = node.handle({ type: 'claim', command }, 0);
        const dialled = effects.flatMap((one) => (one.type === 'dial' ? [one.target.address] : []));
        const group = fleet.oldestOf(fleetGroupOf(claim, GROUPS), GROUPS);
        expect(dialled).to.deep.equal(group.map((holder) => holder.address));
        dialled.forEach((address) => asked.add(address));
      }
      expect(asked.size).to.equal(GROUPS * 5);
    });

    it('grants claims of its own group only', () => {
      const alone = new MachineIndex([machine(0)]);
      const holder = new ClaimComponent({
        fleet: {
          identity: identity('m0'),
          oldestMachines: (group, groups) => alone.oldestOf(group, groups),
        },
        counters: { add: () => undefined },
        opensWhenAllAreNew: true,
        groups: GROUPS,
      });
      holder.handle({ type: 'start' }, 0);
      holder.handle({ type: 'wake' }, SYNC_DELAY_MS + SYNC_INTERVAL_MS);
      const own = fleetGroupOf('m0', GROUPS);
      for (let key = 0; key < 10; key += 1) {
        const claim = claimDigest('payments', `k${key}`);
        const message = { type: 'claim', step: 'request', claim, attempt: 'a' } as const;
        const event = { type: 'message', from: identity('edge'), message } as const;
        const effects = holder.handle(event, SYNC_DELAY_MS + SYNC_INTERVAL_MS);
        const step = fleetGroupOf(claim, GROUPS) === own ? 'granted' : 'unready';
        const answer = { type: 'send', to: 'edge', message: { ...message, step } };
        expect(effects).to.deep.include(answer);
      }
    });
  });
});

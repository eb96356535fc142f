/** Claims on idempotency keys: rounds of claimants, holders, and second requests with a key. */
import { expect } from 'chai';
import { ClaimComponent } from '../../src/claims/claim-component.js';
import type { ClaimOutcome } from '../../src/claims/claim-command.js';
import { ClaimTable } from '../../src/claims/claim-table.js';
import { claimDigest } from '../../src/claims/claim-digest.js';
import {
  CLAIM_KEEP_MS,
  CLAIM_ROUND_MS,
  SETTLE_MS,
  SYNC_INTERVAL_MS,
} from '../../src/claims/claim-terms.js';
import type { ControlEffect } from '../../src/control/control-event.js';
import { fleetGroupOf } from '../../src/control/fleet-group.js';
import { MachineIndex } from '../../src/membership/machine-index.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { Machine } from '../../src/model/machine.js';
import type { ClaimStep } from '../../src/wire/message.js';
import { CLAIM_TIME_MUTANTS } from './claim-mutants.js';
import { ClaimWorld, type AttemptFate } from './claim-world.js';

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

/** Claims at a node that is no holder; answers come at the times given. */
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
  node.handle({ type: 'wake' }, CLAIM_ROUND_MS);
  return outcome === undefined
    ? 'none'
    : outcome.outcome === 'taken' && outcome.ran
      ? 'ran'
      : outcome.outcome;
}

const LATE_MAJORITY = [
  ['m0', 'granted', 1],
  ['m1', 'granted', 1],
  ['m2', 'granted', CLAIM_ROUND_MS],
] as const;

/** When a new holder first asks the others. */
function firstSyncAt(): number {
  const node = component('m0');
  const asks = (effects: readonly ControlEffect[]): boolean =>
    effects.some((effect) => effect.type === 'dial');
  for (let atMs = 0; atMs <= 2 * SETTLE_MS; atMs += 100) {
    if (asks(node.handle({ type: 'wake' }, atMs))) {
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
      'one grants three times',
      [
        ['m0', 'granted', 1],
        ['m0', 'granted', 2],
        ['m0', 'granted', 3],
      ],
      'unavailable',
    ],
    [
      'others than holders grant',
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
      'one knows another attempt',
      [
        ['m0', 'claimed', 1],
        ['m1', 'granted', 1],
      ],
      'taken',
    ],
    [
      'a majority knows another attempt',
      [
        ['m0', 'claimed', 1],
        ['m1', 'claimed', 1],
        ['m2', 'claimed', 1],
      ],
      'taken',
    ],
    [
      'one knows that another ran',
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
    ['the majority comes late', LATE_MAJORITY, 'unavailable'],
  ];
  for (const [name, answers, expected] of cases) {
    it(`${name}: ${expected}`, () => {
      expect(outcomeOf(answers)).to.equal(expected);
    });
  }

  it('would count a late majority but for the end of the round', () => {
    const restore = CLAIM_TIME_MUTANTS['a majority that comes late counts']();
    try {
      expect(outcomeOf(LATE_MAJORITY)).to.equal('won');
    } finally {
      restore();
    }
  });
});

describe('claim holder', () => {
  it('lets rounds that may count its former grants end before it asks the others', () => {
    expect(firstSyncAt()).to.equal(SETTLE_MS);
    const restore = CLAIM_TIME_MUTANTS['a new holder asks the others at once']();
    try {
      expect(firstSyncAt()).to.equal(0);
    } finally {
      restore();
    }
  });

  it('has no room for more claims than its bound, until some lapse', () => {
    const table = new ClaimTable(2);
    expect(table.request('a', '1', 0)).to.equal('granted');
    expect(table.request('b', '2', 0)).to.equal('granted');
    expect(table.request('c', '3', 0)).to.equal('unready');
    expect(table.request('c', '3', CLAIM_KEEP_MS)).to.equal('granted');
  });

  it('grants neither of two attempts that others recorded under one key', () => {
    const table = new ClaimTable();
    for (const attempt of ['1', '2']) {
      table.merge({ claim: 'a', attempt, isFinished: false, remainingMs: 1_000 }, 0);
    }
    expect([table.request('a', '1', 0), table.request('a', '2', 0)]).to.deep.equal([
      'claimed',
      'claimed',
    ]);
  });

  it('frees a key for others by the release of its attempt only', () => {
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
  readonly opens?: boolean;
  /** Key of the second request, where it is another. */
  readonly key?: string;
  readonly between: (world: ClaimWorld) => void;
  readonly expected: AttemptFate;
}

const FAULTS: readonly FaultCase[] = [
  { name: 'no fault', between: () => undefined, expected: 'taken' },
  { name: 'its node dies', between: (world) => world.kill(6), expected: 'taken' },
  {
    name: 'a minority of holders restarts',
    between: (world) => [0, 1].forEach((index) => world.restart(index)),
    expected: 'taken',
  },
  {
    name: 'every holder restarts, one after the other',
    between: (world) =>
      [0, 1, 2, 3, 4].forEach((index) => {
        world.restart(index);
        world.advance(SETTLE_MS + 2 * SYNC_INTERVAL_MS);
      }),
    expected: 'taken',
  },
  {
    name: 'every holder is replaced, two at a time',
    between: (world) =>
      [
        [0, 1],
        [2, 3],
        [4, 5],
      ].forEach((pair) => {
        pair.forEach((index) => world.kill(index));
        world.publish(true);
        world.processes.forEach((_, index) => world.learnList(index));
        world.advance(SETTLE_MS + 2 * SYNC_INTERVAL_MS);
      }),
    expected: 'taken',
  },
  {
    name: 'a majority of holders restarts together, the others remember',
    between: (world) => [0, 1, 2].forEach((index) => world.restart(index)),
    expected: 'taken',
  },
  {
    name: 'a majority of holders restarts together, another key',
    key: 'other-key',
    between: (world) => [0, 1, 2].forEach((index) => world.restart(index)),
    expected: 'unavailable',
  },
  {
    name: 'a majority of holders restarts together, and the claim lapses',
    between: (world) => {
      [0, 1, 2].forEach((index) => world.restart(index));
      world.advance(CLAIM_KEEP_MS);
    },
    expected: 'won',
  },
  {
    name: 'every holder restarts together and may begin anew, another key',
    opens: true,
    key: 'other-key',
    between: (world) => [0, 1, 2, 3, 4].forEach((index) => world.restart(index)),
    expected: 'won',
  },
];

describe('a second request with a key', () => {
  for (const { name, opens, key, between, expected } of FAULTS) {
    it(`is ${expected}: ${name}`, () => {
      const world = new ClaimWorld(7, 8, opens === true);
      world.advance(CLAIM_KEEP_MS + SETTLE_MS + SYNC_INTERVAL_MS);
      const first = world.ask(6, 'key');
      world.advance(100);
      expect(first?.fate).to.equal('won');
      between(world);
      world.advance(SETTLE_MS + 4 * SYNC_INTERVAL_MS);
      const second = world.ask(7, key ?? 'key');
      world.advance(2 * CLAIM_ROUND_MS);
      expect(second?.fate).to.equal(expected);
    });
  }

  describe('with groups', () => {
    const GROUPS = 3;
    const fleet = new MachineIndex(Array.from({ length: 30 }, (_, index) => machine(index)));
    const grouped = (id: string): ClaimComponent =>
      new ClaimComponent({
        fleet: {
          identity: identity(id),
          oldestMachines: (group, groups) => fleet.oldestOf(group, groups),
        },
        counters: { add: () => undefined },
        opensWhenAllAreNew: true,
        groups: GROUPS,
      });

    it('asks the five oldest machines of the group of the key, and spreads keys over groups', () => {
      const asked = new Set<string>();
      for (let key = 0; key < 30; key += 1) {
        const claim = claimDigest('payments', `charge-${key}`);
        const node = grouped('edge');
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
      holder.handle({ type: 'wake' }, SETTLE_MS + SYNC_INTERVAL_MS);
      const own = fleetGroupOf('m0', GROUPS);
      for (let key = 0; key < 10; key += 1) {
        const claim = claimDigest('payments', `k${key}`);
        const message = { type: 'claim', step: 'request', claim, attempt: 'a' } as const;
        const event = { type: 'message', from: identity('edge'), message } as const;
        const effects = holder.handle(event, SETTLE_MS + SYNC_INTERVAL_MS);
        const step = fleetGroupOf(claim, GROUPS) === own ? 'granted' : 'unready';
        const answer = { type: 'send', to: 'edge', message: { ...message, step } };
        expect(effects).to.deep.include(answer);
      }
    });
  });
});

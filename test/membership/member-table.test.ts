import { expect } from 'chai';
import { MachineIndex } from '../../src/membership/machine-index.js';
import {
  MAX_UNLISTED_MEMBERS,
  MEMBER_RETENTION_MS,
  MemberTable,
} from '../../src/membership/member-table.js';
import { SelfClaim } from '../../src/membership/self-claim.js';
import type { MemberStatus, MemberUpdate } from '../../src/wire/message.js';
import { identityOf, machineOf } from '../control/control-fixtures.js';

const DEAD_AFTER_MS = 12_000;
const LISTED = identityOf(1);
const UNLISTED = identityOf(2);
const INDEX = new MachineIndex([machineOf(identityOf(0)), machineOf(LISTED)]);

type Claim = readonly [status: MemberStatus, incarnation: number];

function claim([status, incarnation]: Claim, member = LISTED): MemberUpdate {
  return { member: { ...member, incarnation }, status };
}

function held(table: MemberTable, id = LISTED.id): Claim | undefined {
  const record = table.record(id);
  return record === undefined ? undefined : [record.status, record.identity.incarnation];
}

/** Mutant that always accepts the latest claim; the precedence cases must detect it. */
class UnrankedTable extends MemberTable {
  protected override mayReplace(): boolean {
    return true;
  }
}

/** Claims in the order received, and the claim that must be recorded afterwards. */
const PRECEDENCE: readonly (readonly [claims: readonly Claim[], expected: Claim | undefined])[] = [
  [[['alive', 5]], undefined],
  [[['suspect', 5]], ['suspect', 5]],
  [
    [
      ['suspect', 5],
      ['alive', 5],
    ],
    ['suspect', 5],
  ],
  [
    [
      ['suspect', 5],
      ['alive', 6],
    ],
    ['alive', 6],
  ],
  [
    [
      ['alive', 6],
      ['suspect', 5],
    ],
    ['suspect', 5],
  ],
  [
    [
      ['suspect', 4],
      ['alive', 6],
      ['suspect', 5],
    ],
    ['alive', 6],
  ],
  [
    [
      ['leaving', 5],
      ['suspect', 5],
    ],
    ['leaving', 5],
  ],
  [
    [
      ['leaving', 5],
      ['alive', 5],
    ],
    ['leaving', 5],
  ],
  [
    [
      ['leaving', 5],
      ['dead', 5],
    ],
    ['dead', 5],
  ],
  [
    [
      ['leaving', 5],
      ['alive', 6],
    ],
    ['alive', 6],
  ],
  [
    [
      ['suspect', 5],
      ['leaving', 5],
    ],
    ['leaving', 5],
  ],
  [
    [
      ['suspect', 5],
      ['dead', 5],
    ],
    ['dead', 5],
  ],
  [
    [
      ['suspect', 5],
      ['dead', 5],
      ['leaving', 5],
    ],
    ['dead', 5],
  ],
  [[['dead', 5]], ['suspect', 5]],
  [
    [
      ['suspect', 5],
      ['alive', 6],
      ['dead', 6],
    ],
    ['suspect', 6],
  ],
  [
    [
      ['leaving', 5],
      ['leaving', 4],
    ],
    ['leaving', 5],
  ],
];

describe('member table', () => {
  for (const [claims, expected] of PRECEDENCE) {
    const text = claims.map((one) => one.join('@')).join(', ');
    it(`holds ${expected?.join('@') ?? 'nothing'} after ${text}`, () => {
      const table = new MemberTable(INDEX, DEAD_AFTER_MS);
      claims.forEach((one) => table.apply(claim(one), 0));
      expect(held(table)).to.deep.equal(expected);
    });
  }

  it('detects a table without the precedence rule', () => {
    const differing = PRECEDENCE.filter(([claims, expected]) => {
      const table = new UnrankedTable(INDEX, DEAD_AFTER_MS);
      claims.forEach((one) => table.apply(claim(one), 0));
      return JSON.stringify(held(table)) !== JSON.stringify(expected);
    });
    expect(differing).to.have.length.greaterThan(4);
  });

  it('returns a claim for propagation only once', () => {
    const table = new MemberTable(INDEX, DEAD_AFTER_MS);
    expect(table.apply(claim(['suspect', 5]), 0)).to.deep.equal(claim(['suspect', 5]));
    expect(table.apply(claim(['suspect', 5]), 1)).to.equal(undefined);
    expect(table.apply(claim(['dead', 5]), 2)).to.deep.equal(claim(['dead', 5]));
    expect(table.apply(claim(['dead', 5]), 3)).to.equal(undefined);
  });

  for (const [name, act, expected] of [
    ['no refutation', () => undefined, 'dead'],
    ['a refutation', (table: MemberTable) => table.apply(claim(['alive', 6]), 100), 'alive'],
    [
      'a pause of this node',
      (table: MemberTable) => table.restartTimeouts(DEAD_AFTER_MS - 1),
      'suspect',
    ],
  ] as const) {
    it(`reports a suspect as ${expected} after the timeout and ${name}`, () => {
      const table = new MemberTable(INDEX, DEAD_AFTER_MS);
      table.apply(claim(['suspect', 5]), 0);
      expect(table.nextExpiryAt()).to.equal(DEAD_AFTER_MS);
      act(table);
      table.expire(DEAD_AFTER_MS - 1);
      expect(table.status(LISTED.id)).to.not.equal('dead');
      table.expire(DEAD_AFTER_MS);
      expect(table.status(LISTED.id)).to.equal(expected);
    });
  }

  for (const [name, state, claims, expected] of [
    ['listed and live, no claim', 'live', [], 'alive'],
    ['listed as leaving, no claim', 'leaving', [], 'leaving'],
    ['listed as live, claimed to be leaving', 'live', [['leaving', 5]], 'leaving'],
    ['listed as leaving, claimed suspect', 'leaving', [['suspect', 5]], 'leaving'],
    [
      'listed as leaving, then dead',
      'leaving',
      [
        ['suspect', 5],
        ['dead', 5],
      ],
      'dead',
    ],
    ['not listed, no claim', undefined, [], undefined],
    ['not listed, claimed alive', undefined, [['alive', 5]], 'alive'],
  ] as const) {
    it(`combines the machine list with claims: ${name}`, () => {
      const machines = state === undefined ? [] : [machineOf(LISTED, state)];
      const table = new MemberTable(new MachineIndex(machines), DEAD_AFTER_MS);
      claims.forEach((one) => table.apply(claim(one), 0));
      expect(table.status(LISTED.id)).to.equal(expected);
    });
  }

  it('removes settled records, and keeps unlisted members that are alive', () => {
    const table = new MemberTable(INDEX, DEAD_AFTER_MS);
    table.apply(claim(['suspect', 5]), 0);
    table.apply(claim(['alive', 6]), 0);
    table.apply(claim(['alive', 1], UNLISTED), 0);
    table.apply(claim(['leaving', 1], identityOf(3)), 0);
    table.sweep(MEMBER_RETENTION_MS - 1);
    expect(table.size).to.equal(3);
    table.sweep(MEMBER_RETENTION_MS);
    expect(table.size).to.equal(1);
    expect(table.status(UNLISTED.id)).to.equal('alive');
  });

  it('limits the number of unlisted members that are alive; listed ones do not count', () => {
    const table = new MemberTable(MachineIndex.EMPTY, DEAD_AFTER_MS);
    const many = Array.from({ length: MAX_UNLISTED_MEMBERS + 50 }, (_, n) => identityOf(n));
    many.forEach((member) => table.apply({ member, status: 'alive' }, 0));
    expect(table.size).to.equal(MAX_UNLISTED_MEMBERS);
    table.setMachines(new MachineIndex(many.map((member) => machineOf(member))));
    table.apply(claim(['alive', 1], identityOf(9_000)), 0);
    expect(table.size).to.equal(MAX_UNLISTED_MEMBERS + 1);
  });
});

describe('self claim', () => {
  const self = identityOf(0);
  for (const [received, leaving, expected] of [
    [['suspect', 1_000], false, ['alive', 1_001]],
    [['dead', 1_000], false, ['alive', 1_001]],
    [['leaving', 1_000], false, ['alive', 1_001]],
    [['dead', 1_007], false, ['alive', 1_008]],
    [['dead', 900], false, ['alive', 1_000]],
    [['alive', 1_000], false, undefined],
    [['suspect', 1_000], true, undefined],
  ] as const) {
    it(`answers ${received.join('@')}${leaving ? ' while leaving' : ''} with ${expected?.join('@') ?? 'nothing'}`, () => {
      const selfClaim = new SelfClaim(self);
      if (leaving) {
        selfClaim.leave();
      }
      const answer = selfClaim.refute(claim(received, self));
      const given = answer === undefined ? undefined : [answer.status, answer.member.incarnation];
      expect(given).to.deep.equal(expected);
    });
  }
});

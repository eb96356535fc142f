/** Suspicion table: how requests become suspected and cleared, and how the tables of nodes are merged. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  CONTAINED_MS,
  containedMs,
  retentionMs,
  type Suspicion,
} from '../../src/containment/suspicion.js';
import { MAX_SUSPICIONS, SuspicionTable } from '../../src/containment/suspicion-table.js';

const GUILTY = 'a'.repeat(40);
const INNOCENT = 'b'.repeat(40);

function crashIdOf(number: number): string {
  return number.toString(16).padStart(12, '0');
}

function fingerprintOf(number: number): string {
  return `${number.toString(16).padStart(32, '0')}00000000`;
}

function tableAfter(crashes: number, fingerprint = GUILTY): SuspicionTable {
  const table = new SuspicionTable();
  for (let crash = 1; crash <= crashes; crash += 1) {
    table.recordCrash([fingerprint], crashIdOf(crash), 0);
  }
  return table;
}

describe('suspected requests', () => {
  it('are suspect after one crash, accused after two, contained after three', () => {
    const standings = [0, 1, 2, 3, 4].map((crashes) => tableAfter(crashes).standingOf(GUILTY, 1));
    expect(standings).to.deep.equal(['clear', 'suspect', 'accused', 'contained', 'contained']);
  });

  it('count a crash once, however often it is recorded', () => {
    const table = new SuspicionTable();
    for (let time = 0; time < 5; time += 1) {
      table.recordCrash([GUILTY, GUILTY], crashIdOf(1), time);
    }
    expect(table.standingOf(GUILTY, 5)).to.equal('suspect');
  });

  it('are cleared by a response and suspect again after a later crash', () => {
    const table = tableAfter(2);
    table.clear(GUILTY, 1);
    expect(table.standingOf(GUILTY, 1)).to.equal('clear');
    table.merge(tableAfter(2).list(1), 1);
    expect(table.standingOf(GUILTY, 1)).to.equal('clear');
    table.recordCrash([GUILTY], crashIdOf(9), 2);
    expect(table.standingOf(GUILTY, 2)).to.equal('suspect');
  });

  it('do not include those processed together with an accused request', () => {
    const table = tableAfter(2);
    const changed = table.recordCrash([INNOCENT, GUILTY], crashIdOf(3), 1);
    expect(changed.map(({ fingerprint }) => fingerprint)).to.deep.equal([GUILTY]);
    expect(table.standingOf(INNOCENT, 1)).to.equal('clear');
    expect(table.standingOf(GUILTY, 1)).to.equal('contained');
  });

  it('are accused after the containment period and contained for twice as long after another crash', () => {
    const table = tableAfter(3);
    expect(table.containedForMs(GUILTY, 1_000)).to.equal(CONTAINED_MS - 1_000);
    expect(table.standingOf(GUILTY, CONTAINED_MS)).to.equal('accused');
    table.recordCrash([GUILTY], crashIdOf(4), CONTAINED_MS);
    expect(table.containedForMs(GUILTY, CONTAINED_MS)).to.equal(2 * CONTAINED_MS);
    table.expire(CONTAINED_MS + retentionMs(4) - 1);
    expect(table.size).to.equal(1);
    table.expire(CONTAINED_MS + retentionMs(4));
    expect([table.size, table.digest, table.hasHeadDigest(GUILTY.slice(0, 16))]).to.deep.equal([
      0,
      0,
      false,
    ]);
  });

  it('are contained for at most two hours', () => {
    expect(containedMs(1_000)).to.equal(2 * 3_600_000);
  });

  it('are limited in number, and contained ones are not evicted', () => {
    const table = tableAfter(3);
    for (let number = 1; number <= 3 * MAX_SUSPICIONS; number += 1) {
      table.recordCrash([fingerprintOf(number)], crashIdOf(1_000 + number), number);
    }
    expect(table.size).to.equal(MAX_SUSPICIONS);
    expect(table.standingOf(GUILTY, 1)).to.equal('contained');
    expect(table.standingOf(fingerprintOf(3 * MAX_SUSPICIONS), 1)).to.equal('suspect');
  });

  it('are treated as one request for all callers until one caller is served', () => {
    const [one, other] = ['1', '2'].map((digit) => 'a'.repeat(32) + digit.repeat(8));
    const third = `${'a'.repeat(32)}33333333`;
    const table = new SuspicionTable();
    table.recordCrash([one ?? ''], crashIdOf(1), 0);
    table.recordCrash([other ?? ''], crashIdOf(2), 0);
    expect(table.standingOf(third, 1)).to.equal('accused');
    table.recordCrash([one ?? ''], crashIdOf(3), 0);
    expect(table.standingOf(third, 1)).to.equal('contained');
    expect(table.containedForMs(third, 1)).to.equal(CONTAINED_MS - 1);
    const changed = table.clear(third, 2);
    expect([one, other, third].map((caller = '') => table.standingOf(caller, 3))).to.deep.equal([
      'accused',
      'suspect',
      'clear',
    ]);
    const peer = new SuspicionTable();
    peer.recordCrash([one ?? ''], crashIdOf(1), 0);
    peer.merge(changed, 3);
    expect(peer.standingOf(third, 3)).to.equal('clear');
  });

  it('are released by an operator for all callers', () => {
    const table = tableAfter(3);
    const other = `${'a'.repeat(32)}22222222`;
    table.recordCrash([other], crashIdOf(7), 0);
    expect(table.release(GUILTY, 1)).to.have.length(2);
    expect([GUILTY, other].map((one) => table.standingOf(one, 1))).to.deep.equal([
      'clear',
      'clear',
    ]);
    expect(table.release(GUILTY, 1)).to.deep.equal([]);
  });

  it('are not created by expired suspicions of other nodes', () => {
    const table = new SuspicionTable();
    const [old = expect.fail('nothing is listed')] = tableAfter(1).list(retentionMs(1));
    expect(table.merge([old], 10)).to.deep.equal([]);
    expect(table.size).to.equal(0);
  });
});

describe('merging of suspicions', () => {
  const crash = fc.integer({ min: 1, max: 6 }).map(crashIdOf);
  const suspicion = fc
    .record({
      fingerprint: fc.constantFrom(GUILTY, INNOCENT),
      ageMs: fc.integer({ min: 0, max: 60_000 }),
      crashes: fc.uniqueArray(crash, { minLength: 1, maxLength: 6 }),
      clearedCount: fc.integer({ min: 0, max: 6 }),
    })
    .map(({ clearedCount, crashes, ...rest }): Suspicion => ({
      ...rest,
      crashes: [...crashes].sort(),
      cleared: [...crashes].slice(0, clearedCount).sort(),
    }));
  const messages = fc.array(suspicion, { maxLength: 8 });

  function mergedState(parts: readonly (readonly Suspicion[])[]): object {
    const table = new SuspicionTable();
    parts.forEach((part) => table.merge(part, 0));
    return Object.fromEntries(
      table.list(0).map(({ fingerprint, crashes, cleared }) => [fingerprint, [crashes, cleared]]),
    );
  }

  it('gives the same result for any order and repetition of messages', () => {
    fc.assert(
      fc.property(messages, messages, messages, (one, two, three) => {
        const expected = mergedState([one, two, three]);
        expect(mergedState([three, one, two])).to.deep.equal(expected);
        expect(mergedState([two, three, one, two, one, one])).to.deep.equal(expected);
        const joined = new SuspicionTable();
        joined.merge(two, 0);
        joined.merge(three, 0);
        expect(mergedState([one, joined.list(0)])).to.deep.equal(expected);
      }),
    );
  });

  it('returns no changes when the same suspicions are merged again', () => {
    fc.assert(
      fc.property(messages, (suspicions) => {
        const table = new SuspicionTable();
        table.merge(suspicions, 0);
        const { digest } = table;
        expect(table.merge(suspicions, 0)).to.deep.equal([]);
        expect(table.digest).to.equal(digest);
      }),
    );
  });

  it('never reduces the age of a known crash', () => {
    const old: Suspicion = {
      fingerprint: GUILTY,
      ageMs: 900,
      crashes: [crashIdOf(1)],
      cleared: [],
    };
    const table = new SuspicionTable();
    table.merge([{ ...old, ageMs: 500 }], 0);
    table.merge([old], 0);
    table.merge([{ ...old, ageMs: 100 }], 0);
    expect(table.list(0)[0]?.ageMs).to.equal(900);
  });

  it('gives equal digests for equal entries, regardless of how they were reached', () => {
    const one = new SuspicionTable();
    const two = new SuspicionTable();
    one.recordCrash([GUILTY], crashIdOf(1), 5);
    one.recordCrash([INNOCENT], crashIdOf(2), 6);
    two.merge(one.list(10).reverse(), 50);
    expect(two.digest).to.equal(one.digest);
    two.clear(INNOCENT, 60);
    expect(two.digest).not.to.equal(one.digest);
  });
});

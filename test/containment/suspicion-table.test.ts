/** Containment's memory: what makes a request suspect, what clears it, and how nodes' memories are joined. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  CONTAINED_MS,
  containedMs,
  rememberedMs,
  type Suspicion,
} from '../../src/containment/suspicion.js';
import { MAX_SUSPICIONS, SuspicionTable } from '../../src/containment/suspicion-table.js';

const GUILTY = 'a'.repeat(40);
const BESIDE = 'b'.repeat(40);

function nameOf(number: number): string {
  return number.toString(16).padStart(12, '0');
}

function fingerprintOf(number: number): string {
  return `${number.toString(16).padStart(32, '0')}00000000`;
}

function tableAfter(crashes: number, fingerprint = GUILTY): SuspicionTable {
  const table = new SuspicionTable();
  for (let crash = 1; crash <= crashes; crash += 1) {
    table.blame([fingerprint], nameOf(crash), 0);
  }
  return table;
}

describe('requests under suspicion', () => {
  it('are suspected after one crash, accused after two, contained after three', () => {
    const standings = [0, 1, 2, 3, 4].map((crashes) => tableAfter(crashes).standingOf(GUILTY, 1));
    expect(standings).to.deep.equal(['clear', 'suspect', 'accused', 'contained', 'contained']);
  });

  it('count one crash once, however often it is told', () => {
    const table = new SuspicionTable();
    for (let time = 0; time < 5; time += 1) {
      table.blame([GUILTY, GUILTY], nameOf(1), time);
    }
    expect(table.standingOf(GUILTY, 5)).to.equal('suspect');
  });

  it('are cleared by an answer, and count anew after a later crash', () => {
    const table = tableAfter(2);
    table.clear(GUILTY, 1);
    expect(table.standingOf(GUILTY, 1)).to.equal('clear');
    table.merge(tableAfter(2).list(1), 1);
    expect(table.standingOf(GUILTY, 1)).to.equal('clear');
    table.blame([GUILTY], nameOf(9), 2);
    expect(table.standingOf(GUILTY, 2)).to.equal('suspect');
  });

  it('are not those that stood beside one that is accused already', () => {
    const table = tableAfter(2);
    const changed = table.blame([BESIDE, GUILTY], nameOf(3), 1);
    expect(changed.map(({ fingerprint }) => fingerprint)).to.deep.equal([GUILTY]);
    expect(table.standingOf(BESIDE, 1)).to.equal('clear');
    expect(table.standingOf(GUILTY, 1)).to.equal('contained');
  });

  it('are tried again after a while, and contained for longer when that ends an endpoint', () => {
    const table = tableAfter(3);
    expect(table.containedForMs(GUILTY, 1_000)).to.equal(CONTAINED_MS - 1_000);
    expect(table.standingOf(GUILTY, CONTAINED_MS)).to.equal('accused');
    table.blame([GUILTY], nameOf(4), CONTAINED_MS);
    expect(table.containedForMs(GUILTY, CONTAINED_MS)).to.equal(2 * CONTAINED_MS);
    table.expire(CONTAINED_MS + rememberedMs(4) - 1);
    expect(table.size).to.equal(1);
    table.expire(CONTAINED_MS + rememberedMs(4));
    expect([table.size, table.digest, table.hasHead(GUILTY.slice(0, 16))]).to.deep.equal([
      0,
      0,
      false,
    ]);
  });

  it('are contained for two hours at most', () => {
    expect(containedMs(1_000)).to.equal(2 * 3_600_000);
  });

  it('do not grow beyond the bound, and leave those that are contained', () => {
    const table = tableAfter(3);
    for (let number = 1; number <= 3 * MAX_SUSPICIONS; number += 1) {
      table.blame([fingerprintOf(number)], nameOf(1_000 + number), number);
    }
    expect(table.size).to.equal(MAX_SUSPICIONS);
    expect(table.standingOf(GUILTY, 1)).to.equal('contained');
    expect(table.standingOf(fingerprintOf(3 * MAX_SUSPICIONS), 1)).to.equal('suspect');
  });

  it('are taken for one request, whoever calls, until one caller is served', () => {
    const [one, other] = ['1', '2'].map((digit) => 'a'.repeat(32) + digit.repeat(8));
    const third = `${'a'.repeat(32)}33333333`;
    const table = new SuspicionTable();
    table.blame([one ?? ''], nameOf(1), 0);
    table.blame([other ?? ''], nameOf(2), 0);
    expect(table.standingOf(third, 1)).to.equal('accused');
    table.blame([one ?? ''], nameOf(3), 0);
    expect(table.standingOf(third, 1)).to.equal('contained');
    expect(table.containedForMs(third, 1)).to.equal(CONTAINED_MS - 1);
    const changed = table.clear(third, 2);
    expect([one, other, third].map((caller = '') => table.standingOf(caller, 3))).to.deep.equal([
      'accused',
      'suspect',
      'clear',
    ]);
    const peer = new SuspicionTable();
    peer.blame([one ?? ''], nameOf(1), 0);
    peer.merge(changed, 3);
    expect(peer.standingOf(third, 3)).to.equal('clear');
  });

  it('are let go by an operator, whoever calls', () => {
    const table = tableAfter(3);
    const other = `${'a'.repeat(32)}22222222`;
    table.blame([other], nameOf(7), 0);
    expect(table.release(GUILTY, 1)).to.have.length(2);
    expect([GUILTY, other].map((one) => table.standingOf(one, 1))).to.deep.equal([
      'clear',
      'clear',
    ]);
    expect(table.release(GUILTY, 1)).to.deep.equal([]);
  });

  it('of which old news tells are not suspected again', () => {
    const table = new SuspicionTable();
    const [old = expect.fail('nothing is listed')] = tableAfter(1).list(rememberedMs(1));
    expect(table.merge([old], 10)).to.deep.equal([]);
    expect(table.size).to.equal(0);
  });
});

describe('the joining of what nodes know', () => {
  const crash = fc.integer({ min: 1, max: 6 }).map(nameOf);
  const suspicion = fc
    .record({
      fingerprint: fc.constantFrom(GUILTY, BESIDE),
      ageMs: fc.integer({ min: 0, max: 60_000 }),
      crashes: fc.uniqueArray(crash, { minLength: 1, maxLength: 6 }),
      clearedCount: fc.integer({ min: 0, max: 6 }),
    })
    .map(({ clearedCount, crashes, ...rest }): Suspicion => ({
      ...rest,
      crashes: [...crashes].sort(),
      cleared: [...crashes].slice(0, clearedCount).sort(),
    }));
  const news = fc.array(suspicion, { maxLength: 8 });

  function knownAfter(parts: readonly (readonly Suspicion[])[]): object {
    const table = new SuspicionTable();
    parts.forEach((part) => table.merge(part, 0));
    return Object.fromEntries(
      table.list(0).map(({ fingerprint, crashes, cleared }) => [fingerprint, [crashes, cleared]]),
    );
  }

  it('comes to the same in any order, and however often news comes', () => {
    fc.assert(
      fc.property(news, news, news, (one, two, three) => {
        const expected = knownAfter([one, two, three]);
        expect(knownAfter([three, one, two])).to.deep.equal(expected);
        expect(knownAfter([two, three, one, two, one, one])).to.deep.equal(expected);
        const joined = new SuspicionTable();
        joined.merge(two, 0);
        joined.merge(three, 0);
        expect(knownAfter([one, joined.list(0)])).to.deep.equal(expected);
      }),
    );
  });

  it('gives back what is new, and nothing the second time', () => {
    fc.assert(
      fc.property(news, (told) => {
        const table = new SuspicionTable();
        table.merge(told, 0);
        const { digest } = table;
        expect(table.merge(told, 0)).to.deep.equal([]);
        expect(table.digest).to.equal(digest);
      }),
    );
  });

  it('never makes news younger', () => {
    const old: Suspicion = { fingerprint: GUILTY, ageMs: 900, crashes: [nameOf(1)], cleared: [] };
    const table = new SuspicionTable();
    table.merge([{ ...old, ageMs: 500 }], 0);
    table.merge([old], 0);
    table.merge([{ ...old, ageMs: 100 }], 0);
    expect(table.list(0)[0]?.ageMs).to.equal(900);
  });

  it('has one digest for the same knowledge, whatever the way to it', () => {
    const one = new SuspicionTable();
    const two = new SuspicionTable();
    one.blame([GUILTY], nameOf(1), 5);
    one.blame([BESIDE], nameOf(2), 6);
    two.merge(one.list(10).reverse(), 50);
    expect(two.digest).to.equal(one.digest);
    two.clear(BESIDE, 60);
    expect(two.digest).not.to.equal(one.digest);
  });
});

/** Replica of a store: reordered and repeated changes, gaps, removals. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { StoreChange } from '../../src/store/key-value-store.js';
import { StoreReplica } from '../../src/store/store-replica.js';

const SEED = 20_261_202;

function written(key: string, revision: number, value = `${key}@${revision}`): StoreChange {
  return { key, revision, value };
}

function removed(key: string, revision: number): StoreChange {
  return { key, revision, value: undefined };
}

function valuesOf(replica: StoreReplica): Record<string, string | undefined> {
  return Object.fromEntries([...replica.items()].map(({ key, value }) => [key, value]));
}

describe('store replica', () => {
  it('never reverts an item to an older revision', () => {
    const replica = new StoreReplica();
    replica.applyChanges([written('a', 7)], 7);
    expect(replica.applyChanges([written('a', 5)], 6)).to.equal(false);
    expect(valuesOf(replica)).to.deep.equal({ a: 'a@7' });
    expect(replica.revision).to.equal(7);
  });

  it('keeps a removal when an older write arrives later', () => {
    const replica = new StoreReplica();
    replica.applyChanges([removed('a', 9)], 9);
    replica.applyChanges([written('a', 8)], 9);
    expect(valuesOf(replica)).to.deep.equal({});
  });

  it('removes items missing from a list unless they were written after the list started', () => {
    const replica = new StoreReplica();
    // The last page of this list was read after revision 8.
    replica.applyList([written('old', 3), written('new', 12)], 8);
    replica.applyList([written('kept', 9)], 10);
    expect(valuesOf(replica)).to.deep.equal({ new: 'new@12', kept: 'kept@9' });
  });

  it('does not apply a delta that leaves a gap', () => {
    const replica = new StoreReplica();
    replica.applyChanges([written('a', 2)], 2);
    const delta = { sinceRevision: 5, revision: 9, changes: [written('a', 9)] };
    expect(replica.applyDelta(delta)).to.equal(false);
    expect(replica.revision).to.equal(2);
  });

  it('returns the full state for a replica that may have missed discarded removals', () => {
    const replica = new StoreReplica();
    const revisions = Array.from({ length: 2_100 }, (_, index) => index + 1);
    replica.applyChanges(
      revisions.map((revision) => removed(`r${revision}`, revision)),
      2_100,
    );
    expect(replica.deltaSince(1)).to.deep.include({ sinceRevision: 0, revision: 2_100 });
    expect(replica.deltaSince(2_090).sinceRevision).to.equal(2_090);
  });

  it('does not restore items whose removals were discarded', () => {
    const replica = new StoreReplica();
    const revisions = Array.from({ length: 2_100 }, (_, index) => index + 1);
    replica.applyChanges(
      revisions.map((revision) => removed(`r${revision}`, revision)),
      2_100,
    );
    const behind = { sinceRevision: 1, revision: 9, changes: [written('r9', 8)] };
    expect(replica.applyDelta(behind)).to.equal(false);
    replica.applyList([written('r9', 8)], 8);
    expect(valuesOf(replica)).to.deep.equal({});
  });

  it('returns a delta across a list unless the revision is within its gap or before the first list', () => {
    const replica = new StoreReplica();
    replica.applyList([written('a', 4), written('b', 5)], 10);
    replica.applyChanges([written('c', 12)], 12);
    replica.applyList([written('a', 4), written('d', 18)], 20);
    expect(replica.deltaSince(12)).to.deep.equal({
      sinceRevision: 12,
      revision: 20,
      changes: [written('d', 18), removed('b', 20), removed('c', 20)],
    });
    expect(replica.deltaSince(20).sinceRevision).to.equal(20);
    expect(replica.deltaSince(15).sinceRevision).to.equal(0);
    expect(replica.deltaSince(9).sinceRevision).to.equal(0);
  });

  it('converges with its peers for any changes in any order', () => {
    const change = fc.record({
      key: fc.constantFrom('a', 'b', 'c'),
      isRemoved: fc.boolean(),
    });
    const property = fc.property(
      fc.array(change, { minLength: 1, maxLength: 30 }),
      fc.array(fc.tuple(fc.nat(2), fc.nat(2)), { maxLength: 40 }),
      fc.array(fc.nat(2), { minLength: 30, maxLength: 30 }),
      fc.array(fc.boolean(), { minLength: 30, maxLength: 30 }),
      (raw, exchanges, receivers, areLists) => {
        const replicas = [new StoreReplica(), new StoreReplica(), new StoreReplica()];
        const changes = raw.map(({ key, isRemoved }, index) =>
          isRemoved ? removed(key, index + 1) : written(key, index + 1),
        );
        const appliedRevisions = [0, 0, 0];
        receivers.slice(0, changes.length).forEach((receiver, index) => {
          const since = appliedRevisions[receiver] ?? 0;
          const known = changes.slice(0, index + 1);
          if (areLists[index] === true) {
            replicas[receiver]?.applyList(itemsOf(known), index + 1);
          } else {
            replicas[receiver]?.applyChanges(known.slice(since), index + 1);
          }
          exchange(replicas[receiver], replicas[(receiver + 1) % 3]);
          appliedRevisions[receiver] = index + 1;
        });
        for (const [from, to] of exchanges) {
          exchange(replicas[from], replicas[to]);
        }
        for (const to of [0, 1, 2, 0, 1, 2]) {
          replicas.forEach((from) => exchange(from, replicas[to]));
        }
        const [first, ...others] = replicas.map(valuesOf);
        others.forEach((other) => expect(other).to.deep.equal(first));
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });
});

/** Items that a store lists after `changes`. */
function itemsOf(changes: readonly StoreChange[]): StoreChange[] {
  const items = new Map(changes.map((change) => [change.key, change]));
  return [...items.values()].filter(({ value }) => value !== undefined);
}

function exchange(from: StoreReplica | undefined, to: StoreReplica | undefined): void {
  if (from !== undefined && to !== undefined && from !== to) {
    to.applyDelta(from.deltaSince(to.revision));
  }
}

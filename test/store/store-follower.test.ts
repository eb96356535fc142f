/** A follower of a store whose answers contain rejected items or pages that make no progress. */
import { expect } from 'chai';
import type { RefusedItem } from '../../src/store/item-fault.js';
import type { KeyValueStore, ListPage, WatchBatch } from '../../src/store/key-value-store.js';
import { StoreFollower } from '../../src/store/store-follower.js';
import { StoreReplica } from '../../src/store/store-replica.js';
import { pause } from '../platform/platform-fleet.js';

const REFUSED: RefusedItem = {
  key: 'x',
  revision: undefined,
  fault: { path: 'revision', found: 'nothing', expected: 'a revision' },
};
const WITHOUT_NEXT_KEY: ListPage = { outcome: 'page', items: [], hasMore: true, revision: 4 };
const COMPLETE: ListPage = {
  outcome: 'page',
  items: [{ key: 'a', revision: 3, value: '1' }],
  refused: [REFUSED],
  hasMore: false,
  revision: 4,
};

describe('store follower', () => {
  let follower: StoreFollower;
  let events: string[];

  afterEach(() => follower.close());

  /** Follows a store that answers lists with `pages` in order, repeating the last one. */
  function follow(pages: readonly ListPage[]): StoreReplica {
    const remaining = [...pages];
    const batch: WatchBatch = { outcome: 'changes', changes: [], revision: 4 };
    const store: KeyValueStore = {
      list: () =>
        Promise.resolve(
          remaining.length > 1 ? (remaining.shift() ?? COMPLETE) : (remaining[0] ?? COMPLETE),
        ),
      watch: () => pause(20).then(() => batch),
      close: () => undefined,
    };
    const replica = new StoreReplica();
    events = [];
    follower = new StoreFollower({
      onProgress: () => undefined,
      store,
      replica,
      random: () => 0,
      watchTerms: () => ({ freshness: 'current', waitMs: 10 }),
      onUpdate: () => events.push('learned'),
      onRefused: (items) => events.push(`refused ${items.map(({ key }) => key).join()}`),
      onFailed: () => events.push('failed'),
      onConnection: (isConnected, reason) =>
        events.push(isConnected ? 'regained' : `lost: ${reason}`),
    });
    follower.start();
    return replica;
  }

  it('counts a page that makes no progress as a failed call, and lists again', async () => {
    const replica = follow([WITHOUT_NEXT_KEY, COMPLETE]);
    await pause(300);
    expect(events[0]).to.match(/^lost: .+/);
    expect(events.slice(1, 4)).to.deep.equal(['failed', 'regained', 'refused x']);
    expect(replica.revision).to.equal(4);
  });

  it('reports the rejected items of an answer and applies the others', async () => {
    const replica = follow([COMPLETE]);
    await pause(100);
    expect(events.slice(0, 2)).to.deep.equal(['refused x', 'learned']);
    expect([...replica.items()].map(({ key }) => key)).to.deep.equal(['a']);
  });
});

/** Deltas as feeds tell them: patches of long texts, and when the whole text goes. */
import { expect } from 'chai';
import { feedDeltaSince, resolveFeedDelta } from '../../src/peers/feed-delta.js';
import { StoreReplica } from '../../src/store/store-replica.js';

function longText(version: number): string {
  return `{"version":${version}}${'{"route":"r"}'.repeat(500)}`;
}

/** A replica that was told of these versions of one item, each by itself. */
function replicaOf(versions: readonly number[]): StoreReplica {
  const replica = new StoreReplica();
  for (const revision of versions) {
    replica.applyChanges([{ key: 'c', revision, value: longText(revision) }], revision);
  }
  return replica;
}

describe('deltas of feeds', () => {
  it('tell a long text to a follower that holds the version before by what changed', () => {
    const server = replicaOf([1, 2]);
    const follower = replicaOf([1]);
    const delta = feedDeltaSince(server, 1);
    expect(JSON.stringify(delta).length).to.be.below(300);
    const resolved = resolveFeedDelta(follower, delta);
    expect(resolved?.changes).to.deep.equal([{ key: 'c', revision: 2, value: longText(2) }]);
  });

  it('tell the whole text to one that holds an older version', () => {
    const delta = feedDeltaSince(replicaOf([1, 2, 3]), 1);
    expect(delta.changes[0]).to.deep.equal({ key: 'c', revision: 3, value: longText(3) });
  });

  it('are taken by a follower that learned the change from elsewhere', () => {
    const server = replicaOf([1, 2]);
    const resolved = resolveFeedDelta(replicaOf([1, 2]), feedDeltaSince(server, 1));
    expect(resolved?.changes).to.have.length(1);
  });

  it('are refused where the patch is for another version', () => {
    const delta = feedDeltaSince(replicaOf([1, 2]), 1);
    expect(resolveFeedDelta(new StoreReplica(), delta)).to.equal(undefined);
    const foreign = new StoreReplica();
    foreign.applyChanges([{ key: 'c', revision: 1, value: 'short' }], 1);
    expect(resolveFeedDelta(foreign, delta)).to.equal(undefined);
  });
});

/** Deltas of feeds: when a value is sent as a patch, and when in full. */
import { expect } from 'chai';
import { feedDeltaSince, resolveFeedDelta } from '../../src/peers/feed-delta.js';
import { StoreReplica } from '../../src/store/store-replica.js';

function longText(version: number): string {
  return `{"version":${version}}${'{"route":"r"}'.repeat(500)}`;
}

/** Returns a replica that has received these versions of one item one after the other. */
function replicaOf(versions: readonly number[]): StoreReplica {
  const replica = new StoreReplica();
  for (const revision of versions) {
    replica.applyChanges([{ key: 'c', revision, value: longText(revision) }], revision);
  }
  return replica;
}

describe('feed deltas', () => {
  it('contain a patch for a follower that holds the previous version', () => {
    const server = replicaOf([1, 2]);
    const follower = replicaOf([1]);
    const delta = feedDeltaSince(server, 1);
    expect(JSON.stringify(delta).length).to.be.below(300);
    const resolved = resolveFeedDelta(follower, delta);
    expect(resolved?.changes).to.deep.equal([{ key: 'c', revision: 2, value: longText(2) }]);
  });

  it('contain the full value for a follower that holds an older version', () => {
    const delta = feedDeltaSince(replicaOf([1, 2, 3]), 1);
    expect(delta.changes[0]).to.deep.equal({ key: 'c', revision: 3, value: longText(3) });
  });

  it('are accepted by a follower that already has the change from another source', () => {
    const server = replicaOf([1, 2]);
    const resolved = resolveFeedDelta(replicaOf([1, 2]), feedDeltaSince(server, 1));
    expect(resolved?.changes).to.have.length(1);
  });

  it('are refused if the patch is for another version', () => {
    const delta = feedDeltaSince(replicaOf([1, 2]), 1);
    expect(resolveFeedDelta(new StoreReplica(), delta)).to.equal(undefined);
    const foreign = new StoreReplica();
    foreign.applyChanges([{ key: 'c', revision: 1, value: 'short' }], 1);
    expect(resolveFeedDelta(foreign, delta)).to.equal(undefined);
  });
});

/** Encoding of deltas between nodes: size, caching, and malformed texts. */
import { randomBytes } from 'node:crypto';
import { deflateSync } from 'node:zlib';
import { expect } from 'chai';
import { resolveFeedDelta } from '../../src/peers/feed-delta.js';
import { decodeDelta } from '../../src/peers/feed-message.js';
import { DeltaCache, encodeDelta, MAX_DELTA_LENGTH } from '../../src/peers/delta-codec.js';
import { StoreReplica } from '../../src/store/store-replica.js';

const LONG = Array.from({ length: 500 }, (_none, idx) => `{"name":"route-${idx}"}`).join(',');

function deflated(text: string): string {
  return JSON.stringify({ deflated: deflateSync(text).toString('base64') });
}

function replicaWith(value: string): StoreReplica {
  const replica = new StoreReplica();
  replica.applyChanges([{ key: 'a', revision: 1, value }], 1);
  return replica;
}

describe('an encoded delta', () => {
  for (const [name, value] of [
    ['short', 'x'],
    ['long', LONG],
    ['of bytes that do not deflate', randomBytes(9_000).toString('base64')],
  ] as const) {
    it(`is decoded to the same delta (${name})`, () => {
      const delta = { sinceRevision: 0, revision: 1, changes: [{ key: 'a', revision: 1, value }] };
      expect(decodeDelta(encodeDelta(delta))).to.deep.equal(delta);
    });
  }

  it('has at most a fifth of the size if it contains hundreds of routes', () => {
    const delta = {
      sinceRevision: 0,
      revision: 1,
      changes: [{ key: 'a', revision: 1, value: LONG }],
    };
    expect(encodeDelta(delta).length).to.be.below(JSON.stringify(delta).length / 5);
  });

  const complete = encodeDelta({
    sinceRevision: 0,
    revision: 1,
    changes: [{ key: 'a', revision: 1, value: LONG }],
  });
  const malformed: Readonly<Record<string, string>> = {
    'is no base64': '{"deflated":"\\u0000!"}',
    'is empty': '{"deflated":""}',
    'is no text': '{"deflated":7}',
    'was cut': `${complete.slice(0, complete.length / 2)}"}`,
    'has one byte changed': complete.replace(/[a-z](?=.{40}"}$)/, (sign) =>
      sign === 'a' ? 'b' : 'a',
    ),
    'holds no JSON': deflated('no json'),
    'holds no delta': deflated('{"revision":1}'),
    'holds another one that is deflated': deflated(deflated('{"revision":1}')),
    'is longer than any state once inflated': deflated(' '.repeat(MAX_DELTA_LENGTH + 1)),
  };
  for (const [name, text] of Object.entries(malformed)) {
    it(`is refused if it ${name}`, () => {
      expect(decodeDelta(text)).to.equal(undefined);
    });
  }
});

describe('DeltaCache', () => {
  it('encodes a delta once while the replica is unchanged', () => {
    const texts = new DeltaCache(replicaWith(LONG));
    expect(texts.since(0)).to.equal(texts.since(0));
  });

  it('returns the current changes after the replica has changed', () => {
    const replica = replicaWith('old');
    const texts = new DeltaCache(replica);
    texts.since(0);
    replica.applyChanges([{ key: 'b', revision: 2, value: 'new' }], 2);
    const follower = replicaWith('old');
    const decoded = decodeDelta(texts.since(1));
    const delta = decoded && resolveFeedDelta(follower, decoded);
    expect(delta && follower.applyDelta(delta)).to.equal(true);
    expect([...follower.items()]).to.deep.equal([...replica.items()]);
  });

  it('includes an older change that arrives late at the same revision', () => {
    const replica = replicaWith('old');
    const texts = new DeltaCache(replica);
    replica.applyChanges([{ key: 'b', revision: 2, value: '2' }], 5);
    const before = texts.since(0);
    replica.applyList(
      [
        { key: 'a', revision: 1, value: 'old' },
        { key: 'b', revision: 4, value: '4' },
      ],
      5,
    );
    expect(texts.since(0)).not.to.equal(before);
  });
});

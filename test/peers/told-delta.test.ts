/** Deltas as nodes tell them to each other: bytes, what is kept of them, and texts that are none. */
import { randomBytes } from 'node:crypto';
import { deflateSync } from 'node:zlib';
import { expect } from 'chai';
import { resolveFeedDelta } from '../../src/peers/feed-delta.js';
import { decodeDelta } from '../../src/peers/feed-message.js';
import { DeltaTexts, encodeDelta, MAX_DELTA_LENGTH } from '../../src/peers/told-delta.js';
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

describe('a delta as it is told', () => {
  for (const [name, value] of [
    ['short', 'x'],
    ['long', LONG],
    ['of bytes that do not deflate', randomBytes(9_000).toString('base64')],
  ] as const) {
    it(`is read as it was written (${name})`, () => {
      const delta = { sinceRevision: 0, revision: 1, changes: [{ key: 'a', revision: 1, value }] };
      expect(decodeDelta(encodeDelta(delta))).to.deep.equal(delta);
    });
  }

  it('takes a fifth of its bytes or less where it tells hundreds of routes', () => {
    const delta = {
      sinceRevision: 0,
      revision: 1,
      changes: [{ key: 'a', revision: 1, value: LONG }],
    };
    expect(encodeDelta(delta).length).to.be.below(JSON.stringify(delta).length / 5);
  });

  const whole = encodeDelta({
    sinceRevision: 0,
    revision: 1,
    changes: [{ key: 'a', revision: 1, value: LONG }],
  });
  const foreign: Readonly<Record<string, string>> = {
    'is no base64': '{"deflated":"\\u0000!"}',
    'is empty': '{"deflated":""}',
    'is no text': '{"deflated":7}',
    'was cut': `${whole.slice(0, whole.length / 2)}"}`,
    'has one byte changed': whole.replace(/[a-z](?=.{40}"}$)/, (sign) =>
      sign === 'a' ? 'b' : 'a',
    ),
    'holds no JSON': deflated('no json'),
    'holds no delta': deflated('{"revision":1}'),
    'holds another one that is deflated': deflated(deflated('{"revision":1}')),
    'is longer than any state once inflated': deflated(' '.repeat(MAX_DELTA_LENGTH + 1)),
  };
  for (const [name, text] of Object.entries(foreign)) {
    it(`is none where it ${name}`, () => {
      expect(decodeDelta(text)).to.equal(undefined);
    });
  }
});

describe('the texts of the deltas of a replica', () => {
  it('are made once while the replica stays as it is', () => {
    const texts = new DeltaTexts(replicaWith(LONG));
    expect(texts.since(0)).to.equal(texts.since(0));
  });

  it('tell what the replica holds by then', () => {
    const replica = replicaWith('old');
    const texts = new DeltaTexts(replica);
    texts.since(0);
    replica.applyChanges([{ key: 'b', revision: 2, value: 'new' }], 2);
    const follower = replicaWith('old');
    const told = decodeDelta(texts.since(1));
    const delta = told && resolveFeedDelta(follower, told);
    expect(delta && follower.applyDelta(delta)).to.equal(true);
    expect([...follower.items()]).to.deep.equal([...replica.items()]);
  });

  it('tell an older change that came late, at the same revision', () => {
    const replica = replicaWith('old');
    const texts = new DeltaTexts(replica);
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

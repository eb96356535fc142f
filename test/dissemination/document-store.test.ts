import { expect } from 'chai';
import { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { DocumentStore } from '../../src/dissemination/document-store.js';
import { judgePlatformAnswer } from '../../src/dissemination/platform-verdict.js';
import { machineValues } from '../../src/membership/machine-index.js';
import { VersionedDocument } from '../../src/model/document.js';
import { NO_VERSION } from '../../src/model/version.js';
import type { DocumentName } from '../../src/wire/message.js';
import { MapCounters, identityOf, machineOf, sourceValues } from '../control/control-fixtures.js';

const SERVICE_JSON =
  '{"kind":"service","name":"tiles","spec":{"requestTimeoutMs":5,"retryBudgetPercent":20}}';

function documentOf(number: number, values: Record<string, string>): VersionedDocument {
  return VersionedDocument.fromValues(number, new Map(Object.entries(values)));
}

function route(spec: object): string {
  return JSON.stringify({ kind: 'route', name: 'home', spec: { pathPrefix: '/', ...spec } });
}

/** Documents that must be refused as a whole. */
const INVALID: readonly { fault: string; name: DocumentName; values: Record<string, string> }[] = [
  {
    fault: 'route to a missing service',
    name: 'source',
    values: { 'service/tiles': SERVICE_JSON, 'route/home': route({ service: 'gone' }) },
  },
  {
    fault: 'route with a missing secret',
    name: 'source',
    values: {
      'service/tiles': SERVICE_JSON,
      'route/home': route({ service: 'tiles', credential: { secret: 'gone', header: 'x-key' } }),
    },
  },
  { fault: 'invalid JSON', name: 'source', values: { 'service/tiles': '{' } },
  { fault: 'key of another resource', name: 'source', values: { 'service/other': SERVICE_JSON } },
  { fault: 'unknown kind', name: 'source', values: { 'x/y': '{"kind":"x","name":"y"}' } },
  { fault: 'machine without an address', name: 'machines', values: { 'machine/a': '{"id":"a"}' } },
  { fault: 'invalid JSON of a machine', name: 'machines', values: { 'machine/a': '[' } },
  {
    fault: 'key of another machine',
    name: 'machines',
    values: {
      'machine/b': machineValues([machineOf(identityOf(1))]).get('machine/machine-1') ?? '',
    },
  },
];

/** Mutant that adopts every document; the test cases must detect it. */
class UncheckedStore extends DocumentStore {
  protected override isAdmissible(): boolean {
    return true;
  }

  protected override validate(): void {
    return;
  }
}

function newStore(storeClass = DocumentStore): { store: DocumentStore; counters: MapCounters } {
  const counters = new MapCounters();
  return { store: new storeClass(new DocumentMemo(), counters), counters };
}

function assertRefused(
  store: DocumentStore,
  name: DocumentName,
  values: Record<string, string>,
): void {
  const before = store.heldDocuments();
  const document = documentOf(9, values);
  const adoption = store.adopt(name, document);
  expect(adoption.outcome).to.equal('refused');
  expect(store.heldDocuments()).to.deep.equal(before);
  expect(store.configuration().snapshot.version.source).to.deep.equal(before.source.version);
  expect(store.wants(name, document.version)).to.equal(false);
}

/** Offers versions in the given order; returns the number held after each. */
function heldNumbers(store: DocumentStore, numbers: readonly number[]): number[] {
  return numbers.map((number) => {
    store.adopt('source', VersionedDocument.fromValues(number, sourceValues(number)));
    return store.held('source').version.number;
  });
}

describe('document store', () => {
  for (const { fault, name, values } of INVALID) {
    it(`refuses the whole document: ${fault}`, () => {
      const { store, counters } = newStore();
      store.adopt('source', documentOf(1, { 'service/tiles': SERVICE_JSON }));
      store.adopt(
        'machines',
        VersionedDocument.fromValues(1, machineValues([machineOf(identityOf(0))])),
      );
      assertRefused(store, name, values);
      assertRefused(store, name, values);
      expect(counters.get('ferryspool_documents_refused_total')).to.equal(1);
      expect(() => assertRefused(newStore(UncheckedStore).store, name, values)).to.throw();
    });
  }

  for (const [given, expected] of [
    [
      [1, 2, 3],
      [1, 2, 3],
    ],
    [
      [3, 1, 2],
      [3, 3, 3],
    ],
    [
      [2, 2, 1, 4, 3],
      [2, 2, 2, 4, 4],
    ],
  ] as const) {
    it(`holds ${expected.join(', ')} when offered ${given.join(', ')}`, () => {
      expect(heldNumbers(newStore().store, given)).to.deep.equal(expected);
    });
  }

  it('would revert to an older version without the rule that versions only increase', () => {
    expect(heldNumbers(newStore(UncheckedStore).store, [3, 1])).to.deep.equal([3, 1]);
  });

  it('selects the same one of two documents with the same number in either order', () => {
    const documents = [1, 2].map((ms) => VersionedDocument.fromValues(5, sourceValues(ms)));
    const held = [documents, [...documents].reverse()].map((order) => {
      const { store } = newStore();
      order.forEach((document) => store.adopt('source', document));
      return store.held('source').version;
    });
    expect(held[0]).to.deep.equal(held[1]);
  });

  it('changes the digest of held versions only when a document is adopted', () => {
    const { store } = newStore();
    const digests = [store.versionsDigest()];
    for (const name of ['source', 'operator', 'machines'] as const) {
      store.adopt(name, documentOf(1, {}));
      digests.push(store.versionsDigest());
      store.adopt(name, documentOf(1, {}));
      expect(store.versionsDigest()).to.equal(digests[digests.length - 1]);
    }
    expect(new Set(digests).size).to.equal(4);
    expect(digests[0]).to.match(/^[0-9a-f]{16}$/);
  });
});

describe('platform answers', () => {
  const held = VersionedDocument.fromValues(5, sourceValues(1));
  const answer = (number: number, ms: number): Parameters<typeof judgePlatformAnswer>[1] => ({
    outcome: 'document',
    number,
    values: sourceValues(ms),
  });
  for (const [name, from, given, expected] of [
    ['a newer number', held, answer(6, 2), 'newer'],
    ['a newer number with the same content', held, answer(6, 1), 'newer'],
    ['the held document again', held, answer(5, 1), 'nothing'],
    ['another document with the held number', held, answer(5, 2), 'conflict'],
    ['an older number', held, answer(4, 2), 'stale'],
    ['a restarted numbering', held, answer(1, 3), 'stale'],
    ['a first document, numbered 0', VersionedDocument.empty(), answer(0, 1), 'newer'],
    ['not modified', held, { outcome: 'not-modified' }, 'nothing'],
    ['unavailable', held, { outcome: 'unavailable' }, 'nothing'],
    ['invalid', held, { outcome: 'invalid', number: 6, faults: [] }, 'invalid'],
  ] as const) {
    it(`are classified as ${expected}: ${name}`, () => {
      expect(judgePlatformAnswer(from, given).outcome).to.equal(expected);
    });
  }

  it('numbered 0 are distinguished from no document, and another one is a conflict', () => {
    const { store } = newStore();
    store.adopt('source', VersionedDocument.fromValues(0, sourceValues(1)));
    expect(judgePlatformAnswer(store.held('source'), answer(0, 2)).outcome).to.equal('conflict');
    expect(store.held('source').version).to.not.deep.equal(NO_VERSION);
  });
});

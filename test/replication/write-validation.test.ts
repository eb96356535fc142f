import { expect } from 'chai';
import { canonicalJson } from '../../src/model/canonical-json.js';
import { VersionedDocument } from '../../src/model/document.js';
import { mergeDocuments } from '../../src/model/merge.js';
import { resourceSchema } from '../../src/model/resource.js';
import type { Precondition, ResourceChange } from '../../src/replication/operator-write.js';
import { MAX_WRITE_BYTES, resolveWrite } from '../../src/replication/write-validation.js';

const service = (name: string): object => ({ kind: 'service', name, spec: {} });
/** A service with all defaults, as the merge returns it. */
const canonicalService = (name: string): object =>
  resourceSchema.parse({ kind: 'service', name, spec: {} });
const route = (name: string, to: string): object => ({
  kind: 'route',
  name,
  spec: { pathPrefix: `/${name}`, service: to },
});
const secret = (name: string, length: number): object => ({
  kind: 'secret',
  name,
  spec: { value: 'x'.repeat(length) },
});

const tiles = canonicalService('tiles');
const parcels = canonicalService('parcels');

const source = VersionedDocument.fromValues(
  7,
  new Map([
    ['service/tiles', canonicalJson(tiles)],
    ['service/idle', canonicalJson(service('idle'))],
    ['route/tiles', canonicalJson(route('tiles', 'tiles'))],
  ]),
);
const operator = VersionedDocument.empty()
  .change(1, [{ key: 'service/parcels', json: canonicalJson(parcels) }], [])
  .change(2, [{ key: 'route/parcels', json: canonicalJson(route('parcels', 'parcels')) }], []);

function put(resource: object, precondition?: Precondition): ResourceChange {
  const { kind, name } = resource as { kind: string; name: string };
  return { key: `${kind}/${name}`, json: JSON.stringify(resource), precondition };
}

function remove(key: string, precondition?: Precondition): ResourceChange {
  return { key, json: null, precondition };
}

const at = (resource: object): Precondition => ({
  type: 'version',
  version: canonicalJson(resource),
});
const exists: Precondition = { type: 'exists' };
const absent: Precondition = { type: 'absent' };
const valid = 'valid';
const manySecrets = Array.from({ length: 17 }, (_, index) => put(secret(`s${index}`, 8_192)));

/**
 * Title, changes and expected result: `valid`, `conflict` with the key, or the first fault's path.
 */
const cases: readonly [string, readonly ResourceChange[], string][] = [
  ['a new resource', [put(service('new'))], valid],
  ['a new resource that must be absent', [put(service('new'), absent)], valid],
  ['a new resource that must exist', [put(service('new'), exists)], 'conflict service/new'],
  ['an operator resource that must be absent', [put(parcels, absent)], 'conflict service/parcels'],
  ['a source resource that must be absent', [put(tiles, absent)], 'conflict service/tiles'],
  ['a source resource that must exist', [put(tiles, exists)], valid],
  ['a source resource at its version', [put(tiles, at(tiles))], valid],
  ['an operator resource at its version', [put(parcels, at(parcels))], valid],
  ['a resource at another version', [put(parcels, at(tiles))], 'conflict service/parcels'],
  ['a deletion at another version', [remove('route/parcels', at(tiles))], 'conflict route/parcels'],
  [
    'one conflict in two changes',
    [put(service('a')), put(parcels, absent)],
    'conflict service/parcels',
  ],
  ['a route and its service together', [put(route('a', 'b')), put(service('b'))], valid],
  ['a route to a missing service', [put(route('a', 'b'))], 'route/a'],
  ['a service and its route deleted', [remove('service/parcels'), remove('route/parcels')], valid],
  ['a service in use deleted', [remove('service/parcels')], 'route/parcels'],
  ['a source service in use deleted', [remove('service/tiles')], 'service/tiles'],
  ['an unused source service deleted', [remove('service/idle')], valid],
  ['deletion of a missing resource', [remove('service/none')], 'service/none'],
  ['two changes of the same resource', [put(service('a')), remove('service/a')], 'service/a'],
  ['no changes', [], 'changes'],
  ['a reserved key', [remove('meta/voters')], 'meta/voters'],
  ['malformed JSON', [{ key: 'service/a', json: '{' }], 'service/a'],
  [
    'a resource that does not match its key',
    [{ ...put(service('a')), key: 'service/b' }],
    'service/b',
  ],
  [
    'a field out of range',
    [put({ ...service('a'), spec: { requestTimeoutMs: 0 } })],
    'service/a.spec.requestTimeoutMs',
  ],
  [`more than ${MAX_WRITE_BYTES} bytes`, manySecrets, 'changes'],
];

const base = { source, operator, merge: mergeDocuments, versionOf: canonicalJson };

describe('replication/write-validation', () => {
  for (const [name, changes, expected] of cases) {
    it(`${expected}: ${name}`, () => {
      const result = resolveWrite({ changes }, base);
      switch (result.outcome) {
        case 'valid':
          expect(expected).to.equal(valid);
          break;
        case 'conflict':
          expect(`conflict ${result.key}`).to.equal(expected);
          break;
        case 'invalid':
          expect(result.faults[0]?.path).to.equal(expected);
          break;
      }
    });
  }

  it('deletes a source resource by a null entry, an operator resource by removal', () => {
    const changes = [remove('service/idle'), remove('route/parcels')];
    const result = resolveWrite({ changes }, base);
    expect(result).to.deep.equal({
      outcome: 'valid',
      upserts: [{ key: 'service/idle', json: 'null' }],
      removals: ['route/parcels'],
    });
  });
});

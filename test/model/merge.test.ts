import { expect } from 'chai';
import { canonicalJson } from '../../src/model/canonical-json.js';
import { InvalidConfigurationError } from '../../src/model/configuration-error.js';
import { VersionedDocument } from '../../src/model/document.js';
import { DELETED_JSON, mergeDocuments } from '../../src/model/merge.js';
import { parseSourceDocument } from '../../src/model/source-document.js';

const service = { kind: 'service', name: 'tiles', spec: {} };
const secret = { kind: 'secret', name: 'key', spec: { value: 'hidden-value' } };
const route = {
  kind: 'route',
  name: 'tiles',
  spec: {
    pathPrefix: '/tiles',
    service: 'tiles',
    credential: { secret: 'key', header: 'authorization' },
  },
};
const endpoint = {
  kind: 'endpoint',
  name: 'tiles-1',
  spec: {
    service: 'tiles',
    address: '127.0.0.1',
    port: 9000,
    zone: 'a',
    region: 'r',
    slots: 20,
    maxConnections: 130,
  },
};
const allResources = [service, secret, route, endpoint];

function documentOf(entries: Record<string, unknown>): VersionedDocument {
  return VersionedDocument.fromValues(
    1,
    new Map(Object.entries(entries).map(([key, value]) => [key, canonicalJson(value)])),
  );
}

const sourceDocument = documentOf({
  'service/tiles': service,
  'secret/key': secret,
  'route/tiles': route,
  'endpoint/tiles-1': endpoint,
});

describe('model/source-document', () => {
  const refusals: { name: string; value: unknown; path: string }[] = [
    { name: 'a value that is not an object', value: 'text', path: '' },
    { name: 'version zero', value: { version: 0, resources: allResources }, path: 'version' },
    { name: 'unknown key', value: { version: 1, resources: [], extra: 1 }, path: '' },
    {
      name: 'route without its service',
      value: { version: 1, resources: [secret, route] },
      path: 'route/tiles',
    },
    {
      name: 'route without its secret',
      value: { version: 1, resources: [service, route] },
      path: 'route/tiles',
    },
    {
      name: 'endpoint without its service',
      value: { version: 1, resources: [endpoint] },
      path: 'endpoint/tiles-1',
    },
    {
      name: 'duplicate name',
      value: { version: 1, resources: [service, service] },
      path: 'service/tiles',
    },
    {
      name: 'port out of range',
      value: {
        version: 1,
        resources: [service, { ...endpoint, spec: { ...endpoint.spec, port: 70000 } }],
      },
      path: 'resources.1.spec.port',
    },
    {
      name: 'host name instead of an address',
      value: {
        version: 1,
        resources: [service, { ...endpoint, spec: { ...endpoint.spec, address: 'example.org' } }],
      },
      path: 'resources.1.spec.address',
    },
  ];
  for (const refusal of refusals) {
    it(`rejects the document: ${refusal.name}`, () => {
      try {
        parseSourceDocument(refusal.value);
      } catch (error) {
        expect(error).to.be.instanceOf(InvalidConfigurationError);
        const faults = (error as InvalidConfigurationError).faults;
        expect(faults.map((fault) => fault.path)).to.include(refusal.path);
        expect((error as Error).message).to.not.include('hidden-value');
        return;
      }
      expect.fail('expected a rejection');
    });
  }

  it('accepts a valid document', () => {
    expect(parseSourceDocument({ version: 1, resources: allResources }).resources).to.have.length(
      4,
    );
  });
});

describe('model/merge', () => {
  it('applies operator entries and deletions to the source', () => {
    const other = { ...endpoint, name: 'tiles-2' };
    const operator = documentOf({ 'endpoint/tiles-1': null, 'endpoint/tiles-2': other });
    const { snapshot, suspended } = mergeDocuments(sourceDocument, operator);
    const names = snapshot.endpointsByService.get('tiles')?.map((one) => one.name);
    expect(names).to.deep.equal(['tiles-2']);
    expect(suspended).to.deep.equal([]);
  });

  const suspensions: { name: string; entries: Record<string, unknown>; path: string }[] = [
    {
      name: 'a route to a missing service',
      entries: { 'route/x': { ...route, name: 'x', spec: { ...route.spec, service: 'gone' } } },
      path: 'route/x',
    },
    {
      name: 'a deletion of a service that is in use',
      entries: { 'service/tiles': JSON.parse(DELETED_JSON) as unknown },
      path: 'service/tiles',
    },
  ];
  suspensions.push({
    name: 'an entry that is not a resource',
    entries: { 'service/x': { kind: 'service', name: 'x' } },
    path: 'service/x',
  });
  for (const { name, entries, path } of suspensions) {
    it(`suspends ${name} and applies the others`, () => {
      const merged = mergeDocuments(sourceDocument, documentOf(entries));
      expect(merged.suspended.map((fault) => fault.path)).to.deep.equal([path]);
      expect(merged.snapshot.resources).to.have.property('size', 4);
    });
  }

  it('applies operator entries that depend on each other in any key order', () => {
    const operator = documentOf({
      'route/a': { ...route, name: 'a', spec: { pathPrefix: '/a', service: 'zebra' } },
      'service/zebra': { ...service, name: 'zebra' },
    });
    const merged = mergeDocuments(sourceDocument, operator);
    expect(merged.suspended).to.deep.equal([]);
    expect(merged.snapshot.routes.map((one) => one.name)).to.include('a');
  });

  it('excludes reserved entries of the operators document from the snapshot', () => {
    const merged = mergeDocuments(sourceDocument, documentOf({ 'meta/voters': { epoch: 1 } }));
    expect(merged.suspended).to.deep.equal([]);
    expect([...merged.snapshot.resources.keys()]).to.have.length(allResources.length);
  });

  it('rejects dangling references in the source even if the operators document resolves them', () => {
    const dangling = documentOf({ 'route/tiles': route });
    const operator = documentOf({ 'service/tiles': service, 'secret/key': secret });
    expect(() => mergeDocuments(dangling, operator)).to.throw(InvalidConfigurationError);
  });

  it('suspends operator entries beyond the resource limit, but not those that replace a resource', () => {
    const operator = documentOf({
      'service/another': { ...service, name: 'another' },
      'service/tiles': { ...service, spec: { requestTimeoutMs: 7 } },
    });
    const merged = mergeDocuments(sourceDocument, operator, allResources.length);
    expect(merged.suspended.map((fault) => fault.path)).to.deep.equal(['service/another']);
    expect(merged.snapshot.services.get('tiles')?.spec.requestTimeoutMs).to.equal(7);
  });

  it('rejects a source beyond the resource limit even if operators delete resources', () => {
    const operator = documentOf({ 'endpoint/tiles-1': null });
    const merge = (): unknown => mergeDocuments(sourceDocument, operator, allResources.length - 1);
    expect(merge).to.throw(InvalidConfigurationError, 'expected at most 3');
  });
});

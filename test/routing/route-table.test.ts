/** Matching of requests to routes. */
import { expect } from 'chai';
import fc from 'fast-check';
import { resourceSchema, type Route } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import { RouteTable } from '../../src/routing/route-table.js';

function snapshotOf(routes: Readonly<Record<string, object>>): Snapshot {
  const service = { kind: 'service', name: 's', spec: { requestTimeoutMs: 700 } };
  const resources = Object.entries(routes).map(([name, spec]) => ({
    kind: 'route',
    name,
    spec: { service: 's', ...spec },
  }));
  const parsed = [service, ...resources].map((resource) => resourceSchema.parse(resource));
  return buildSnapshot(NO_SNAPSHOT_VERSION, parsed);
}

const table = new RouteTable(
  snapshotOf({
    root: { pathPrefix: '/' },
    tiles: { pathPrefix: '/tiles', timeoutMs: 50 },
    'tiles-host': { pathPrefix: '/tiles', hosts: ['maps.example'] },
    'tiles-post': { pathPrefix: '/tiles', methods: ['POST'], repeatable: true },
    old: { pathPrefix: '/tiles/old/', repeatable: false },
    'only-put': { pathPrefix: '/tiles/put', methods: ['PUT'] },
  }),
);

const rows: readonly [host: string, path: string, method: string, expected: string][] = [
  ['a', '/', 'GET', 'root'],
  ['a', '/other', 'GET', 'root'],
  ['a', '/tiles', 'GET', 'tiles'],
  ['a', '/tiles/', 'GET', 'tiles'],
  ['a', '/tiles/7/8', 'GET', 'tiles'],
  ['a', '/tilesets', 'GET', 'root'],
  ['a', '/tiles//x', 'GET', 'tiles'],
  ['maps.example', '/tiles/1', 'GET', 'tiles-host'],
  ['MAPS.example:8080', '/tiles/1', 'POST', 'tiles-host'],
  ['a', '/tiles/1', 'POST', 'tiles-post'],
  ['a', '/tiles/old/1', 'GET', 'old'],
  ['a', '/tiles/old', 'GET', 'tiles'],
  ['a', '/tiles/put/1', 'PUT', 'only-put'],
  ['a', '/tiles/put/1', 'GET', 'tiles'],
  ['[::1]:80', '/tiles', 'GET', 'tiles'],
];

const segment = fc.constantFrom('a', 'b', '');
const path = fc.array(segment, { maxLength: 4 }).map((segments) => `/${segments.join('/')}`);

describe('route table', () => {
  for (const [host, target, method, expected] of rows) {
    it(`sends ${method} ${host}${target} to ${expected}`, () => {
      expect(table.match(host, target, method)?.route.name).to.equal(expected);
    });
  }

  it('determines whether a request is repeatable, and its timeout', () => {
    const repeatable = (target: string, method: string): unknown =>
      table.match('a', target, method)?.repeatable;
    expect([repeatable('/', 'GET'), repeatable('/', 'POST')]).to.deep.equal([true, false]);
    expect([repeatable('/tiles', 'POST'), repeatable('/tiles/old/', 'GET')]).to.deep.equal([
      true,
      false,
    ]);
    expect(table.match('a', '/tiles', 'GET')?.timeoutMs).to.equal(50);
    expect(table.match('a', '/', 'GET')?.timeoutMs).to.equal(700);
  });

  it('finds the longest prefix that ends at a segment boundary, like a linear search', () => {
    fc.assert(
      fc.property(fc.uniqueArray(path, { maxLength: 6 }), path, (prefixes, target) => {
        const snapshot = snapshotOf(
          Object.fromEntries(prefixes.map((pathPrefix, index) => [`r${index}`, { pathPrefix }])),
        );
        const found = new RouteTable(snapshot).match('a', target, 'GET')?.route;
        expect(found?.spec.pathPrefix).to.equal(linearSearch(snapshot.routes, target));
      }),
      { seed: 20_260_103, numRuns: 500 },
    );
  });
});

function linearSearch(routes: readonly Route[], target: string): string | undefined {
  return routes
    .map(({ spec }) => spec.pathPrefix)
    .filter((prefix) => {
      const endsSegment = prefix.endsWith('/') || ['/', undefined].includes(target[prefix.length]);
      return target.startsWith(prefix) && endsSegment;
    })
    .sort((left, right) => right.length - left.length)[0];
}

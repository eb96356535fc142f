/**
 * Guards against a configuration that costs each node a check of all its routes, and against a route that is kept from
 * an earlier configuration although it has changed.
 */
import { expect } from 'chai';
import type { Resource, Route } from '../../src/model/resource.js';
import { createRecordReader } from '../../platform/records.js';
import { ParsedRoutes } from '../../platform/parsed-routes.js';

const LIMITS = { maxHeaderBytes: 1_024, maxBodyBytes: 1_024, headerTimeoutS: 3, idleTimeoutS: 15 };

function route(name: string, timeoutS = 2): Record<string, unknown> {
  return { name, pathPrefix: `/${name}/`, kind: 'safe', timeoutS, service: 'a' };
}

function configuration(
  version: number,
  hosts: Readonly<Record<string, readonly unknown[]>>,
): string {
  const virtualHosts = Object.entries(hosts).map(([hostname, paths]) => ({ hostname, paths }));
  const services = [{ name: 'a' }];
  return JSON.stringify({ version: `0000000${version}`, services, limits: LIMITS, virtualHosts });
}

describe('routes of successive configurations', () => {
  const read = createRecordReader({ retryBudgetPercent: 20, regionOfZone: () => 'r1' });

  function routesOf(text: string): Route[] {
    const record = read('op/config', text);
    expect(record.kind).to.equal('configuration');
    const { resources } = record as { readonly resources: readonly Resource[] };
    return resources.filter((resource): resource is Route => resource.kind === 'route');
  }

  it('are converted again only if their text or host has changed', () => {
    const first = routesOf(configuration(1, { h1: [route('x'), route('y')], h2: [route('x')] }));
    const second = routesOf(
      configuration(2, { h1: [route('y'), route('x', 3)], h2: [route('x')] }),
    );
    expect(second.map((one) => first.includes(one))).to.deep.equal([true, false, true]);
    expect(second[1]).to.have.nested.property('spec.timeoutMs', 3_000);
    expect(first[0]).not.to.equal(first[2]);
  });

  it('are not kept beyond the next configuration', () => {
    let parsedCount = 0;
    const routes = new ParsedRoutes();
    const parse = (hostname: string): Route => {
      parsedCount += 1;
      return routesOf(configuration(1, { [hostname]: [route('x')] }))[0] ?? expect.fail('no route');
    };
    const listed = [{ hostname: 'h1', paths: [route('x')] }];
    routes.parse(listed, parse);
    routes.parse([], parse);
    routes.parse(listed, parse);
    expect(parsedCount).to.equal(2);
  });

  it('name a fault by its place in the whole configuration', () => {
    const text = configuration(3, {
      h1: [route('x')],
      h2: [route('y'), { ...route('z'), timeoutS: 0 }],
    });
    const record = read('op/config', text);
    expect(record).to.have.nested.property('fault.path', 'virtualHosts.1.paths.1.timeoutS');
  });
});

/** Distribution of requests among the target services of a route. */
import { expect } from 'chai';
import type { Route } from '../../src/model/resource.js';
import { WeightedTargets } from '../../src/routing/weighted-targets.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';

function route(targets?: readonly { service: string; weight: number }[]): Route {
  const spec = { hosts: [], pathPrefix: '/', methods: [], service: 'main' };
  return {
    kind: 'route',
    name: 'r',
    spec: targets === undefined ? spec : { ...spec, targets: [...targets] },
  };
}

function countsOf(
  targets: WeightedTargets,
  divided: Route,
  requests: number,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let request = 0; request < requests; request += 1) {
    const service = targets.next(divided);
    counts[service] = (counts[service] ?? 0) + 1;
  }
  return counts;
}

describe('weighted targets of a route', () => {
  it('sends all requests to the service of a route without targets', () => {
    expect(countsOf(new WeightedTargets(Math.random), route(), 5)).to.deep.equal({ main: 5 });
  });

  const rows = [
    { weights: [90, 10], requests: 100 },
    { weights: [1, 1, 2], requests: 40 },
    { weights: [5, 0], requests: 20 },
  ];
  for (const { weights, requests } of rows) {
    it(`keeps shares of ${weights.join(':')} over ${requests} requests`, () => {
      const targets = weights.map((weight, index) => ({ service: `s${index}`, weight }));
      const counts = countsOf(new WeightedTargets(seededRandom(3)), route(targets), requests);
      const total = weights.reduce((sum, weight) => sum + weight, 0);
      targets.forEach(({ service, weight }) => {
        expect(counts[service] ?? 0).to.be.closeTo((requests * weight) / total, 1);
      });
    });
  }

  it('keeps the shares across the fleet although each node sends few requests', () => {
    const targets = route([
      { service: 'heavy', weight: 90 },
      { service: 'light', weight: 10 },
    ]);
    const random = seededRandom(5);
    let light = 0;
    for (let node = 0; node < 200; node += 1) {
      light += countsOf(new WeightedTargets(random), targets, 3).light ?? 0;
    }
    expect(light / 600).to.be.within(0.05, 0.15);
  });

  it('applies changed weights', () => {
    const targets = new WeightedTargets(seededRandom(1));
    countsOf(targets, route([{ service: 'a', weight: 1 }]), 10);
    const changed = route([
      { service: 'a', weight: 1 },
      { service: 'b', weight: 3 },
    ]);
    expect(countsOf(targets, changed, 40).b).to.be.within(29, 31);
  });
});

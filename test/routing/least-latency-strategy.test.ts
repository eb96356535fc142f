/** Choice by expected latency, load, distance and refusals. */
import { expect } from 'chai';
import type { Endpoint } from '../../src/model/resource.js';
import { resourceSchema } from '../../src/model/resource.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const WORK = { workClass: 'r', targetLatencyMs: 500 };
const CONTEXT = {
  zone: 'z1',
  region: 'r1',
  tried: new Set<string>(),
  repeatable: false,
  mayReceive: () => true,
  work: WORK,
};

function endpoint(name: string, zone = 'z1'): Endpoint {
  return resourceSchema.parse(echoEndpoint(name, 1, { slots: 10, zone })) as Endpoint;
}

const near = endpoint('near');
const other = endpoint('other');
const far = endpoint('far', 'z2');

/** Choices among `endpoints` with the latencies given, none left in flight. */
function choices(
  latencies: ReadonlyMap<Endpoint, number>,
  nowMs = 0,
  context: SelectionContext = CONTEXT,
): Set<string | undefined> {
  const selector = new EndpointSelector(seededRandom(1));
  const endpoints = [...latencies.keys()];
  selector.choose(endpoints, context, 0);
  for (const [target, latencyMs] of latencies) {
    selector.measured(target, WORK.workClass, latencyMs, 0);
  }
  const chosen = new Set<string | undefined>();
  for (let round = 0; round < 50; round += 1) {
    chosen.add(selector.choose(endpoints, context, nowMs)?.name);
  }
  return chosen;
}

describe('choice by expected latency', () => {
  it('takes the faster of two in the zone', () => {
    expect([
      ...choices(
        new Map([
          [near, 300],
          [other, 100],
        ]),
      ),
    ]).to.deep.equal(['other']);
  });

  it('takes the endpoint beside the node among like ones, and another once that is slower', () => {
    const beside = { ...near, spec: { ...near.spec, machine: 'n1' } };
    const elsewhere = { ...other, spec: { ...other.spec, machine: 'n2' } };
    const chosenAt = (besideMs: number): (string | undefined)[] => {
      const latencies = new Map([
        [beside, besideMs],
        [elsewhere, 100],
      ]);
      return [...choices(latencies, 0, { ...CONTEXT, machineId: 'n1' })];
    };
    expect(chosenAt(105)).to.deep.equal(['near']);
    expect(chosenAt(450)).to.deep.equal(['other']);
  });

  it('stays in the zone while its answers are well within the target', () => {
    expect([
      ...choices(
        new Map([
          [near, 200],
          [far, 50],
        ]),
      ),
    ]).to.deep.equal(['near']);
  });

  it('leaves the zone when its answers would be late', () => {
    expect([
      ...choices(
        new Map([
          [near, 600],
          [far, 100],
        ]),
      ),
    ]).to.deep.equal(['far']);
  });

  it('tries an endpoint that was slow again after a while', () => {
    const latencies = new Map([
      [near, 400],
      [other, 100],
    ]);
    expect(choices(latencies, 60_000)).to.include('near');
  });

  it('spreads requests by their load', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const counts = new Map<string, number>();
    for (let request = 0; request < 24; request += 1) {
      const chosen = selector.choose([near, other], CONTEXT, 0) ?? near;
      selector.began(chosen, 0);
      selector.measured(chosen, WORK.workClass, 200, 0);
      counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1);
    }
    [...counts.values()].forEach((count) => expect(count).to.be.within(9, 15));
  });

  it('holds back a class of work that was refused, and no other', () => {
    const selector = new EndpointSelector(seededRandom(1));
    selector.refusedWork(near, WORK.workClass, 100, 0);
    expect(selector.choose([near], CONTEXT, 50)).to.equal(undefined);
    const otherWork = { ...CONTEXT, work: { ...WORK, workClass: 'other' } };
    expect(selector.choose([near], otherWork, 50)?.name).to.equal('near');
    expect(selector.choose([near], CONTEXT, 101)?.name).to.equal('near');
  });

  it('sends nothing where another process answers, at once', () => {
    const selector = new EndpointSelector(seededRandom(1));
    selector.began(near, 0);
    selector.ended(near, 'gone', [near, other], 0);
    expect(selector.isEjected(near)).to.equal(true);
  });

  it('turns away from an endpoint part of whose requests fail, and tries it again later', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const endpoints = [near, other];
    const countNear = (nowMs: number): number =>
      Array.from({ length: 200 }, () => selector.choose(endpoints, CONTEXT, nowMs)).filter(
        (chosen) => chosen === near,
      ).length;
    selector.choose(endpoints, CONTEXT, 0);
    for (const one of endpoints) {
      selector.measured(one, WORK.workClass, 100, 0);
    }
    for (let attempt = 0; attempt < 10; attempt += 1) {
      selector.began(near, 0);
      selector.ended(near, attempt % 2 === 0 ? 'failed' : 'answered', endpoints, 0);
    }
    expect(countNear(0)).to.equal(0);
    expect(countNear(60_000)).to.be.greaterThan(20);
  });

  it('goes by the failures that the node of the endpoint has seen', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const endpoints = [near, other];
    selector.choose(endpoints, CONTEXT, 0);
    for (const one of endpoints) {
      selector.measured(one, WORK.workClass, 100, 0);
    }
    selector.observedLoad(near, { inFlight: 0, draining: false, failureShare: 0.4 }, 0);
    for (let round = 0; round < 50; round += 1) {
      expect(selector.choose(endpoints, CONTEXT, 0)).to.equal(other);
    }
  });

  it('stays in the zone after a single failure, and leaves it when many fail', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const endpoints = [near, far];
    selector.choose(endpoints, CONTEXT, 0);
    for (const one of endpoints) {
      selector.measured(one, WORK.workClass, 100, 0);
    }
    const outcomes = (['failed', 'answered', 'answered'] as const).concat(
      Array<'answered'>(20).fill('answered'),
    );
    for (const outcome of outcomes) {
      selector.began(near, 0);
      selector.ended(near, outcome, endpoints, 0);
      expect(selector.choose(endpoints, CONTEXT, 0)).to.equal(near);
    }
    selector.observedLoad(near, { inFlight: 0, draining: false, failureShare: 0.4 }, 0);
    expect(selector.choose(endpoints, CONTEXT, 0)).to.equal(far);
  });

  /** Endpoints of six zones, each on a machine of its own. */
  function manyEndpoints(count: number): Endpoint[] {
    return Array.from({ length: count }, (_, idx) => {
      const one = endpoint(`e${idx}`, `z${(idx % 6) + 1}`);
      return { ...one, spec: { ...one.spec, machine: `m${idx}` } };
    });
  }

  for (const count of [78, 1_800]) {
    it(`looks at few of ${count} endpoints for a choice`, () => {
      const endpoints = manyEndpoints(count);
      let looks = 0;
      const mayReceive = () => {
        looks += 1;
        return true;
      };
      const selector = new EndpointSelector(seededRandom(1));
      for (let round = 0; round < 100; round += 1) {
        selector.choose(endpoints, { ...CONTEXT, repeatable: true, mayReceive }, round);
      }
      expect(looks / 100).to.be.at.most(20);
    });
  }

  it('finds the one endpoint of many that takes new work', () => {
    const endpoints = manyEndpoints(78);
    const mayReceive = ({ name }: Endpoint) => name === 'e41';
    const selector = new EndpointSelector(seededRandom(1));
    const chosen = selector.choose(endpoints, { ...CONTEXT, mayReceive }, 0);
    expect(chosen?.name).to.equal('e41');
    expect(selector.choose(endpoints, { ...CONTEXT, mayReceive: () => false }, 0)).to.equal(
      undefined,
    );
  });

  it('always compares the endpoint on its own machine, and takes it while it has room', () => {
    const endpoints = manyEndpoints(78);
    const context = { ...CONTEXT, machineId: 'm6' };
    const selector = new EndpointSelector(seededRandom(1));
    for (let round = 0; round < 20; round += 1) {
      expect(selector.choose(endpoints, context, 0)?.name).to.equal('e6');
    }
  });

  it('spreads over all endpoints of its zone', () => {
    const endpoints = manyEndpoints(78);
    const selector = new EndpointSelector(seededRandom(1));
    const chosen = new Set<string | undefined>();
    for (let round = 0; round < 300; round += 1) {
      chosen.add(selector.choose(endpoints, CONTEXT, 0)?.name);
    }
    expect(chosen.size).to.be.at.least(13);
  });

  /** Tells a selector the mean time of each endpoint: the slow ones take thrice as long. */
  function tellTimes(selector: EndpointSelector, endpoints: readonly Endpoint[]): void {
    endpoints.forEach((one, idx) => {
      const meanMs = idx % 2 === 0 ? 450 : 150;
      selector.observedLoad(
        one,
        { inFlight: 0, draining: false, serviceTime: { workClass: WORK.workClass, meanMs } },
        0,
      );
    });
  }

  it('goes by what the nodes of the endpoints tell of their times, without a request of its own', () => {
    const endpoints = manyEndpoints(78).map((one) => ({
      ...one,
      spec: { ...one.spec, zone: 'z1' },
    }));
    const selector = new EndpointSelector(seededRandom(1));
    selector.choose(endpoints, CONTEXT, 0);
    tellTimes(selector, endpoints);
    let slow = 0;
    for (let round = 0; round < 100; round += 1) {
      const chosen = selector.choose(endpoints, CONTEXT, 0);
      slow += endpoints.findIndex(({ name }) => name === chosen?.name) % 2 === 0 ? 1 : 0;
    }
    expect(slow).to.be.below(10);
  });

  it('does not leave an endpoint for one long answer where its node tells of short ones', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const tell = (one: Endpoint, meanMs: number) => {
      const serviceTime = { workClass: WORK.workClass, meanMs };
      selector.observedLoad(one, { inFlight: 0, draining: false, serviceTime }, 0);
    };
    selector.choose([near, other], CONTEXT, 0);
    tell(near, 100);
    tell(other, 250);
    selector.measured(near, WORK.workClass, 600, 0);
    expect(selector.choose([near, other], CONTEXT, 0)?.name).to.equal('near');
  });
});

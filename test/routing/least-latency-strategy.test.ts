/** Selection by expected latency, load, distance and refusals. */
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

/** Names of the endpoints selected with the given latencies; no request remains in flight. */
function chosenNames(
  latencies: ReadonlyMap<Endpoint, number>,
  nowMs = 0,
  context: SelectionContext = CONTEXT,
): Set<string | undefined> {
  const selector = new EndpointSelector(seededRandom(1));
  const endpoints = [...latencies.keys()];
  selector.choose(endpoints, context, 0);
  for (const [target, latencyMs] of latencies) {
    selector.latencyMeasured(target, WORK.workClass, latencyMs, 0);
  }
  const chosen = new Set<string | undefined>();
  for (let round = 0; round < 50; round += 1) {
    chosen.add(selector.choose(endpoints, context, nowMs)?.name);
  }
  return chosen;
}

describe('selection by expected latency', () => {
  it('selects the faster of two endpoints in the zone', () => {
    expect([
      ...chosenNames(
        new Map([
          [near, 300],
          [other, 100],
        ]),
      ),
    ]).to.deep.equal(['other']);
  });

  it('prefers the endpoint on the machine of the node unless it is much slower', () => {
    const local = { ...near, spec: { ...near.spec, machine: 'n1' } };
    const elsewhere = { ...other, spec: { ...other.spec, machine: 'n2' } };
    const chosenAt = (besideMs: number): (string | undefined)[] => {
      const latencies = new Map([
        [local, besideMs],
        [elsewhere, 100],
      ]);
      return [...chosenNames(latencies, 0, { ...CONTEXT, machineId: 'n1' })];
    };
    expect(chosenAt(105)).to.deep.equal(['near']);
    expect(chosenAt(450)).to.deep.equal(['other']);
  });

  it('stays in the zone while its latency is well below the target', () => {
    expect([
      ...chosenNames(
        new Map([
          [near, 200],
          [far, 50],
        ]),
      ),
    ]).to.deep.equal(['near']);
  });

  it('leaves the zone when its responses would be late', () => {
    expect([
      ...chosenNames(
        new Map([
          [near, 600],
          [far, 100],
        ]),
      ),
    ]).to.deep.equal(['far']);
  });

  it('tries a slow endpoint again after some time', () => {
    const latencies = new Map([
      [near, 400],
      [other, 100],
    ]);
    expect(chosenNames(latencies, 60_000)).to.include('near');
  });

  it('distributes requests by load', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const counts = new Map<string, number>();
    for (let request = 0; request < 24; request += 1) {
      const chosen = selector.choose([near, other], CONTEXT, 0) ?? near;
      selector.attemptStarted(chosen, 0);
      selector.latencyMeasured(chosen, WORK.workClass, 200, 0);
      counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1);
    }
    [...counts.values()].forEach((count) => expect(count).to.be.within(9, 15));
  });

  it('withholds only the class of work that was refused', () => {
    const selector = new EndpointSelector(seededRandom(1));
    selector.workRefused(near, WORK.workClass, 100, 0);
    expect(selector.choose([near], CONTEXT, 50)).to.equal(undefined);
    const otherWork = { ...CONTEXT, work: { ...WORK, workClass: 'other' } };
    expect(selector.choose([near], otherWork, 50)?.name).to.equal('near');
    expect(selector.choose([near], CONTEXT, 101)?.name).to.equal('near');
  });

  it('ejects an endpoint immediately when another process responds at its address', () => {
    const selector = new EndpointSelector(seededRandom(1));
    selector.attemptStarted(near, 0);
    selector.attemptEnded(near, 'gone', [near, other], 0);
    expect(selector.isEjected(near)).to.equal(true);
  });

  it('avoids an endpoint with a share of failures and tries it again later', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const endpoints = [near, other];
    const countNear = (nowMs: number): number =>
      Array.from({ length: 200 }, () => selector.choose(endpoints, CONTEXT, nowMs)).filter(
        (chosen) => chosen === near,
      ).length;
    selector.choose(endpoints, CONTEXT, 0);
    for (const one of endpoints) {
      selector.latencyMeasured(one, WORK.workClass, 100, 0);
    }
    for (let attempt = 0; attempt < 10; attempt += 1) {
      selector.attemptStarted(near, 0);
      selector.attemptEnded(near, attempt % 2 === 0 ? 'failed' : 'answered', endpoints, 0);
    }
    expect(countNear(0)).to.equal(0);
    expect(countNear(60_000)).to.be.greaterThan(20);
  });

  it('uses the failure share reported by the node of the endpoint', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const endpoints = [near, other];
    selector.choose(endpoints, CONTEXT, 0);
    for (const one of endpoints) {
      selector.latencyMeasured(one, WORK.workClass, 100, 0);
    }
    selector.loadObserved(near, { inFlight: 0, draining: false, failureShare: 0.4 }, 0);
    for (let round = 0; round < 50; round += 1) {
      expect(selector.choose(endpoints, CONTEXT, 0)).to.equal(other);
    }
  });

  it('stays in the zone after a single failure and leaves it after many', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const endpoints = [near, far];
    selector.choose(endpoints, CONTEXT, 0);
    for (const one of endpoints) {
      selector.latencyMeasured(one, WORK.workClass, 100, 0);
    }
    const outcomes = (['failed', 'answered', 'answered'] as const).concat(
      Array<'answered'>(20).fill('answered'),
    );
    for (const outcome of outcomes) {
      selector.attemptStarted(near, 0);
      selector.attemptEnded(near, outcome, endpoints, 0);
      expect(selector.choose(endpoints, CONTEXT, 0)).to.equal(near);
    }
    selector.loadObserved(near, { inFlight: 0, draining: false, failureShare: 0.4 }, 0);
    expect(selector.choose(endpoints, CONTEXT, 0)).to.equal(far);
  });

  /** Endpoints in six zones, each on its own machine. */
  function manyEndpoints(count: number): Endpoint[] {
    return Array.from({ length: count }, (_, idx) => {
      const one = endpoint(`e${idx}`, `z${(idx % 6) + 1}`);
      return { ...one, spec: { ...one.spec, machine: `m${idx}` } };
    });
  }

  for (const count of [78, 1_800]) {
    it(`checks few of ${count} endpoints per selection`, () => {
      const endpoints = manyEndpoints(count);
      let eligibilityChecks = 0;
      const mayReceive = () => {
        eligibilityChecks += 1;
        return true;
      };
      const selector = new EndpointSelector(seededRandom(1));
      for (let round = 0; round < 100; round += 1) {
        selector.choose(endpoints, { ...CONTEXT, repeatable: true, mayReceive }, round);
      }
      expect(eligibilityChecks / 100).to.be.at.most(20);
    });
  }

  it('finds the only one of many endpoints that accepts new requests', () => {
    const endpoints = manyEndpoints(78);
    const mayReceive = ({ name }: Endpoint) => name === 'e41';
    const selector = new EndpointSelector(seededRandom(1));
    const chosen = selector.choose(endpoints, { ...CONTEXT, mayReceive }, 0);
    expect(chosen?.name).to.equal('e41');
    expect(selector.choose(endpoints, { ...CONTEXT, mayReceive: () => false }, 0)).to.equal(
      undefined,
    );
  });

  it('always compares the endpoint on its own machine and selects it while it has capacity', () => {
    const endpoints = manyEndpoints(78);
    const context = { ...CONTEXT, machineId: 'm6' };
    const selector = new EndpointSelector(seededRandom(1));
    for (let round = 0; round < 20; round += 1) {
      expect(selector.choose(endpoints, context, 0)?.name).to.equal('e6');
    }
  });

  it('distributes requests over all endpoints of its zone', () => {
    const endpoints = manyEndpoints(78);
    const selector = new EndpointSelector(seededRandom(1));
    const chosen = new Set<string | undefined>();
    for (let round = 0; round < 300; round += 1) {
      chosen.add(selector.choose(endpoints, CONTEXT, 0)?.name);
    }
    expect(chosen.size).to.be.at.least(13);
  });

  /** Reports mean service times; every second endpoint is three times slower. */
  function reportServiceTimes(selector: EndpointSelector, endpoints: readonly Endpoint[]): void {
    endpoints.forEach((one, idx) => {
      const meanMs = idx % 2 === 0 ? 450 : 150;
      selector.loadObserved(
        one,
        { inFlight: 0, draining: false, serviceTime: { workClass: WORK.workClass, meanMs } },
        0,
      );
    });
  }

  it('uses reported service times without measurements of its own', () => {
    const endpoints = manyEndpoints(78).map((one) => ({
      ...one,
      spec: { ...one.spec, zone: 'z1' },
    }));
    const selector = new EndpointSelector(seededRandom(1));
    selector.choose(endpoints, CONTEXT, 0);
    reportServiceTimes(selector, endpoints);
    let slow = 0;
    for (let round = 0; round < 100; round += 1) {
      const chosen = selector.choose(endpoints, CONTEXT, 0);
      slow += endpoints.findIndex(({ name }) => name === chosen?.name) % 2 === 0 ? 1 : 0;
    }
    expect(slow).to.be.below(10);
  });

  it('does not leave an endpoint after one slow response if its node reports a short service time', () => {
    const selector = new EndpointSelector(seededRandom(1));
    const report = (one: Endpoint, meanMs: number) => {
      const serviceTime = { workClass: WORK.workClass, meanMs };
      selector.loadObserved(one, { inFlight: 0, draining: false, serviceTime }, 0);
    };
    selector.choose([near, other], CONTEXT, 0);
    report(near, 100);
    report(other, 250);
    selector.latencyMeasured(near, WORK.workClass, 600, 0);
    expect(selector.choose([near, other], CONTEXT, 0)?.name).to.equal('near');
  });
});

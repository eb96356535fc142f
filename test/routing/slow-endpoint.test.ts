/**
 * Selection of endpoints that are slow for some hundred milliseconds and report it. Guards against requests that are
 * sent to an endpoint known to be slow, and against one that is avoided for long after a single slow report.
 */
import { expect } from 'chai';
import type { LoadReport } from '../../src/proxy/call.js';
import { loadObservationOf } from '../../src/proxy/load-observation.js';
import { frameLoadOf, loadOf } from '../../src/proxy/relay/relay-load.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const WORK = { workClass: 'read', targetLatencyMs: 200 };
const CONTEXT: SelectionContext = {
  zone: 'z1',
  region: 'r1',
  tried: new Set(),
  repeatable: true,
  work: WORK,
  mayReceive: () => true,
};

describe('the selection among endpoints of which one is slow at present', () => {
  const endpoints = ['slow', 'other'].map(
    (name) => resourceSchema.parse(echoEndpoint(name, 1, { slots: 4 })) as Endpoint,
  );
  const [slow, other] = endpoints as [Endpoint, Endpoint];
  let selector: EndpointSelector;

  beforeEach(() => {
    selector = new EndpointSelector(seededRandom(1));
    selector.choose(endpoints, CONTEXT, 0);
  });

  /** The load report arrives from the endpoint's node. */
  function observe(endpoint: Endpoint, report: Partial<LoadReport>, nowMs: number): void {
    const load = { inFlight: 0, slots: 4, draining: false, serviceMs: 100, ...report };
    const received = loadOf(frameLoadOf(load, false));
    const observation = loadObservationOf(received, undefined, WORK.workClass);
    if (observation !== undefined) {
      selector.loadObserved(endpoint, observation, nowMs);
    }
  }

  function shareOfSlow(nowMs: number): number {
    const chosen = Array.from({ length: 100 }, () => selector.choose(endpoints, CONTEXT, nowMs));
    return chosen.filter((endpoint) => endpoint === slow).length / chosen.length;
  }

  it('avoids it while the report is recent, and no longer', () => {
    observe(other, {}, 0);
    observe(slow, { slowness: { percent: 250, ageMs: 0 } }, 0);
    expect(shareOfSlow(0)).to.equal(0);
    expect(shareOfSlow(300)).to.equal(0);
    expect(shareOfSlow(2_001)).to.be.above(0.3);
  });

  it('takes the age of a report into account', () => {
    observe(other, {}, 0);
    observe(slow, { slowness: { percent: 250, ageMs: 2_100 } }, 0);
    expect(shareOfSlow(0)).to.be.above(0.3);
  });

  it('does not remember an answer of a slow time as the usual latency', () => {
    observe(other, {}, 0);
    observe(slow, { slowness: { percent: 250, ageMs: 0 } }, 0);
    for (let count = 0; count < 20; count += 1) {
      selector.latencyMeasured(slow, WORK.workClass, 250, 0);
    }
    expect(shareOfSlow(2_001)).to.be.above(0.3);
  });
});

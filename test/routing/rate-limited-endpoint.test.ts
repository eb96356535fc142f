/**
 * Selection of endpoints that name a rate limit: they must be weighed by what they accept, and left alone once they have
 * refused work because of the limit.
 */
import { expect } from 'chai';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const SLOTS = 10;
const WORK = { workClass: 'read', targetLatencyMs: 200 };
const CONTEXT: SelectionContext = {
  zone: 'z1',
  region: 'r1',
  tried: new Set(),
  repeatable: true,
  work: WORK,
  mayReceive: () => true,
};

function endpointNamed(name: string, spec: Record<string, unknown> = {}): Endpoint {
  return resourceSchema.parse(echoEndpoint(name, 1, { slots: SLOTS, ...spec })) as Endpoint;
}

describe('the selection among endpoints of which one names a rate limit', () => {
  const limited = endpointNamed('limited');
  const other = endpointNamed('other');
  let selector: EndpointSelector;

  beforeEach(() => {
    selector = new EndpointSelector(seededRandom(1));
    // Endpoints that the first selection knows have no slow start.
    choose();
  });

  /** The node of the endpoint reports its load, service time and limit. */
  function observe(
    endpoint: Endpoint,
    inFlight: number,
    maxRatePerS: number,
    nowMs = 0,
    meanMs = 100,
  ): void {
    const serviceTime = { workClass: WORK.workClass, meanMs };
    selector.loadObserved(endpoint, { inFlight, draining: false, serviceTime, maxRatePerS }, nowMs);
  }

  function choose(nowMs = 0): string | undefined {
    return selector.choose([limited, other], CONTEXT, nowMs)?.name;
  }

  function shareOfLimited(nowMs = 0): number {
    const chosen = Array.from({ length: 100 }, () => choose(nowMs));
    return chosen.filter((name) => name === 'limited').length / chosen.length;
  }

  it('prefers another one with more load, since the limit keeps only a part of a slot occupied', () => {
    observe(limited, 0, 3.3);
    observe(other, 6, Infinity);
    expect(shareOfLimited()).to.equal(0);
  });

  /** Guards against an endpoint that is never chosen because its load is not a number. */
  it('chooses an endpoint without a limit whose service time is reported as 0 ms', () => {
    const alone = (): string | undefined => selector.choose([other], CONTEXT, 0)?.name;
    observe(other, 0, Infinity, 0, 0);
    expect(alone()).to.equal('other');
    observe(other, 0, 3.3, 0, 0);
    expect(alone()).to.equal('other');
  });

  it('weighs it by its slots again when it names no limit, or was not heard of for a while', () => {
    observe(limited, 0, 3.3);
    observe(limited, 0, Infinity);
    expect(shareOfLimited()).to.be.above(0.3);
    observe(limited, 0, 3.3);
    expect(shareOfLimited(20_000)).to.be.above(0.3);
  });

  it('does not choose it for refused work before the time that it named', () => {
    selector.rateLimited(limited, WORK.workClass, 700, 0);
    expect(shareOfLimited(699)).to.equal(0);
    expect(shareOfLimited(701)).to.be.above(0.3);
  });

  it('tells when the first of them accepts a request only if all have refused one', () => {
    selector.rateLimited(limited, WORK.workClass, 700, 0);
    expect(selector.rateLimitedForMs([limited, other], 100)).to.equal(0);
    selector.rateLimited(other, WORK.workClass, 400, 0);
    expect(selector.rateLimitedForMs([limited, other], 100)).to.equal(300);
  });
});

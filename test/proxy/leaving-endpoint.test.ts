/**
 * Endpoints that have stated that they leave: they must get nothing as a last resort, as a probe or after any time, and
 * the statement must not be taken for one of another process under the same name.
 */
import { expect } from 'chai';
import { incarnationOf } from '../../src/model/incarnation.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { AttemptedEndpoint } from '../../src/proxy/attempted-endpoint.js';
import { DEFAULT_PROXY_LIMITS } from '../../src/proxy/proxy-limits.js';
import type { RequestContext } from '../../src/proxy/request-context.js';
import { RequestServices } from '../../src/proxy/request-services.js';
import { echoEndpoint } from './rig.js';
import { virtualIdentity } from './virtual-identity.js';

const LONG_MS = 3_600_000;
const WORK = { workClass: 'all', targetLatencyMs: 100 };

function endpointBornAt(bornAtMs: number, machine?: string): Endpoint {
  const spec = { bornAtMs, ...(machine !== undefined && { machine }) };
  return resourceSchema.parse(echoEndpoint('e1', 1, spec)) as Endpoint;
}

describe('an endpoint that has stated that it leaves', () => {
  let nowMs: number;
  let services: RequestServices;

  beforeEach(() => {
    nowMs = 0;
    const path = { submit: () => ({ abort: () => undefined, isUnsent: () => true }) };
    services = new RequestServices({
      identity: virtualIdentity('n1'),
      members: {
        status: () => 'alive',
        relayAddress: () => ({ address: '127.0.0.1', port: 1 }),
        count: () => 2,
        machineIds: () => ['n1', 'n2'],
      },
      counters: { add: () => undefined },
      random: () => 0.5,
      scheduler: { now: () => nowMs, schedule: () => () => undefined },
      limits: DEFAULT_PROXY_LIMITS,
      direct: path,
      relay: path,
    });
  });

  function chosen(endpoint: Endpoint): Endpoint | undefined {
    return services.selector.choose(
      [endpoint],
      {
        ...{ zone: 'z1', region: 'r1', tried: new Set<string>(), repeatable: true, work: WORK },
        mayReceive: (one) => services.pathTo(one) !== undefined,
      },
      nowMs,
    );
  }

  for (const machine of [undefined, 'n1', 'n2']) {
    it(`gets nothing at any later time (machine ${machine})`, () => {
      const endpoint = endpointBornAt(1, machine);
      expect(chosen(endpoint)).to.equal(endpoint);
      services.statements.of(endpoint).markLeaving();
      expect(chosen(endpoint)).to.equal(undefined);
      nowMs = LONG_MS;
      expect(chosen(endpoint)).to.equal(undefined);
      expect(chosen(endpointBornAt(1, machine))).to.equal(undefined);
    });
  }

  it('gets no probe after an ejection', () => {
    const endpoint = endpointBornAt(1, 'n2');
    services.selector.attemptStarted(endpoint, nowMs);
    const peer = resourceSchema.parse(echoEndpoint('e2', 2)) as Endpoint;
    services.selector.attemptEnded(endpoint, 'gone', [endpoint, peer], nowMs);
    expect(services.selector.isEjected(endpoint)).to.equal(true);
    nowMs = LONG_MS;
    expect(chosen(endpoint)).to.equal(endpoint);
    services.statements.of(endpoint).markLeaving();
    expect(chosen(endpoint)).to.equal(undefined);
  });

  describe('as reported by the node of the endpoint', () => {
    function observe(endpoint: Endpoint, leaving: Endpoint | undefined): void {
      const match = { service: 'echo', route: { name: 'all' } };
      const attempted = new AttemptedEndpoint({ services, match } as unknown as RequestContext);
      attempted.attemptStarted(endpoint);
      const leavingIncarnation = leaving && incarnationOf(leaving);
      attempted.observeLoad(
        { inFlight: 1, slots: 4, draining: false, leavingIncarnation },
        undefined,
      );
    }

    it('is known to leave', () => {
      const endpoint = endpointBornAt(1, 'n2');
      observe(endpoint, endpoint);
      expect(services.statements.of(endpoint).isLeaving).to.equal(true);
    });

    it('is not meant if the node still knows the process before', () => {
      const endpoint = endpointBornAt(2, 'n2');
      observe(endpoint, endpointBornAt(1, 'n2'));
      expect(services.statements.of(endpoint).isLeaving).to.equal(false);
    });

    it('is not meant by a report without an incarnation', () => {
      const endpoint = endpointBornAt(1, 'n2');
      observe(endpoint, undefined);
      expect(services.statements.of(endpoint).isLeaving).to.equal(false);
    });
  });
});

/**
 * Requests that can't be answered within their target latency any more, but before their deadline.
 *
 * A back end called another service while it worked on a request of its own: 50 ms of work, a target
 * of 232 ms, a deadline of 695 ms. The first node that it was sent to refused it after 217 ms on a slow
 * link. Two more nodes then refused it within 50 ms, though their endpoints had free slots and nobody
 * waited there, and with 430 ms left to the deadline the call failed, and with it the request that the
 * back end was working on. The target decided: the attempts were used up by asking nodes for an answer
 * within a target that had as good as passed, and late work was to start within a fifth of the target
 * from the arrival of the request, which no request can that has spent its target on its first attempt.
 * Of 824 refused attempts in five seconds, 532 were refused by an endpoint with a free slot and nobody
 * waiting, 394 ms before their deadline in the median.
 */
import { expect } from 'chai';
import type { Endpoint, Route } from '../../src/model/resource.js';
import { resourceSchema } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import type { Attempt, AttemptObserver, Call, EndpointPath } from '../../src/proxy/call.js';
import type { EndpointConnector } from '../../src/proxy/endpoint-client.js';
import { EndpointGateway } from '../../src/proxy/endpoint-gateway.js';
import { DEFAULT_PROXY_LIMITS } from '../../src/proxy/proxy-limits.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { RequestRunner } from '../../src/proxy/request-runner.js';
import { RequestServices } from '../../src/proxy/request-services.js';
import { workOf } from '../../src/proxy/request-work.js';
import type { Scheduler } from '../../src/proxy/scheduler.js';
import { RouteTable } from '../../src/routing/route-table.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { echoEndpoint, echoService } from './rig.js';
import { VIRTUAL_RELAY, virtualIdentity } from './virtual-identity.js';

const TARGET_MS = 232;
const DEADLINE_MS = 695;
/** Work of an endpoint on a request. */
const SERVICE_MS = 50;
const SLOTS = 8;
const FAR_MS = 1e9;
/** Way to a node and back over a link that is not slow. */
const LINK_MS = 2;
/** The first is in the zone of the caller's node. */
const ENDPOINT_NAMES = ['e1', 'e2', 'e3', 'e4'];
/** Begins the names of requests that an endpoint never ends. */
const ENDLESS = 'endless';

/** What a caller was told, and when. */
interface Told {
  readonly what: string;
  readonly atMs: number;
}

/** A caller's node and endpoints on machines of their own, under a virtual clock. */
class LateWorld implements Scheduler, EndpointPath, EndpointConnector {
  /** Attempts in order, as `endpoint: started` or `endpoint: CODE`. */
  readonly attempts: string[] = [];
  /** Time that each attempt takes on its way, in order; {@link LINK_MS} beyond these. */
  readonly travelMs: number[] = [];
  private readonly clock = new VirtualScheduler();
  private readonly gateways = new Map<string, EndpointGateway>();
  private readonly snapshot: Snapshot;
  private readonly services: RequestServices;
  private occupied = 0;

  constructor(maxAttempts: number) {
    this.snapshot = snapshotOf(maxAttempts);
    this.services = this.createServices();
    for (const endpoint of this.endpoints) {
      this.gateways.set(endpoint.name, this.createGateway());
      this.submitDirect(endpoint, 'warm-up');
    }
    this.advance(SERVICE_MS);
    this.endpoints.forEach((endpoint) => this.occupy(endpoint.name, 1));
    this.attempts.splice(0);
  }

  /** Takes slots of an endpoint for good. */
  occupy(name: string, count: number): void {
    const endpoint = this.endpoints.find((one) => one.name === name);
    for (let idx = 0; endpoint !== undefined && idx < count; idx += 1) {
      this.occupied += 1;
      this.submitDirect(endpoint, `${ENDLESS}-${this.occupied}`);
    }
  }

  /** One request of a caller, until it is told something. */
  call(): Told {
    const startedAtMs = this.now();
    let told: Told | undefined;
    const tell = (what: string): void => {
      told ??= { what, atMs: this.now() - startedAtMs };
    };
    const match = new RouteTable(this.snapshot).match('', '/', 'GET');
    if (match === undefined) {
      throw new Error('no route');
    }
    const runner = new RequestRunner({
      services: this.services,
      snapshot: this.snapshot,
      match,
      method: 'GET',
      target: '/',
      headers: [],
      retries: undefined,
      response: {
        answer: ({ status }) => tell(`${status}`),
        fail: ({ code }, verdict) => tell(`${code} ${verdict}`),
        breakConnection: () => tell('broken'),
        hasBegun: () => false,
        onClose: () => undefined,
      },
      requestId: 'call',
      attemptPrefix: 'call',
      deadlineAtMs: startedAtMs + DEADLINE_MS,
    });
    runner.start(EMPTY_BODY);
    this.advance(DEADLINE_MS);
    return told ?? { what: 'nothing', atMs: Infinity };
  }

  now(): number {
    return this.clock.nowMs;
  }

  schedule(delayMs: number, action: () => void): () => void {
    let isCancelled = false;
    const run = (): void => (isCancelled ? undefined : action());
    this.clock.schedule(this.now() + delayMs, { run });
    return () => {
      isCancelled = true;
    };
  }

  /** The way from the caller's node. */
  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const travelMs = this.travelMs.shift() ?? LINK_MS;
    let attempt: Attempt | undefined;
    const cancel = this.schedule(travelMs, () => {
      attempt = this.gateways.get(endpoint.name)?.submit(endpoint, call, {
        answered: (answer) => observer.answered(answer),
        failed: (error, load) => {
          this.attempts.push(`${endpoint.name}: ${error.code}`);
          observer.failed(error, load);
        },
      });
    });
    return {
      abort: () => {
        cancel();
        attempt?.abort();
      },
      isUnsent: () => attempt === undefined,
    };
  }

  send: EndpointConnector['send'] = ({ name }, { requestId }, _remainingMs, observer) => {
    if (!requestId.startsWith(ENDLESS)) {
      this.attempts.push(`${name}: started`);
      const body = { kind: 'held', bytes: Buffer.alloc(0) } as const;
      const answer = { status: 200, headers: [], body, contentLength: 0, load: undefined };
      this.schedule(SERVICE_MS, () => observer.answered(answer));
    }
    return { wasSent: () => true, abort: () => undefined };
  };

  cancel: EndpointConnector['cancel'] = (_endpoint, _requestId, _timeoutMs, report) =>
    report('unknown');

  probeDraining: EndpointConnector['probeDraining'] = () => undefined;

  probeListening: EndpointConnector['probeListening'] = () => undefined;

  private get endpoints(): readonly Endpoint[] {
    return this.snapshot.endpointsByService.get('echo') ?? [];
  }

  private advance(byMs: number): void {
    this.clock.runUntil(this.now() + byMs);
  }

  private submitDirect(endpoint: Endpoint, requestId: string): void {
    const call: Call = {
      requestId: `${requestId}-${endpoint.name}`,
      method: 'GET',
      target: '/',
      headers: [],
      body: EMPTY_BODY,
      deadlineAtMs: FAR_MS,
      callerNode: 'other',
      retriesLeft: 0,
      priority: 0,
      workClass: 'all',
    };
    const observer = { answered: () => undefined, failed: () => undefined };
    this.gateways.get(endpoint.name)?.submit(endpoint, call, observer);
  }

  private createGateway(): EndpointGateway {
    return new EndpointGateway({
      client: this,
      counters: { add: () => undefined },
      scheduler: this,
      maxQueuedPerEndpoint: DEFAULT_PROXY_LIMITS.maxQueuedPerEndpoint,
      cancelLead: DEFAULT_PROXY_LIMITS,
      logStateChange: () => undefined,
      snapshot: () => this.snapshot,
      slotsFor: () => SLOTS,
    });
  }

  private createServices(): RequestServices {
    return new RequestServices({
      identity: virtualIdentity('caller'),
      members: {
        status: () => 'alive',
        relayAddress: () => VIRTUAL_RELAY,
        count: () => ENDPOINT_NAMES.length + 1,
        machineIds: () => [],
      },
      counters: { add: () => undefined },
      random: () => 0,
      scheduler: this,
      limits: { ...DEFAULT_PROXY_LIMITS, maxRedirects: 1 },
      direct: this,
      relay: this,
    });
  }
}

function snapshotOf(maxAttempts: number): Snapshot {
  const endpoints = ENDPOINT_NAMES.map((name, idx) =>
    echoEndpoint(name, 1_000 + idx, {
      machine: `m-${name}`,
      slots: SLOTS,
      zone: idx === 0 ? 'z1' : 'z2',
    }),
  );
  const route = { targetLatencyMs: TARGET_MS, maxAttempts };
  const resources = [...echoService(route, { retryBudgetPercent: 100 }), ...endpoints];
  return buildSnapshot(
    NO_SNAPSHOT_VERSION,
    resources.map((resource) => resourceSchema.parse(resource)),
  );
}

function routeOf(spec: Record<string, unknown>): Route {
  const [, route] = echoService(spec);
  return resourceSchema.parse(route) as Route;
}

describe('requests that can only be answered late', () => {
  it('get a free slot before their deadline when the first attempt has used up their target', () => {
    const world = new LateWorld(2);
    world.travelMs.push(217);
    const { what, atMs } = world.call();
    expect(what, world.attempts.join(', ')).to.equal('200');
    expect(atMs).to.be.lessThan(DEADLINE_MS);
    expect(world.attempts).to.have.length(2);
  });

  it('are sent on once more when their attempts were spent on answers in time', () => {
    const world = new LateWorld(1);
    world.occupy('e1', 3 * SLOTS);
    world.travelMs.push(LINK_MS, 185);
    const { what } = world.call();
    expect(what, world.attempts.join(', ')).to.equal('200');
    expect(world.attempts).to.deep.equal([
      'e1: OVERLOADED',
      'e2: CANNOT_FINISH_IN_TIME',
      'e3: started',
    ]);
  });

  it('go where a slot may be free, and not again to the nearest endpoint that is known to be full', () => {
    const world = new LateWorld(2);
    world.occupy('e1', SLOTS);
    world.travelMs.push(217);
    const { what } = world.call();
    expect(what, world.attempts.join(', ')).to.equal('200');
    expect(world.attempts).to.deep.equal(['e1: CANNOT_FINISH_IN_TIME', 'e2: started']);
  });

  it('are refused soon after their target where no slot comes free', () => {
    const world = new LateWorld(2);
    ENDPOINT_NAMES.forEach((name) => world.occupy(name, SLOTS - 1));
    world.travelMs.push(217);
    const { what, atMs } = world.call();
    expect(what).to.equal('CANNOT_FINISH_IN_TIME not-run');
    expect(atMs).to.be.lessThan(TARGET_MS + 200);
  });

  it('rank behind all work of their priority that can be in time, and before what is less urgent', () => {
    const nowMs = 10_000;
    for (const priority of [0, 1, 99]) {
      const late = workOf(routeOf({ priority, targetLatencyMs: 1 }), 0, nowMs, true);
      const slowest = workOf(routeOf({ priority, targetLatencyMs: 600_000 }), 0, nowMs, false);
      const next = workOf(routeOf({ priority: priority + 1, targetLatencyMs: 1 }), 0, nowMs, false);
      expect(late.priority).to.be.greaterThan(slowest.priority);
      expect(late.priority).to.be.lessThan(next.priority);
      expect(late.targetAtMs).to.equal(undefined);
    }
  });

  it('wait for a bounded time from each attempt', () => {
    const nowMs = 10_000;
    const late = workOf(routeOf({ priority: 0, targetLatencyMs: 250 }), 0, nowMs, true);
    expect(late.startByMs).to.be.within(nowMs + 1, nowMs + 100);
  });
});

/**
 * Guards against confusing two processes of an endpoint that restarts under the same name while its node has
 * running and queued requests. Queued requests have not run and are sent to the new process, all of whose slots are
 * free. Running requests are lost with the previous process, and their late completions must not be attributed to
 * the new one.
 */
import { expect } from 'chai';
import type { FingerprintedParts } from '../../src/containment/request-fingerprint.js';
import { NO_CONTAINMENT } from '../../src/containment/containment.js';
import { resourceSchema, type Endpoint, type Resource } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import type { Attempt, Call } from '../../src/proxy/call.js';
import type { EndpointObserver, EndpointConnector } from '../../src/proxy/endpoint-client.js';
import { EndpointGateway } from '../../src/proxy/endpoint-gateway.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { echoEndpoint, echoService } from './rig.js';

const SLOTS = 2;
const DEADLINE_MS = 5_000;
const UPKEEP_MS = 500;
/** Time limit for the decision about a lost request, in milliseconds. */
const LOSS_DECISION_MS = 10;
/** Time for which the slot of a lost request stays occupied, in milliseconds. */
const SLOT_RELEASE_DELAY_MS = 20;

/** A request that was sent to the endpoint. */
interface SentRequest {
  readonly bornAtMs: number | undefined;
  readonly requestId: string;
  readonly observer: EndpointObserver;
}

/** The gateway of the node of endpoint `e1`, under a virtual clock. */
class World implements EndpointConnector {
  readonly sent: SentRequest[] = [];
  /** Outcomes that were reported to the callers, by request ID. */
  readonly outcomes: Record<string, string> = {};
  /** IDs of the requests that were blamed for each end of the endpoint process. */
  readonly blamedRequests: string[][] = [];
  isListening: boolean | undefined = true;
  current: Endpoint;
  private readonly clock = new VirtualScheduler();
  private snapshot: Snapshot;
  readonly gateway: EndpointGateway;

  constructor() {
    this.current = endpointBornAt(1_000);
    this.snapshot = snapshotOf([this.current]);
    const containment = {
      ...NO_CONTAINMENT,
      endpointEnded: (_name: string, calls: readonly FingerprintedParts[]) =>
        this.blamedRequests.push(calls.map((one) => (one as Call).requestId)),
    };
    this.gateway = new EndpointGateway({
      containment,
      client: this,
      counters: { add: () => undefined },
      scheduler: {
        now: () => this.clock.nowMs,
        schedule: (delayMs, action) => this.schedule(delayMs, action),
      },
      maxQueuedPerEndpoint: 64,
      cancelLead: {
        cancelLeadShare: 0.1,
        maxCancelLeadMs: 10,
        slotFreedAfterCloseMs: SLOT_RELEASE_DELAY_MS,
      },
      logStateChange: () => undefined,
      snapshot: () => this.snapshot,
      slotsFor: ({ spec }) => spec.slots,
    });
  }

  /** Replaces the configuration entry of the endpoint by one with `bornAtMs`. */
  restartEndpoint(bornAtMs: number | undefined, spec: Record<string, unknown> = {}): Endpoint {
    this.current = endpointBornAt(bornAtMs, spec);
    this.configure([this.current]);
    return this.current;
  }

  configure(endpoints: readonly Endpoint[]): void {
    this.snapshot = snapshotOf(endpoints);
  }

  submit(requestId: string, endpoint = this.current): Attempt {
    return this.gateway.submit(endpoint, callOf(requestId), {
      answered: ({ status }) => {
        this.outcomes[requestId] = String(status);
      },
      failed: ({ code, verdict }) => {
        this.outcomes[requestId] = `${code} ${verdict}`;
      },
    });
  }

  /** IDs of the requests that were sent to the incarnation. */
  sentTo(bornAtMs: number | undefined): string[] {
    return this.sent.filter((one) => one.bornAtMs === bornAtMs).map(({ requestId }) => requestId);
  }

  answer(requestId: string): void {
    const answer = { status: 200, headers: [], contentLength: 0, load: undefined };
    const body = { kind: 'held', bytes: Buffer.alloc(0) } as const;
    this.observerOf(requestId).answered({ ...answer, body });
  }

  lose(requestId: string): void {
    this.observerOf(requestId).failed('lost');
  }

  advance(byMs: number): void {
    this.clock.runUntil(this.clock.nowMs + byMs);
  }

  send(
    { spec }: Endpoint,
    { requestId }: Call,
    _remainingMs: number,
    observer: EndpointObserver,
  ): ReturnType<EndpointConnector['send']> {
    this.sent.push({ bornAtMs: spec.bornAtMs, requestId, observer });
    return { wasSent: () => true, abort: () => undefined };
  }

  cancel(...[, , , report]: Parameters<EndpointConnector['cancel']>): void {
    report('unconfirmed');
  }

  probeDraining(): void {
    throw new Error('no endpoint reported that it is draining');
  }

  probeListening(_endpoint: Endpoint, report: (isListening: boolean | undefined) => void): void {
    report(this.isListening);
  }

  private observerOf(requestId: string): EndpointObserver {
    const sent = this.sent.find((one) => one.requestId === requestId);
    return sent?.observer ?? expect.fail(`${requestId} was not sent`);
  }

  private schedule(delayMs: number, action: () => void): () => void {
    let isCancelled = false;
    const run = (): void => (isCancelled ? undefined : action());
    this.clock.schedule(this.clock.nowMs + delayMs, { run });
    return () => {
      isCancelled = true;
    };
  }
}

function endpointBornAt(
  bornAtMs: number | undefined,
  spec: Record<string, unknown> = {},
): Endpoint {
  const birth = bornAtMs === undefined ? {} : { bornAtMs };
  const fullSpec = { machine: 'n1', slots: SLOTS, ...birth, ...spec };
  return resourceSchema.parse(echoEndpoint('e1', 1, fullSpec)) as Endpoint;
}

function snapshotOf(endpoints: readonly Endpoint[]): Snapshot {
  const service = echoService().map((raw): Resource => resourceSchema.parse(raw));
  return buildSnapshot(NO_SNAPSHOT_VERSION, [...service, ...endpoints]);
}

function callOf(requestId: string): Call {
  return {
    requestId,
    method: 'GET',
    target: '/',
    headers: [],
    body: EMPTY_BODY,
    deadlineAtMs: DEADLINE_MS,
    callerNode: 'n2',
    retriesLeft: 0,
    priority: 0,
    workClass: 'all',
  };
}

describe('the node of an endpoint that restarts under the same name', () => {
  let world: World;

  beforeEach(() => {
    world = new World();
    ['run-1', 'run-2', 'wait-1', 'wait-2'].forEach((id) => world.submit(id));
    expect(world.sentTo(1_000)).to.deep.equal(['run-1', 'run-2']);
  });

  it('sends queued requests to the new process promptly, without a further request', () => {
    world.restartEndpoint(2_000);
    world.advance(UPKEEP_MS);
    world.gateway.reconcile();
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
    ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
    expect(world.outcomes).to.deep.equal({ 'wait-1': '200', 'wait-2': '200' });
  });

  it('sends queued requests in order, before a new request', () => {
    world.restartEndpoint(2_000);
    world.submit('new');
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
    world.answer('wait-1');
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2', 'new']);
  });

  it('sends a request for the previous process to the new one', () => {
    const before = world.current;
    world.restartEndpoint(2_000);
    world.gateway.reconcile();
    ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
    world.submit('late', before);
    expect(world.sentTo(2_000)).to.include('late');
  });

  it('reports may-have-run for running requests once they are lost', () => {
    world.restartEndpoint(2_000);
    world.gateway.reconcile();
    expect(world.outcomes).to.deep.equal({});
    ['run-1', 'run-2'].forEach((id) => world.lose(id));
    world.advance(LOSS_DECISION_MS);
    expect(world.outcomes).to.deep.equal({
      'run-1': 'ENDPOINT_ENDED may-have-run',
      'run-2': 'ENDPOINT_ENDED may-have-run',
    });
  });

  it('accepts an answer of the previous process that is still in transit', () => {
    world.restartEndpoint(2_000);
    world.gateway.reconcile();
    world.answer('run-1');
    expect(world.outcomes).to.deep.equal({ 'run-1': '200' });
  });

  it('does not report the load of the previous process as that of the new one', () => {
    world.advance(100);
    world.answer('run-1');
    const reborn = world.restartEndpoint(2_000);
    world.gateway.reconcile();
    const { slots, draining, failureShare, serviceMs } = world.gateway.load(reborn, 'all');
    expect({ slots, draining, failureShare, serviceMs }).to.deep.equal({
      slots: SLOTS,
      draining: false,
      failureShare: 0,
      serviceMs: undefined,
    });
    world.lose('run-2');
    world.advance(LOSS_DECISION_MS);
    expect(world.gateway.load(reborn, 'all').failureShare).to.equal(0);
  });

  it('keeps the reservations of bodies in transit across the restart, until they are cancelled', () => {
    const before = world.current;
    const arrival = { beginsAtMs: 0, endsAtMs: 0 };
    expect(world.gateway.reserve(before, callOf('body-1'), arrival)).to.equal(undefined);
    expect(world.gateway.reserve(before, callOf('body-2'), arrival)).to.equal(undefined);
    const reborn = world.restartEndpoint(2_000);
    world.gateway.reconcile();
    expect(world.gateway.reserve(reborn, callOf('other-1'), arrival)).to.equal(undefined);
    expect(world.gateway.reserve(reborn, callOf('other-2'), arrival)).to.equal(undefined);
    expect(world.gateway.reserve(reborn, callOf('other-3'), arrival)?.code).to.equal('OVERLOADED');
    world.gateway.unreserve(before, callOf('body-1'));
    expect(world.gateway.reserve(reborn, callOf('other-3'), arrival)).to.equal(undefined);
    world.submit('body-2', before);
    expect(world.outcomes['body-2']).to.equal(undefined);
  });

  it('fails queued requests with not-run if the new process is on another machine', () => {
    world.restartEndpoint(2_000, { machine: 'n2', address: '127.0.0.2' });
    world.gateway.reconcile();
    expect(world.sentTo(2_000)).to.deep.equal([]);
    expect(world.outcomes).to.deep.equal({
      'wait-1': 'ENDPOINT_DRAINING not-run',
      'wait-2': 'ENDPOINT_DRAINING not-run',
    });
  });

  it('sends queued requests to another port of the machine', () => {
    world.restartEndpoint(2_000, { port: 2 });
    world.gateway.reconcile();
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
  });

  it('does not apply the drain of the previous process to the new one', () => {
    world.configure([endpointBornAt(1_000, { state: 'draining' })]);
    world.gateway.reconcile();
    expect(world.outcomes).to.have.keys(['wait-1', 'wait-2']);
    world.restartEndpoint(2_000);
    world.submit('new');
    expect(world.sentTo(2_000)).to.deep.equal(['new']);
  });

  it('does not send a queued request that is aborted after the restart', () => {
    const waiting = world.submit('wait-3');
    world.restartEndpoint(2_000);
    world.gateway.reconcile();
    waiting.abort();
    ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
  });

  it('sends queued requests to the latest process after several restarts', () => {
    world.restartEndpoint(2_000);
    world.restartEndpoint(3_000);
    world.submit('new');
    expect(world.sentTo(2_000)).to.deep.equal([]);
    expect(world.sentTo(3_000)).to.deep.equal(['wait-1', 'wait-2']);
  });

  it('still refuses queued requests that cannot finish by their deadline', () => {
    world.restartEndpoint(2_000);
    world.gateway.reconcile();
    ['more-1', 'more-2'].forEach((id) => world.submit(id));
    world.advance(DEADLINE_MS);
    expect(world.outcomes).to.include({ 'more-1': 'CANNOT_FINISH_IN_TIME not-run' });
  });

  it('removes the previous process once none of its requests are in flight', () => {
    const before = world.current;
    world.restartEndpoint(2_000);
    world.gateway.reconcile();
    ['wait-1', 'wait-2', 'run-1', 'run-2'].forEach((id) => world.answer(id));
    world.gateway.reconcile();
    expect(world.gateway.inFlight).to.equal(0);
    expect(world.gateway.size).to.equal(1);
    world.submit('late', before);
    expect(world.sentTo(2_000)).to.include('late');
  });

  it('does not treat an entry without a start time as the end of the process', () => {
    world.restartEndpoint(undefined);
    world.gateway.reconcile();
    expect(world.sentTo(undefined)).to.deep.equal(['wait-1', 'wait-2']);
    world.lose('run-1');
    world.lose('run-2');
    world.advance(LOSS_DECISION_MS);
    expect(world.outcomes['run-1']).to.equal('CONNECTION_LOST may-have-run');
    expect(world.blamedRequests).to.deep.equal([]);
  });

  describe('if the endpoint listens again before it is probed', () => {
    it('detects from the restart that the process ended while requests were running', () => {
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(LOSS_DECISION_MS);
      expect(world.blamedRequests).to.deep.equal([]);
      world.restartEndpoint(2_000);
      world.gateway.reconcile();
      expect(world.blamedRequests).to.deep.equal([['run-1', 'run-2']]);
    });

    it('detects it even if no requests are in flight any more', () => {
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(LOSS_DECISION_MS + SLOT_RELEASE_DELAY_MS);
      ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
      expect(world.gateway.inFlight).to.equal(0);
      world.restartEndpoint(2_000);
      world.gateway.reconcile();
      expect(world.blamedRequests).to.deep.equal([['run-1', 'run-2']]);
    });

    it('draws no conclusion from a restart long after the loss', () => {
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(4_000);
      world.restartEndpoint(2_000);
      world.gateway.reconcile();
      expect(world.blamedRequests).to.deep.equal([]);
    });

    it('draws no conclusion about an endpoint that was draining', () => {
      world.configure([endpointBornAt(1_000, { state: 'draining' })]);
      world.gateway.reconcile();
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(LOSS_DECISION_MS);
      world.restartEndpoint(2_000);
      world.gateway.reconcile();
      expect(world.blamedRequests).to.deep.equal([]);
    });
  });

  it('sends nothing through a gate created after its endpoint was removed from the configuration', () => {
    const world = new World();
    const { current } = world;
    world.configure([]);
    world.submit('late', current);
    expect(world.sent).to.have.length(0);
    expect(world.outcomes.late).to.equal('ENDPOINT_DRAINING not-run');
  });
});

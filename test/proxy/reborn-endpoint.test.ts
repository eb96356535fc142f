/**
 * A back end starts again under its name while requests run and wait at the node beside it. Those that wait
 * have not run and belong to the new process, whose slots are all free; those that ran are lost with the
 * old one, and their late ends must not be taken for its own.
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
/** A loss is judged within this time, in milliseconds. */
const JUDGED_MS = 10;
/** The slot of a lost request is held for so long, in milliseconds. */
const SLOT_HELD_MS = 20;

/** A request as the endpoint's port got it. */
interface Sent {
  readonly bornAtMs: number | undefined;
  readonly requestId: string;
  readonly observer: EndpointObserver;
}

/** The node beside the endpoint `e1`, under a virtual clock. */
class World implements EndpointConnector {
  readonly sent: Sent[] = [];
  /** What the callers were told, by request. */
  readonly told: Record<string, string> = {};
  /** Requests that were blamed for each end. */
  readonly ends: string[][] = [];
  isListening: boolean | undefined = true;
  current: Endpoint;
  private readonly clock = new VirtualScheduler();
  private snapshot: Snapshot;
  readonly gateway: EndpointGateway;

  constructor() {
    this.current = endpointBorn(1_000);
    this.snapshot = snapshotOf([this.current]);
    const containment = {
      ...NO_CONTAINMENT,
      endpointEnded: (_name: string, calls: readonly FingerprintedParts[]) =>
        this.ends.push(calls.map((one) => (one as Call).requestId)),
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
        slotFreedAfterCloseMs: SLOT_HELD_MS,
      },
      logStateChange: () => undefined,
      snapshot: () => this.snapshot,
      slotsFor: ({ spec }) => spec.slots,
    });
  }

  /** The endpoint's entry says that it was born at `bornAtMs`. */
  rebear(bornAtMs: number | undefined, spec: Record<string, unknown> = {}): Endpoint {
    this.current = endpointBorn(bornAtMs, spec);
    this.configure([this.current]);
    return this.current;
  }

  configure(endpoints: readonly Endpoint[]): void {
    this.snapshot = snapshotOf(endpoints);
  }

  submit(requestId: string, endpoint = this.current): Attempt {
    return this.gateway.submit(endpoint, callOf(requestId), {
      answered: ({ status }) => {
        this.told[requestId] = String(status);
      },
      failed: ({ code, verdict }) => {
        this.told[requestId] = `${code} ${verdict}`;
      },
    });
  }

  /** Identities of what was sent to the incarnation. */
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
    throw new Error('no endpoint said that it drains');
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

function endpointBorn(bornAtMs: number | undefined, spec: Record<string, unknown> = {}): Endpoint {
  const birth = bornAtMs === undefined ? {} : { bornAtMs };
  const whole = { machine: 'n1', slots: SLOTS, ...birth, ...spec };
  return resourceSchema.parse(echoEndpoint('e1', 1, whole)) as Endpoint;
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

describe('the node beside an endpoint that starts again under its name', () => {
  let world: World;

  beforeEach(() => {
    world = new World();
    ['run-1', 'run-2', 'wait-1', 'wait-2'].forEach((id) => world.submit(id));
    expect(world.sentTo(1_000)).to.deep.equal(['run-1', 'run-2']);
  });

  it('sends what waits to the new process, soon and without another request', () => {
    world.rebear(2_000);
    world.advance(UPKEEP_MS);
    world.gateway.reconcile();
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
    ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
    expect(world.told).to.deep.equal({ 'wait-1': '200', 'wait-2': '200' });
  });

  it('sends what waited before a new request, in their order', () => {
    world.rebear(2_000);
    world.submit('new');
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
    world.answer('wait-1');
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2', 'new']);
  });

  it('sends a request that was meant for the one before to the new process', () => {
    const before = world.current;
    world.rebear(2_000);
    world.gateway.reconcile();
    ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
    world.submit('late', before);
    expect(world.sentTo(2_000)).to.include('late');
  });

  it('tells of what ran that it may have run, once it is lost', () => {
    world.rebear(2_000);
    world.gateway.reconcile();
    expect(world.told).to.deep.equal({});
    ['run-1', 'run-2'].forEach((id) => world.lose(id));
    world.advance(JUDGED_MS);
    expect(world.told).to.deep.equal({
      'run-1': 'ENDPOINT_ENDED may-have-run',
      'run-2': 'ENDPOINT_ENDED may-have-run',
    });
  });

  it('takes an answer that is still on its way', () => {
    world.rebear(2_000);
    world.gateway.reconcile();
    world.answer('run-1');
    expect(world.told).to.deep.equal({ 'run-1': '200' });
  });

  it('tells nothing of the old process as the load of the new one', () => {
    world.advance(100);
    world.answer('run-1');
    const reborn = world.rebear(2_000);
    world.gateway.reconcile();
    const { slots, draining, failureShare, serviceMs } = world.gateway.load(reborn, 'all');
    expect({ slots, draining, failureShare, serviceMs }).to.deep.equal({
      slots: SLOTS,
      draining: false,
      failureShare: 0,
      serviceMs: undefined,
    });
    world.lose('run-2');
    world.advance(JUDGED_MS);
    expect(world.gateway.load(reborn, 'all').failureShare).to.equal(0);
  });

  it('keeps a place for a body that is on its way, and gives it up where the body is', () => {
    const before = world.current;
    const arrival = { beginsAtMs: 0, endsAtMs: 0 };
    expect(world.gateway.reserve(before, callOf('body-1'), arrival)).to.equal(undefined);
    expect(world.gateway.reserve(before, callOf('body-2'), arrival)).to.equal(undefined);
    const reborn = world.rebear(2_000);
    world.gateway.reconcile();
    expect(world.gateway.reserve(reborn, callOf('other-1'), arrival)).to.equal(undefined);
    expect(world.gateway.reserve(reborn, callOf('other-2'), arrival)).to.equal(undefined);
    expect(world.gateway.reserve(reborn, callOf('other-3'), arrival)?.code).to.equal('OVERLOADED');
    world.gateway.unreserve(before, callOf('body-1'));
    expect(world.gateway.reserve(reborn, callOf('other-3'), arrival)).to.equal(undefined);
    world.submit('body-2', before);
    expect(world.told['body-2']).to.equal(undefined);
  });

  it('gives up what waits, which has not run, where the new process is on another machine', () => {
    world.rebear(2_000, { machine: 'n2', address: '127.0.0.2' });
    world.gateway.reconcile();
    expect(world.sentTo(2_000)).to.deep.equal([]);
    expect(world.told).to.deep.equal({
      'wait-1': 'ENDPOINT_DRAINING not-run',
      'wait-2': 'ENDPOINT_DRAINING not-run',
    });
  });

  it('sends what waits to another port of the machine', () => {
    world.rebear(2_000, { port: 2 });
    world.gateway.reconcile();
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
  });

  it('is not drained by the drain of the one before', () => {
    world.configure([endpointBorn(1_000, { state: 'draining' })]);
    world.gateway.reconcile();
    expect(world.told).to.have.keys(['wait-1', 'wait-2']);
    world.rebear(2_000);
    world.submit('new');
    expect(world.sentTo(2_000)).to.deep.equal(['new']);
  });

  it('lets go of a request that waited and is given up after the rebirth', () => {
    const waiting = world.submit('wait-3');
    world.rebear(2_000);
    world.gateway.reconcile();
    waiting.abort();
    ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
    expect(world.sentTo(2_000)).to.deep.equal(['wait-1', 'wait-2']);
  });

  it('sends on through several rebirths', () => {
    world.rebear(2_000);
    world.rebear(3_000);
    world.submit('new');
    expect(world.sentTo(2_000)).to.deep.equal([]);
    expect(world.sentTo(3_000)).to.deep.equal(['wait-1', 'wait-2']);
  });

  it('refuses what waits in time, as before', () => {
    world.rebear(2_000);
    world.gateway.reconcile();
    ['more-1', 'more-2'].forEach((id) => world.submit(id));
    world.advance(DEADLINE_MS);
    expect(world.told).to.include({ 'more-1': 'CANNOT_FINISH_IN_TIME not-run' });
  });

  it('forgets the one before once nothing of it is under way', () => {
    const before = world.current;
    world.rebear(2_000);
    world.gateway.reconcile();
    ['wait-1', 'wait-2', 'run-1', 'run-2'].forEach((id) => world.answer(id));
    world.gateway.reconcile();
    expect(world.gateway.inFlight).to.equal(0);
    expect(world.gateway.size).to.equal(1);
    world.submit('late', before);
    expect(world.sentTo(2_000)).to.include('late');
  });

  it('takes no entry that leaves the birth out for the end of the process', () => {
    world.rebear(undefined);
    world.gateway.reconcile();
    expect(world.sentTo(undefined)).to.deep.equal(['wait-1', 'wait-2']);
    world.lose('run-1');
    world.lose('run-2');
    world.advance(JUDGED_MS);
    expect(world.told['run-1']).to.equal('CONNECTION_LOST may-have-run');
    expect(world.ends).to.deep.equal([]);
  });

  describe('where it listened again before anyone could ask', () => {
    it('learns from the rebirth that the process had ended under what ran', () => {
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(JUDGED_MS);
      expect(world.ends).to.deep.equal([]);
      world.rebear(2_000);
      world.gateway.reconcile();
      expect(world.ends).to.deep.equal([['run-1', 'run-2']]);
    });

    it('learns it though nothing is under way any more', () => {
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(JUDGED_MS + SLOT_HELD_MS);
      ['wait-1', 'wait-2'].forEach((id) => world.answer(id));
      expect(world.gateway.inFlight).to.equal(0);
      world.rebear(2_000);
      world.gateway.reconcile();
      expect(world.ends).to.deep.equal([['run-1', 'run-2']]);
    });

    it('learns nothing from a rebirth long after', () => {
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(4_000);
      world.rebear(2_000);
      world.gateway.reconcile();
      expect(world.ends).to.deep.equal([]);
    });

    it('learns nothing of an endpoint that was draining', () => {
      world.configure([endpointBorn(1_000, { state: 'draining' })]);
      world.gateway.reconcile();
      ['run-1', 'run-2'].forEach((id) => world.lose(id));
      world.advance(JUDGED_MS);
      world.rebear(2_000);
      world.gateway.reconcile();
      expect(world.ends).to.deep.equal([]);
    });
  });

  it('is sent nothing at a gate that is only made after its endpoint has gone from the configuration', () => {
    const world = new World();
    const { current } = world;
    world.configure([]);
    world.submit('late', current);
    expect(world.sent).to.have.length(0);
    expect(world.told.late).to.equal('ENDPOINT_DRAINING not-run');
  });
});

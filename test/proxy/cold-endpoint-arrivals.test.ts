/**
 * Guards against more arrivals at a cold endpoint within one second than its service allows. Requests that are held
 * behind their dispatch, by a connection, the input barrier or their body, arrive beside those of the next second; a
 * gate that is dropped with its entry forgets what it sent; an old entry ends a cold period that it does not know of.
 */
import { expect } from 'chai';
import * as fc from 'fast-check';
import { resourceSchema, type Endpoint, type Resource } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import type { Call } from '../../src/proxy/call.js';
import type { EndpointConnector, EndpointObserver } from '../../src/proxy/endpoint-client.js';
import { EndpointGateway } from '../../src/proxy/endpoint-gateway.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { VirtualProcess } from '../../tools/emulator/virtual-process.js';
import { echoEndpoint } from './rig.js';

const SECOND_MS = 1_000;
const COLD_START = { durationMs: 3_000, ratePerS: 8.4, maxInSecond: 20.6 };
const SLOTS = 4;
const WORK_MS = 20;
const DEADLINE_MS = 5_000;
/** Longer than any test sequence. */
const COLD_FOR_MS = 600_000;
/** Time within which a closed connection may still deliver what it carried, in milliseconds. */
const MAX_TRANSIT_MS = 100;
const ZONE = 'z1';

/** Where requests are held between their dispatch and their arrival: before they are written, or on their way. */
type Hold = 'unwritten' | 'in-transit';

/** The node beside one endpoint, under a virtual clock. */
class ColdEndpointWorld implements EndpointConnector {
  readonly arrivedAtMs: number[] = [];
  holdMs = 0;
  hold: Hold = 'unwritten';
  private readonly clock = new VirtualScheduler();
  private readonly process = new VirtualProcess(this.clock);
  private readonly gateway: EndpointGateway;
  private entry: Endpoint | undefined;
  private isEvacuated = false;
  private snapshot: Snapshot;
  private offeredCount = 0;

  constructor(coldForMs: number) {
    this.entry = entryOf(coldForMs);
    this.snapshot = this.buildSnapshot();
    this.gateway = new EndpointGateway({
      client: this,
      counters: { add: () => undefined },
      scheduler: this.process,
      maxQueuedPerEndpoint: 64,
      cancelLead: { cancelLeadShare: 0, maxCancelLeadMs: 50, slotFreedAfterCloseMs: 20 },
      logStateChange: () => undefined,
      snapshot: () => this.snapshot,
      slotsFor: ({ spec }) => spec.slots,
    });
    this.gateway.configureLocal([this.entry]);
    this.advance(2 * SECOND_MS);
  }

  /** Replaces the entry by one that was just written; none if the argument is undefined. */
  publish(coldForMs: number | undefined): void {
    this.entry = coldForMs === undefined ? undefined : entryOf(coldForMs);
    this.apply();
  }

  setEvacuated(isEvacuated: boolean): void {
    this.isEvacuated = isEvacuated;
    this.apply();
  }

  offer(count: number): void {
    const { entry } = this;
    for (let offered = 0; entry !== undefined && offered < count; offered += 1) {
      this.offeredCount += 1;
      this.gateway.submit(entry, this.callOf(`r${this.offeredCount}`), {
        answered: () => undefined,
        failed: () => undefined,
      });
    }
  }

  /** Reserves a place for a request whose body is expected in `bodyMs`; the reservation is withdrawn at once. */
  reserve(bodyMs: number): void {
    const { entry, nowMs } = this;
    if (entry !== undefined) {
      this.offeredCount += 1;
      const call = this.callOf(`u${this.offeredCount}`);
      this.gateway.reserve(entry, call, { beginsAtMs: nowMs, endsAtMs: nowMs + bodyMs });
      this.gateway.unreserve(entry, call);
    }
  }

  /** Offers a request each `gapMs` for `forMs`. */
  load(forMs: number, gapMs = 5): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += gapMs) {
      this.offer(1);
      this.advance(gapMs);
    }
  }

  advance(byMs: number): void {
    this.clock.runUntil(this.clock.nowMs + byMs);
    this.gateway.tick();
  }

  get nowMs(): number {
    return this.clock.nowMs;
  }

  /** Most arrivals within any second from `fromMs`. */
  busiestSecond(fromMs = 0): number {
    const times = this.arrivedAtMs.filter((atMs) => atMs >= fromMs).sort((a, b) => a - b);
    const counts = times.map(
      (first) => times.filter((at) => at >= first && at < first + SECOND_MS).length,
    );
    return Math.max(0, ...counts);
  }

  send(
    _endpoint: Endpoint,
    _call: Call,
    _remainingMs: number,
    observer: EndpointObserver,
  ): ReturnType<EndpointConnector['send']> {
    const { holdMs, hold } = this;
    let wasWritten = hold === 'in-transit';
    const arrive = (): void => {
      wasWritten = true;
      this.arrivedAtMs.push(this.clock.nowMs);
      cancelWork = this.process.schedule(WORK_MS, () => answer(observer));
    };
    const cancelArrival = this.process.schedule(holdMs, arrive);
    const arrivesAtMs = this.clock.nowMs + holdMs;
    let cancelWork = (): void => undefined;
    const abort = (): void => {
      cancelWork();
      const isOnItsWay = wasWritten && arrivesAtMs > this.clock.nowMs;
      if (!isOnItsWay || arrivesAtMs > this.clock.nowMs + MAX_TRANSIT_MS) {
        cancelArrival();
      }
    };
    return { wasSent: () => wasWritten, abort };
  }

  cancel(...[, , , report]: Parameters<EndpointConnector['cancel']>): void {
    report('unconfirmed');
  }

  probeDraining(): void {
    throw new Error('the endpoint has not reported that it is draining');
  }

  probeListening(_endpoint: Endpoint, report: (isListening: boolean | undefined) => void): void {
    report(true);
  }

  private apply(): void {
    this.snapshot = this.buildSnapshot();
    this.gateway.configureLocal(this.entry === undefined ? [] : [this.entry]);
  }

  private buildSnapshot(): Snapshot {
    const service = { kind: 'service', name: 'echo', spec: { coldStart: COLD_START } };
    const evacuation = { kind: 'evacuation', name: ZONE, spec: {} };
    const resources = [service, ...(this.isEvacuated ? [evacuation] : [])].map((raw): Resource =>
      resourceSchema.parse(raw),
    );
    const entries = this.entry === undefined ? [] : [this.entry];
    return buildSnapshot(NO_SNAPSHOT_VERSION, [...resources, ...entries]);
  }

  private callOf(requestId: string): Call {
    return {
      requestId,
      method: 'GET',
      target: '/',
      headers: [],
      body: EMPTY_BODY,
      deadlineAtMs: this.clock.nowMs + DEADLINE_MS,
      callerNode: 'n2',
      retriesLeft: 0,
      priority: 0,
      workClass: 'all',
    };
  }
}

function answer(observer: EndpointObserver): void {
  const body = { kind: 'held', bytes: Buffer.alloc(0) } as const;
  observer.answered({ status: 200, headers: [], contentLength: 0, load: undefined, body });
}

function entryOf(coldForMs: number): Endpoint {
  const spec = { machine: 'n1', zone: ZONE, slots: SLOTS, coldForMs };
  return resourceSchema.parse(echoEndpoint('e1', 1, spec)) as Endpoint;
}

/** Events at one endpoint that is cold throughout. */
type Step =
  | { readonly kind: 'load'; readonly forMs: number }
  | { readonly kind: 'wait'; readonly forMs: number }
  | { readonly kind: 'hold'; readonly hold: Hold; readonly forMs: number }
  | { readonly kind: 'reserve'; readonly bodyMs: number }
  | { readonly kind: 'relist'; readonly afterMs: number };

const durations = fc.integer({ min: 0, max: 900 });
const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('load' as const), forMs: durations }),
    fc.record({ kind: fc.constant('wait' as const), forMs: durations }),
    fc.record({
      kind: fc.constant('hold' as const),
      hold: fc.constantFrom<Hold>('unwritten', 'in-transit'),
      forMs: fc.integer({ min: 0, max: 600 }),
    }),
    fc.record({
      kind: fc.constant('reserve' as const),
      bodyMs: fc.integer({ min: 0, max: 4_000 }),
    }),
    fc.record({ kind: fc.constant('relist' as const), afterMs: durations }),
  ),
  { minLength: 4, maxLength: 20 },
);

function play(world: ColdEndpointWorld, sequence: readonly Step[]): void {
  for (const step of sequence) {
    switch (step.kind) {
      case 'load':
        world.load(step.forMs);
        break;
      case 'wait':
        world.advance(step.forMs);
        break;
      case 'hold':
        world.hold = step.hold;
        world.holdMs = step.forMs;
        break;
      case 'reserve':
        world.reserve(step.bodyMs);
        break;
      case 'relist':
        world.publish(undefined);
        world.advance(step.afterMs);
        world.publish(COLD_FOR_MS);
    }
  }
}

describe('a cold endpoint gets too many requests in one second', () => {
  it('when requests are held between their dispatch and their arrival', () => {
    const world = new ColdEndpointWorld(COLD_FOR_MS);
    world.holdMs = 300;
    world.load(50);
    world.holdMs = 0;
    world.load(2_500);
    expect(world.busiestSecond()).to.be.at.most(COLD_START.maxInSecond);
    expect(world.arrivedAtMs.length).to.be.at.least(2.5 * COLD_START.ratePerS);
  });

  it('when a place is reserved for a request whose body arrives later', () => {
    const world = new ColdEndpointWorld(COLD_FOR_MS);
    world.load(400);
    world.reserve(3_000);
    world.load(400);
    expect(world.busiestSecond()).to.be.at.most(COLD_START.maxInSecond);
  });

  it('when its entry is removed and listed again while nothing is in flight', () => {
    const world = new ColdEndpointWorld(COLD_FOR_MS);
    world.load(400);
    world.publish(undefined);
    for (let count = 0; count < 10; count += 1) {
      world.advance(20);
    }
    world.publish(COLD_FOR_MS);
    world.load(400);
    expect(world.busiestSecond()).to.be.at.most(COLD_START.maxInSecond);
  });

  it('when an entry from before the end of an evacuation arrives with it or after it', () => {
    for (const delayMs of [0, 300]) {
      const world = new ColdEndpointWorld(0);
      world.advance(2 * SECOND_MS);
      world.setEvacuated(true);
      world.advance(SECOND_MS);
      const endedAtMs = world.nowMs;
      if (delayMs === 0) {
        world.publish(0);
      }
      world.setEvacuated(false);
      world.load(delayMs);
      world.publish(0);
      world.load(COLD_START.durationMs - delayMs - SECOND_MS);
      expect(world.busiestSecond(endedAtMs)).to.be.at.most(COLD_START.maxInSecond);
      expect(world.busiestSecond(endedAtMs)).to.be.greaterThan(0);
    }
  });

  it('for any sequence of loads, delays and listings', () => {
    fc.assert(
      fc.property(steps, (sequence) => {
        const world = new ColdEndpointWorld(COLD_FOR_MS);
        play(world, sequence);
        world.advance(SECOND_MS);
        expect(world.busiestSecond()).to.be.at.most(COLD_START.maxInSecond);
      }),
      { numRuns: 150 },
    );
  }).timeout(20_000);
});

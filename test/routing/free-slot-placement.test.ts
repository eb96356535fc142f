/**
 * Many senders choose among endpoints with few slots and of unequal, changing speed, at a load with bursts. Guards against
 * requests that wait at an endpoint although another one has a free slot.
 */
import { expect } from 'chai';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';
import type { SlownessReport } from '../../src/admission/reported-slowness.js';
import { incarnationOf } from '../../src/model/incarnation.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { DEFAULT_PROXY_LIMITS } from '../../src/proxy/proxy-limits.js';
import { FreeSlotAnnouncer } from '../../src/routing/free-slot-announcer.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const SENDERS = 40;
const ENDPOINTS = 30;
const SLOTS = 4;
const SPEEDS = [0.5, 1, 1, 1.5];
const WORK_MS = 150;
const SLOW = { share: 0.15, factor: 2.5, periodMs: 600 };
const UTILISATION = 0.75;
const BURST = { factor: 1.3, everyMs: 1_500, lengthMs: 300 };
const TRANSIT_MS = 1;
const RUN_MS = 12_000;
const WARM_UP_MS = 3_000;
const TICK_MS = 150;
const SEEDS = [1, 2, 3];
const CONTEXT: SelectionContext = {
  zone: 'z1',
  region: 'r1',
  tried: new Set(),
  repeatable: true,
  work: { workClass: 'read', targetLatencyMs: 400 },
  mayReceive: () => true,
};

interface Host {
  readonly endpoint: Endpoint;
  readonly speed: number;
  readonly admission: EndpointAdmission;
  readonly announcer: FreeSlotAnnouncer<EndpointSelector>;
  /** What to do once a waiting request gets a slot, by request id. */
  readonly waiting: Map<string, () => void>;
  slowFactor: number;
}

interface PlacementCounts {
  readonly requests: number;
  /** Requests that had to wait while another endpoint had a free slot. */
  readonly misplaced: number;
  /** Messages with announcements. */
  readonly announcements: number;
  readonly latencySumMs: number;
}

/** One replay. */
class Placement implements PlacementCounts {
  private readonly random: () => number;
  private readonly events: { readonly atMs: number; readonly run: () => void }[] = [];
  private readonly hosts: Host[];
  private readonly selectors: EndpointSelector[];
  private readonly endpoints: Endpoint[];
  private nowMs = 0;
  requests = 0;
  misplaced = 0;
  announcements = 0;
  latencySumMs = 0;

  constructor(seed: number, announcementsPerS: number) {
    this.random = seededRandom(seed);
    this.hosts = Array.from({ length: ENDPOINTS }, (_, index) => ({
      endpoint: resourceSchema.parse(
        echoEndpoint(`e${index}`, index + 1, { slots: SLOTS }),
      ) as Endpoint,
      speed: SPEEDS[index % SPEEDS.length] ?? 1,
      admission: new EndpointAdmission(SLOTS, Infinity, Infinity),
      announcer: new FreeSlotAnnouncer(announcementsPerS, this.random),
      waiting: new Map(),
      slowFactor: 1,
    }));
    this.endpoints = this.hosts.map(({ endpoint }) => endpoint);
    this.selectors = Array.from({ length: SENDERS }, () => new EndpointSelector(this.random));
  }

  run(): this {
    this.every(SLOW.periodMs, () => this.changeSpeeds());
    this.every(TICK_MS, () => this.hosts.forEach((host) => this.announce(host)));
    this.scheduleRequest();
    while (this.nowMs < RUN_MS) {
      const next = this.events.shift();
      this.nowMs = next?.atMs ?? RUN_MS;
      next?.run();
    }
    return this;
  }

  private at(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    const index = this.events.findIndex((event) => event.atMs > atMs);
    this.events.splice(index < 0 ? this.events.length : index, 0, { atMs, run });
  }

  private every(periodMs: number, run: () => void): void {
    run();
    this.at(periodMs, () => this.every(periodMs, run));
  }

  private changeSpeeds(): void {
    for (const host of this.hosts) {
      host.slowFactor = this.random() < SLOW.share ? SLOW.factor : 1;
    }
  }

  private scheduleRequest(): void {
    const capacity = this.hosts.reduce((sum, { speed }) => sum + SLOTS * speed, 0);
    const usualPerMs = capacity / (WORK_MS * (1 + SLOW.share * (SLOW.factor - 1)));
    const isBurst = this.nowMs % BURST.everyMs < BURST.lengthMs;
    const perMs = usualPerMs * UTILISATION * (isBurst ? BURST.factor : 1);
    this.at(-Math.log(1 - this.random()) / perMs, () => {
      this.send();
      this.scheduleRequest();
    });
  }

  private send(): void {
    const selector = this.selectors[Math.floor(this.random() * SENDERS)];
    const endpoint = selector?.choose(this.endpoints, CONTEXT, this.nowMs);
    const host = this.hosts.find((one) => one.endpoint === endpoint);
    if (selector === undefined || host === undefined) {
      throw new Error('no endpoint was chosen');
    }
    const sentAtMs = this.nowMs;
    selector.attemptStarted(host.endpoint, sentAtMs);
    this.at(TRANSIT_MS, () => this.arrive(host, selector, sentAtMs));
  }

  private arrive(host: Host, selector: EndpointSelector, sentAtMs: number): void {
    this.requests += this.nowMs >= WARM_UP_MS ? 1 : 0;
    host.announcer.senderSeen(selector, this.nowMs);
    const requestId = `${sentAtMs} ${this.random()}`;
    host.waiting.set(requestId, () => {
      const workMs = (WORK_MS * (0.4 + 1.2 * this.random()) * host.slowFactor) / host.speed;
      this.at(workMs, () => this.end(host, selector, requestId, sentAtMs, workMs));
    });
    const ticket = { requestId, callerNode: 'n', workClass: 'read', deadlineAtMs: Infinity };
    this.dispatch(host, host.admission.offer(ticket, this.nowMs));
    const isElsewhereFree = this.hosts.some(
      ({ admission }) => admission.freeSlotsAt(this.nowMs) > 0,
    );
    if (host.waiting.has(requestId) && isElsewhereFree && this.nowMs >= WARM_UP_MS) {
      this.misplaced += 1;
    }
  }

  private dispatch(host: Host, effects: ReturnType<EndpointAdmission['offer']>): void {
    for (const { requestId } of effects) {
      const start = host.waiting.get(requestId);
      host.waiting.delete(requestId);
      start?.();
    }
  }

  private end(
    host: Host,
    selector: EndpointSelector,
    requestId: string,
    sentAtMs: number,
    workMs: number,
  ): void {
    const { admission, endpoint } = host;
    admission.slownessReported({ percent: host.slowFactor * 100, ageMs: 0 }, this.nowMs);
    const inFlight = admission.runningCount + admission.waitingCount;
    const meanMs = admission.serviceMs('read') ?? workMs;
    const serviceTime = { workClass: 'read', meanMs };
    const load = { inFlight, draining: false, serviceTime, ...this.slownessOf(host) };
    this.dispatch(host, admission.release(requestId, this.nowMs, workMs));
    this.announce(host);
    this.at(TRANSIT_MS, () => {
      const latencyMs = this.nowMs - sentAtMs;
      this.latencySumMs += sentAtMs >= WARM_UP_MS ? latencyMs : 0;
      selector.loadObserved(endpoint, load, this.nowMs);
      selector.latencyMeasured(endpoint, 'read', latencyMs, this.nowMs);
      selector.attemptEnded(endpoint, 'answered', this.endpoints, this.nowMs);
    });
  }

  private slownessOf({ admission }: Host): { slowness?: SlownessReport } {
    const slowness = admission.slownessAt(this.nowMs);
    return slowness === undefined ? {} : { slowness };
  }

  private announce(host: Host): void {
    const { admission, announcer, endpoint } = host;
    const freeSlots = admission.freeSlotsAt(this.nowMs);
    const senders = announcer.due(freeSlots, this.nowMs);
    this.announcements += senders.length;
    const announcement = {
      service: endpoint.spec.service,
      incarnation: incarnationOf(endpoint),
      freeSlots: Math.ceil(freeSlots / Math.max(1, senders.length)),
      slowness: admission.slownessAt(this.nowMs),
    };
    for (const selector of senders) {
      this.at(TRANSIT_MS, () => selector.slotsAnnounced(announcement, this.nowMs));
    }
  }
}

/** Sums over replays with several seeds. */
function replay(announcementsPerS: number): PlacementCounts {
  const sum = { requests: 0, misplaced: 0, announcements: 0, latencySumMs: 0 };
  for (const seed of SEEDS) {
    const counts = new Placement(seed, announcementsPerS).run();
    sum.requests += counts.requests;
    sum.misplaced += counts.misplaced;
    sum.announcements += counts.announcements;
    sum.latencySumMs += counts.latencySumMs;
  }
  return sum;
}

describe('placement of requests among endpoints with few slots', () => {
  it('lets fewer requests wait while another endpoint has a free slot if free slots are announced', () => {
    const before = replay(0);
    const after = replay(DEFAULT_PROXY_LIMITS.maxSlotAnnouncementsPerS);
    const shareBefore = before.misplaced / before.requests;
    expect(after.misplaced / after.requests).to.be.below(0.85 * shareBefore);
    const meanBeforeMs = before.latencySumMs / before.requests;
    expect(after.latencySumMs / after.requests).to.be.below(0.85 * meanBeforeMs);
    expect(after.announcements / after.requests).to.be.below(0.6);
  }).timeout(30_000);
});

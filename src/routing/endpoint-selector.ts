/**
 * Selects the endpoint of an attempt among the eligible ones: by expected latency if the kind of work is known,
 * otherwise by zone and load. Pure: time and random numbers are passed in.
 */
import type { CounterSink, RandomSource } from '../control/control-event.js';
import { isInService } from '../model/evacuation.js';
import { incarnationOf, startedBefore } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import { CandidateSample } from './candidate-sample.js';
import { EndpointRecord } from './endpoint-record.js';
import type {
  Candidate,
  ChoiceContext,
  EndpointStrategy,
  WorkProfile,
} from './endpoint-strategy.js';
import { FreeSlotAnnouncements, type FreeSlotAnnouncement } from './free-slot-announcements.js';
import { LeastLatencyStrategy } from './least-latency-strategy.js';
import { WaitShares } from './wait-shares.js';
import { ZoneFirstStrategy } from './zone-first-strategy.js';
import type { AttemptOutcome, LoadObservation } from './endpoint-record.js';

const NO_COUNTERS: CounterSink = { add: () => undefined };
/** Maximum share of a service's endpoints that is ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5;
/** Number of records from which idle ones are dropped. */
const MAX_RECORDS = 20_000;

/** Inputs of a selection besides the records. */
export interface SelectionContext extends ChoiceContext {
  /** Incarnations of the endpoints that the request has already tried. */
  readonly tried: ReadonlySet<string>;
  /** Whether the request may be used to probe an ejected endpoint. */
  readonly repeatable: boolean;
  /** Whether the endpoint may receive new requests according to the membership. */
  readonly mayReceive: (endpoint: Endpoint) => boolean;
}

/** State of one endpoint as observed by this node's requests. */
export interface EndpointObservation {
  /** Requests of this node in flight at the endpoint. */
  readonly inFlight: number;
  readonly isEjected: boolean;
  readonly isDraining: boolean;
}

/** Records of the endpoints that this node uses, and the selection among them. */
export class EndpointSelector {
  /** By incarnation, so that an endpoint that restarts under the same name has a new record. */
  private readonly records = new Map<string, EndpointRecord>();
  /** Latest incarnation of each endpoint, by name. */
  private readonly latestIncarnations = new Map<string, Endpoint>();
  /** The same records by the endpoint objects of the configuration, so that a selection builds no keys. */
  private readonly recordsByObject = new WeakMap<Endpoint, EndpointRecord>();
  /** Lists whose endpoints all have records. */
  private readonly registeredLists = new WeakSet<readonly Endpoint[]>();
  /** Records of the ejected endpoints. */
  private readonly ejected = new Set<EndpointRecord>();
  private readonly sample: CandidateSample;

  private readonly zoneFirst: EndpointStrategy;
  private readonly leastLatency: EndpointStrategy;

  private readonly announcements: FreeSlotAnnouncements;
  /** By service, the share of recently reported loads of full endpoints. */
  private readonly waitShares = new WaitShares();

  /** `hopCost` overrides the default cost of a hop over another node. */
  constructor(random: RandomSource, hopCost?: number, counters: CounterSink = NO_COUNTERS) {
    this.announcements = new FreeSlotAnnouncements(counters);
    this.sample = new CandidateSample(random);
    this.zoneFirst = new ZoneFirstStrategy(random);
    this.leastLatency = new LeastLatencyStrategy(random, hopCost);
  }

  /** The endpoint for the next attempt, or undefined when none accepts new requests. */
  choose(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    nowMs: number,
  ): Endpoint | undefined {
    this.ensureRecords(endpoints, nowMs);
    const due = this.dueForProbe(endpoints, context, nowMs);
    if (due !== undefined) {
      return due;
    }
    const { work } = context;
    if (work === undefined) {
      const eligible = this.eligibleOf(endpoints, context, nowMs);
      return this.zoneFirst.choose(healthyOf(eligible), context, nowMs)?.endpoint;
    }
    const candidates = this.candidatesFor(endpoints, context, work, nowMs);
    const hasAnnounced = candidates.some(({ isAnnounced }) => isAnnounced === true);
    const waitShare = hasAnnounced ? this.waitShares.of(serviceOf(endpoints)) : 0;
    return this.leastLatency.choose(candidates, { ...context, waitShare }, nowMs)?.endpoint;
  }

  attemptStarted(endpoint: Endpoint, nowMs: number): void {
    this.recordOf(endpoint, nowMs).attemptStarted();
    this.announcements.use(endpoint.spec.service, incarnationOf(endpoint), nowMs);
  }

  /** Records the outcome of an attempt. `peers` are the endpoints of its service. */
  attemptEnded(
    endpoint: Endpoint,
    outcome: AttemptOutcome,
    peers: readonly Endpoint[],
    nowMs: number,
  ): void {
    const record = this.recordOf(endpoint, nowMs);
    record.attemptEnded(outcome, nowMs);
    if (!record.isEjected) {
      this.ejected.delete(record);
    }
    const isCurrent = this.records.get(incarnationOf(endpoint)) === record;
    const mayEject = isCurrent && (record.isEjected || this.mayEjectOneMore(peers, nowMs));
    if (mayEject && record.shouldEject(nowMs)) {
      record.eject(nowMs);
      this.ejected.add(record);
    }
  }

  /** Records the time after which an attempt was answered or given up. */
  latencyMeasured(endpoint: Endpoint, workClass: string, latencyMs: number, nowMs: number): void {
    this.recordOf(endpoint, nowMs).measureLatency(workClass, latencyMs, nowMs);
  }

  /** Records that the endpoint's node refused the class of work and may have capacity again after `holdMs`. */
  workRefused(endpoint: Endpoint, workClass: string, holdMs: number, nowMs: number): void {
    this.recordOf(endpoint, nowMs).workRefused(workClass, holdMs, nowMs);
  }

  /** Records that the endpoint's rate limit allows no request of the class of work for `holdMs`. */
  rateLimited(endpoint: Endpoint, workClass: string, holdMs: number, nowMs: number): void {
    this.recordOf(endpoint, nowMs).rateLimited(workClass, holdMs, nowMs);
  }

  /**
   * Time until the first of the endpoints is expected to accept a request again by its rate limit, in milliseconds; 0
   * if there is one that has not refused a request because of its limit.
   */
  rateLimitedForMs(endpoints: readonly Endpoint[], nowMs: number): number {
    const delaysMs = endpoints
      .filter(isInService)
      .map((endpoint) => this.recordOf(endpoint, nowMs).rateLimitedForMs(nowMs));
    return delaysMs.length === 0 ? 0 : Math.min(...delaysMs);
  }

  /** Records the load reported with a response or a refusal. */
  loadObserved(endpoint: Endpoint, load: LoadObservation, nowMs: number): void {
    this.recordOf(endpoint, nowMs).observeLoad(load, nowMs);
    this.waitShares.record(endpoint.spec.service, load.inFlight > endpoint.spec.slots);
  }

  /** Records that the endpoint's node has announced free slots. */
  slotsAnnounced(announcement: FreeSlotAnnouncement, nowMs: number): void {
    this.announcements.add(announcement, nowMs);
  }

  /** Whether this node has recent news of the endpoint's load. */
  hasRecentLoad(endpoint: Endpoint, nowMs: number): boolean {
    return this.recordOf(endpoint, nowMs).hasRecentLoad(nowMs);
  }

  /** Whether this node has ejected the endpoint because of failures. */
  isEjected(endpoint: Endpoint): boolean {
    return this.records.get(incarnationOf(endpoint))?.isEjected === true;
  }

  /** Number of endpoints that this node has ejected because of failures. */
  get ejectedCount(): number {
    return this.ejected.size;
  }

  /** Observed state of the endpoint; undefined when this node has no record of it. */
  observationOf(endpoint: Endpoint, nowMs: number): EndpointObservation | undefined {
    const record = this.records.get(incarnationOf(endpoint));
    return (
      record && {
        inFlight: record.requestsInFlight,
        isEjected: record.isEjected,
        isDraining: record.isDraining(nowMs),
      }
    );
  }

  /** An ejected endpoint that may be probed with this request. */
  private dueForProbe(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    nowMs: number,
  ): Endpoint | undefined {
    if (!context.repeatable || !this.hasDueProbe(nowMs)) {
      return undefined;
    }
    return endpoints.find(
      (endpoint) =>
        this.recordOf(endpoint, nowMs).isProbeDue(nowMs) &&
        this.isEligible(endpoint, context, nowMs),
    );
  }

  private hasDueProbe(nowMs: number): boolean {
    for (const record of this.ejected) {
      if (record.isProbeDue(nowMs)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Endpoints to compare: a sample of those expected to accept the work or, if the sample is empty, all healthy
   * ones that did not recently refuse it. Late work is queued behind all other work, so that it prefers endpoints
   * with a free slot, however near a full one is.
   */
  private candidatesFor(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    work: WorkProfile,
    nowMs: number,
  ): readonly Candidate[] {
    const { workClass, refusalClass = workClass, isLate = false } = work;
    const isCandidate = (endpoint: Endpoint): boolean => {
      const record = this.recordOf(endpoint, nowMs);
      return (
        !record.isEjected &&
        !record.isRefusing(refusalClass, nowMs) &&
        (!isLate || record.mayHaveFreeSlot(endpoint.spec.slots, nowMs)) &&
        this.isEligible(endpoint, context, nowMs)
      );
    };
    const announced = this.announcedOf(endpoints, context, nowMs).filter(isCandidate);
    const sampled = this.sample.draw(endpoints, context, isCandidate);
    const candidates = new Set([...announced, ...sampled]);
    if (candidates.size > 0) {
      return [...candidates].map((endpoint) => ({
        endpoint,
        record: this.recordOf(endpoint, nowMs),
        isAnnounced: announced.includes(endpoint),
      }));
    }
    const usable = healthyOf(this.eligibleOf(endpoints, context, nowMs));
    return usable.filter(({ record }) => !record.isRefusing(refusalClass, nowMs));
  }

  /** The endpoints of the list whose free slots were announced. */
  private announcedOf(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    nowMs: number,
  ): readonly Endpoint[] {
    const service = serviceOf(endpoints);
    const announced: Endpoint[] = [];
    for (const announcement of this.announcements.current(service, nowMs)) {
      const endpoint = this.sample.find(endpoints, announcement.incarnation, context);
      if (endpoint !== undefined) {
        this.recordOf(endpoint, nowMs).observeAnnouncement(announcement, endpoint.spec.slots);
        announced.push(endpoint);
      }
    }
    return announced;
  }

  private eligibleOf(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    nowMs: number,
  ): readonly Candidate[] {
    return endpoints
      .filter((endpoint) => this.isEligible(endpoint, context, nowMs))
      .map((endpoint) => ({ endpoint, record: this.recordOf(endpoint, nowMs) }));
  }

  /**
   * Creates the missing records of a list. Endpoints of a service that had no records yet count as warm, those added
   * later as cold.
   */
  private ensureRecords(endpoints: readonly Endpoint[], nowMs: number): void {
    if (this.registeredLists.has(endpoints)) {
      return;
    }
    this.registeredLists.add(endpoints);
    const unregistered = endpoints.filter((endpoint) => !this.recordsByObject.has(endpoint));
    const unknown = unregistered.filter((endpoint) => !this.records.has(incarnationOf(endpoint)));
    if (unknown.length === 0) {
      return;
    }
    const isCold = unknown.length < endpoints.length;
    for (const endpoint of unknown) {
      this.dropIdleRecords();
      this.store(endpoint, new EndpointRecord(nowMs, isCold), nowMs);
    }
  }

  private isEligible(endpoint: Endpoint, context: SelectionContext, nowMs: number): boolean {
    return (
      isInService(endpoint) &&
      !context.tried.has(incarnationOf(endpoint)) &&
      !this.recordOf(endpoint, nowMs).isDraining(nowMs) &&
      context.mayReceive(endpoint)
    );
  }

  private mayEjectOneMore(peers: readonly Endpoint[], nowMs: number): boolean {
    const ejected = peers.filter((peer) => this.recordOf(peer, nowMs).isEjected).length;
    return ejected + 1 <= peers.length * MAX_EJECTED_SHARE;
  }

  private recordOf(endpoint: Endpoint, nowMs: number): EndpointRecord {
    let record = this.recordsByObject.get(endpoint);
    if (record === undefined) {
      record = this.records.get(incarnationOf(endpoint)) ?? new EndpointRecord(nowMs, true);
      this.store(endpoint, record, nowMs);
      this.recordsByObject.set(endpoint, record);
      const { coldForMs } = endpoint.spec;
      if (coldForMs !== undefined) {
        record.observeColdPeriod(coldForMs, nowMs);
      }
    }
    return record;
  }

  /** Stores the record and deletes that of the previous incarnation, so that the latter is not probed. */
  private store(endpoint: Endpoint, record: EndpointRecord, nowMs: number): void {
    const previous = this.latestIncarnations.get(endpoint.name);
    this.records.set(incarnationOf(endpoint), record);
    if (previous !== undefined && startedBefore(endpoint, previous)) {
      return;
    }
    this.latestIncarnations.set(endpoint.name, endpoint);
    if (previous !== undefined && incarnationOf(previous) !== incarnationOf(endpoint)) {
      record.markRestarted(nowMs);
      this.deleteRecord(previous);
    }
  }

  private deleteRecord(endpoint: Endpoint): void {
    const key = incarnationOf(endpoint);
    const record = this.records.get(key);
    if (record !== undefined) {
      this.records.delete(key);
      this.ejected.delete(record);
    }
  }

  private dropIdleRecords(): void {
    if (this.records.size < MAX_RECORDS) {
      return;
    }
    this.latestIncarnations.clear();
    for (const [key, record] of this.records) {
      if (record.isIdle) {
        this.records.delete(key);
      }
    }
  }
}

/** The service of a list of endpoints. */
function serviceOf([first]: readonly Endpoint[]): string {
  return first?.spec.service ?? '';
}

/** The candidates that are not ejected; all candidates if every one is ejected. */
function healthyOf(candidates: readonly Candidate[]): readonly Candidate[] {
  const healthy = candidates.filter(({ record }) => !record.isEjected);
  return healthy.length > 0 ? healthy : candidates;
}

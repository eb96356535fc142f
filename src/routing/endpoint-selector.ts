/**
 * Chooses the endpoint of an attempt out of those that may get it: by expected latency where the work
 * is known, else by zone and load. Pure: time and random numbers are passed in.
 */
import type { RandomSource } from '../control/control-event.js';
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
import { LeastLatencyStrategy } from './least-latency-strategy.js';
import { ZoneFirstStrategy } from './zone-first-strategy.js';
import type { AttemptOutcome, LoadObservation } from './endpoint-record.js';

/** At most this share of a service's endpoints is ejected at once. */
const MAX_EJECTED_SHARE = 0.5;
/** Records of endpoints that are gone are dropped when this many are kept. */
const MAX_RECORDS = 20_000;

/** What a choice depends on besides the records. */
export interface SelectionContext extends ChoiceContext {
  /** Incarnations of endpoints that the request has tried. */
  readonly tried: ReadonlySet<string>;
  /** Whether the request may be used to probe an ejected endpoint. */
  readonly repeatable: boolean;
  /** Whether the node may send new work there, by what it knows of members. */
  readonly mayReceive: (endpoint: Endpoint) => boolean;
}

/** One endpoint as this node's requests have found it. */
export interface EndpointSight {
  /** Requests of this node that are under way there. */
  readonly inFlight: number;
  readonly isEjected: boolean;
  readonly isDraining: boolean;
}

/** What this node has seen of endpoints, and the choice among them. */
export class EndpointSelector {
  /** By incarnation: one that starts again under its name is an endpoint of which nothing is known. */
  private readonly records = new Map<string, EndpointRecord>();
  /** The incarnation of each name that started last. */
  private readonly newest = new Map<string, Endpoint>();
  /** The same records by the configuration's objects, so that a choice builds no keys. */
  private readonly recordsOfObjects = new WeakMap<Endpoint, EndpointRecord>();
  /** Lists of endpoints that all have records. */
  private readonly metLists = new WeakSet<readonly Endpoint[]>();
  /** Records of endpoints that are ejected. */
  private readonly ejected = new Set<EndpointRecord>();
  private readonly sample: CandidateSample;

  private readonly zoneFirst: EndpointStrategy;
  private readonly leastLatency: EndpointStrategy;

  /** `hopCost` is that of the way over another node, in place of the default. */
  constructor(random: RandomSource, hopCost?: number) {
    this.sample = new CandidateSample(random);
    this.zoneFirst = new ZoneFirstStrategy(random);
    this.leastLatency = new LeastLatencyStrategy(random, hopCost);
  }

  /** The endpoint for the next attempt, or undefined when none takes new work. */
  choose(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    nowMs: number,
  ): Endpoint | undefined {
    this.meet(endpoints, nowMs);
    const due = this.dueForProbe(endpoints, context, nowMs);
    if (due !== undefined) {
      return due;
    }
    const { work } = context;
    if (work === undefined) {
      const open = this.openOf(endpoints, context, nowMs);
      return this.zoneFirst.choose(healthyOf(open), context, nowMs)?.endpoint;
    }
    const willing = this.willingOf(endpoints, context, work, nowMs);
    return this.leastLatency.choose(willing, context, nowMs)?.endpoint;
  }

  /** An attempt at `endpoint` begins. */
  began(endpoint: Endpoint, nowMs: number): void {
    this.recordOf(endpoint, nowMs).began();
  }

  /** An attempt at `endpoint` is over. `peers` are the endpoints of its service. */
  ended(
    endpoint: Endpoint,
    outcome: AttemptOutcome,
    peers: readonly Endpoint[],
    nowMs: number,
  ): void {
    const record = this.recordOf(endpoint, nowMs);
    record.ended(outcome, nowMs);
    if (!record.isEjected) {
      this.ejected.delete(record);
    }
    const isKept = this.records.get(incarnationOf(endpoint)) === record;
    const mayEject = isKept && (record.isEjected || this.mayEjectOneMore(peers, nowMs));
    if (mayEject && record.shouldEject(nowMs)) {
      record.eject(nowMs);
      this.ejected.add(record);
    }
  }

  /** An attempt was answered, or given up, after `latencyMs`. */
  measured(endpoint: Endpoint, workClass: string, latencyMs: number, nowMs: number): void {
    this.recordOf(endpoint, nowMs).latencies.measure(workClass, latencyMs, nowMs);
  }

  /** The endpoint's node had no room for the class of work, and may have some after `holdMs`. */
  refusedWork(endpoint: Endpoint, workClass: string, holdMs: number, nowMs: number): void {
    this.recordOf(endpoint, nowMs).refusedWork(workClass, holdMs, nowMs);
  }

  /** What an answer or a refusal said of the load. */
  observedLoad(endpoint: Endpoint, load: LoadObservation, nowMs: number): void {
    this.recordOf(endpoint, nowMs).observeLoad(load, nowMs);
  }

  /** Whether this node holds the endpoint for failing. */
  isEjected(endpoint: Endpoint): boolean {
    return this.records.get(incarnationOf(endpoint))?.isEjected === true;
  }

  /** Endpoints that this node holds for failing. */
  get ejectedCount(): number {
    return this.ejected.size;
  }

  /** What this node has seen of the endpoint; undefined when it has not considered it yet. */
  sightOf(endpoint: Endpoint, nowMs: number): EndpointSight | undefined {
    const record = this.records.get(incarnationOf(endpoint));
    return (
      record && {
        inFlight: record.requestsInFlight,
        isEjected: record.isEjected,
        isDraining: record.isDraining(nowMs),
      }
    );
  }

  /** An ejected endpoint that may be tried with this request. */
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
        this.recordOf(endpoint, nowMs).isProbeDue(nowMs) && this.isOpen(endpoint, context, nowMs),
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
   * Endpoints to compare: a sample of those that would take the work; all that might, if it is empty.
   * Late work waits behind all other: it goes to an endpoint with a free slot where one is known,
   * however near a full one is.
   */
  private willingOf(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    work: WorkProfile,
    nowMs: number,
  ): readonly Candidate[] {
    const { workClass, refusalClass = workClass, isLate = false } = work;
    const isWilling = (endpoint: Endpoint): boolean => {
      const record = this.recordOf(endpoint, nowMs);
      return (
        !record.isEjected &&
        !record.isRefusing(refusalClass, nowMs) &&
        (!isLate || record.mayHaveFreeSlot(endpoint.spec.slots, nowMs)) &&
        this.isOpen(endpoint, context, nowMs)
      );
    };
    const drawn = this.sample.draw(endpoints, context, isWilling);
    if (drawn.length > 0) {
      return drawn.map((endpoint) => ({ endpoint, record: this.recordOf(endpoint, nowMs) }));
    }
    const usable = healthyOf(this.openOf(endpoints, context, nowMs));
    return usable.filter(({ record }) => !record.isRefusing(refusalClass, nowMs));
  }

  private openOf(
    endpoints: readonly Endpoint[],
    context: SelectionContext,
    nowMs: number,
  ): readonly Candidate[] {
    return endpoints
      .filter((endpoint) => this.isOpen(endpoint, context, nowMs))
      .map((endpoint) => ({ endpoint, record: this.recordOf(endpoint, nowMs) }));
  }

  /** Endpoints of a service that was not in use yet are taken as warm, later ones as cold. */
  private meet(endpoints: readonly Endpoint[], nowMs: number): void {
    if (this.metLists.has(endpoints)) {
      return;
    }
    this.metLists.add(endpoints);
    const unmet = endpoints.filter((endpoint) => !this.recordsOfObjects.has(endpoint));
    const unknown = unmet.filter((endpoint) => !this.records.has(incarnationOf(endpoint)));
    if (unknown.length === 0) {
      return;
    }
    const isCold = unknown.length < endpoints.length;
    for (const endpoint of unknown) {
      this.dropIdleRecords();
      this.keep(endpoint, new EndpointRecord(nowMs, isCold), nowMs);
    }
  }

  private isOpen(endpoint: Endpoint, context: SelectionContext, nowMs: number): boolean {
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
    let record = this.recordsOfObjects.get(endpoint);
    if (record === undefined) {
      record = this.records.get(incarnationOf(endpoint)) ?? new EndpointRecord(nowMs, true);
      this.keep(endpoint, record, nowMs);
      this.recordsOfObjects.set(endpoint, record);
      const { coldForMs } = endpoint.spec;
      if (coldForMs !== undefined) {
        record.takeColdNews(coldForMs, nowMs);
      }
    }
    return record;
  }

  /** Keeps the record, and none of the incarnation before: nothing is probed for its sake. */
  private keep(endpoint: Endpoint, record: EndpointRecord, nowMs: number): void {
    const held = this.newest.get(endpoint.name);
    this.records.set(incarnationOf(endpoint), record);
    if (held !== undefined && startedBefore(endpoint, held)) {
      return;
    }
    this.newest.set(endpoint.name, endpoint);
    if (held !== undefined && incarnationOf(held) !== incarnationOf(endpoint)) {
      record.succeedsAnother(nowMs);
      this.forget(held);
    }
  }

  private forget(endpoint: Endpoint): void {
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
    this.newest.clear();
    for (const [key, record] of this.records) {
      if (record.isIdle) {
        this.records.delete(key);
      }
    }
  }
}

/** The candidates that are not ejected; all of them where every one is. */
function healthyOf(candidates: readonly Candidate[]): readonly Candidate[] {
  const healthy = candidates.filter(({ record }) => !record.isEjected);
  return healthy.length > 0 ? healthy : candidates;
}

/** Load, failures and draining of one endpoint as observed by one node (passive health checking). */

import { ReportedSlowness, type SlownessReport } from '../admission/reported-slowness.js';
import { FailureShare } from './failure-share.js';
import type { ReceivedAnnouncement } from './free-slot-announcements.js';
import { LatencyEstimates } from './latency-estimates.js';

/** Duration of the slow start, over which a new endpoint's share of requests grows to the full share, in ms. */
const SLOW_START_MS = 10_000;
/** Share of its slots with which a new endpoint is weighted initially. */
const SLOW_START_SHARE = 0.1;
/** Share of its slots with which an endpoint that reports to be cold is weighted; its node limits its requests. */
const COLD_SHARE = 0.25;
/** Half-life of the weight of a load report, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1_000;
/** Age up to which a load report counts as recent, in milliseconds. */
const RECENT_LOAD_MS = 500;
/** Consecutive failures after which an endpoint is ejected. */
const FAILURES_TO_EJECT = 5;
/** Consecutive failed connections after which an endpoint is ejected. */
const UNREACHABLE_TO_EJECT = 2;
/** Duration of the first ejection, in milliseconds; doubles with each failed probe. */
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/** Maximum time for which an endpoint that refused a class of work receives none of it, in milliseconds. */
const MAX_REFUSAL_HOLD_MS = 150;
/** Time for which an endpoint that reported draining receives no requests, in milliseconds. */
const DRAINING_HOLD_MS = 30_000;
/**
 * Time after an endpoint's restart during which its node may still report on the previous incarnation, in
 * milliseconds. A configuration reaches all nodes within one or two seconds.
 */
const PROPAGATION_MS = 2_000;
/** Time for which an endpoint reported as draining within {@link PROPAGATION_MS} receives no requests, in ms. */
const UNCONFIRMED_DRAINING_HOLD_MS = 500;
/** Time for which an endpoint whose node is about to stop receives no requests, in milliseconds. */
const NODE_STOPPING_HOLD_MS = 3_000;
/** Maximum time for which an endpoint that refused work because of its rate limit receives none, in milliseconds. */
const MAX_RATE_LIMIT_HOLD_MS = 5_000;
/** Time for which a reported rate limit lowers the weight of the endpoint, in milliseconds. */
const RATE_LIMIT_LIFETIME_MS = 10_000;
/** Service time by which a rate limit is converted to slots if none is known, in milliseconds. */
const DEFAULT_SERVICE_MS = 100;
/** Minimum number of slots to which a rate limit is converted. */
const MIN_LIMITED_SLOTS = 0.05;
const MS_PER_SECOND = 1_000;
/** Added to the load of an endpoint during the retry delay that it requested. */
const REFUSAL_PENALTY = 1;

/**
 * - `answered`: a response that shows that the endpoint works.
 * - `failed`: no response, an incomplete response, or one that reports a fault of the endpoint.
 * - `unreachable`: no connection.
 * - `gone`: the endpoint's process ended, or a different process responds at its address.
 * - `refused`: not started, because of a lack of capacity or a drain.
 * - `abandoned`: given up by the caller; gives no information about the endpoint.
 */
export type AttemptOutcome =
  'answered' | 'failed' | 'unreachable' | 'gone' | 'refused' | 'abandoned';

/** Load reported by the endpoint or its node. */
export interface LoadObservation {
  /** Requests of all senders that run or wait at the endpoint. */
  readonly inFlight: number;
  readonly draining: boolean;
  /** Whether the endpoint's node is about to stop. */
  readonly isNodeStopping?: boolean;
  /** Share of the endpoint's recent requests that failed, reported by its node, which observes all of them. */
  readonly failureShare?: number;
  /** Mean service time of a class of work, in milliseconds, reported by the endpoint's node. */
  readonly serviceTime?: { readonly workClass: string; readonly meanMs: number };
  /** Rate limit that the endpoint has stated, in requests per second; Infinity for none. */
  readonly maxRatePerS?: number;
  /** How long work takes at the endpoint at present. */
  readonly slowness?: SlownessReport;
  /** Retry delay requested by the endpoint, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Observations of one endpoint. */
export class EndpointRecord {
  /** Latencies at the endpoint's usual speed. */
  readonly latencies = new LatencyEstimates();
  private readonly slowness = new ReportedSlowness();
  private inFlight = 0;
  private otherInFlight = 0;
  private observedAtMs = 0;
  private busyUntilMs = 0;
  private drainingUntilMs = 0;
  private rateLimitedUntilMs = -Infinity;
  private maxRatePerS = Infinity;
  private maxRateReportedAtMs = -Infinity;
  /** Service time as last reported, of any class of work. */
  private serviceMs = DEFAULT_SERVICE_MS;
  /** Time until which each class of work is expected to be refused. */
  private readonly refusesUntilMs = new Map<string, number>();
  /** Failures among this node's own attempts. */
  private readonly ownFailures = new FailureShare();
  private readonly reportedFailures = new FailureShare();
  /** Consecutive failures. */
  private failures = 0;
  private unreachable = 0;
  private ejectedUntilMs: number | undefined;
  private ejectionMs = FIRST_EJECTION_MS;
  private startedAtMs: number;
  private coldUntilMs = -Infinity;
  /** Time until which a drain report may refer to the previous incarnation. */
  private unconfirmedDrainUntilMs = -Infinity;

  /** `isCold` means that the endpoint has just appeared and starts slowly. */
  constructor(nowMs: number, isCold: boolean) {
    this.startedAtMs = isCold ? nowMs : -Infinity;
  }

  /** Sets the remaining cold period that the endpoint reported; replaces the slow start. */
  observeColdPeriod(coldForMs: number, nowMs: number): void {
    this.coldUntilMs = nowMs + coldForMs;
    this.startedAtMs = -Infinity;
  }

  /** Requests of this node in flight at the endpoint. */
  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Whether the record can be dropped without losing state. */
  get isIdle(): boolean {
    return this.inFlight === 0 && this.ejectedUntilMs === undefined;
  }

  /** Whether the endpoint is ejected because of failures; see {@link isProbeDue}. */
  get isEjected(): boolean {
    return this.ejectedUntilMs !== undefined;
  }

  /** Whether the ejected endpoint may be probed with one request. */
  isProbeDue(nowMs: number): boolean {
    const isDue = this.ejectedUntilMs !== undefined && this.ejectedUntilMs <= nowMs;
    return isDue && this.inFlight === 0;
  }

  /** Whether the endpoint reported that it accepts no new requests. */
  isDraining(nowMs: number): boolean {
    return nowMs < this.drainingUntilMs;
  }

  /**
   * The slots that the endpoint can use: no more than its rate limit keeps occupied, if it has stated one. Then the
   * result may be a fraction.
   */
  usableSlots(slots: number, nowMs: number): number {
    const isUnlimited = this.maxRatePerS === Infinity;
    if (isUnlimited || nowMs >= this.maxRateReportedAtMs + RATE_LIMIT_LIFETIME_MS) {
      return slots;
    }
    const limitedSlots = (this.maxRatePerS * this.serviceMs) / MS_PER_SECOND;
    return Math.min(slots, Math.max(MIN_LIMITED_SLOTS, limitedSlots));
  }

  /** Load as a share of the usable slots, weighted down for a new or cold endpoint. */
  load(slots: number, nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.observedAtMs);
    const otherInFlight = this.otherInFlight * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
    const penalty = nowMs < this.busyUntilMs ? REFUSAL_PENALTY : 0;
    const usableSlots = this.usableSlots(slots, nowMs) * this.capacityShare(nowMs);
    return (this.inFlight + otherInFlight) / usableSlots + penalty;
  }

  /** Whether the latest load report is recent. */
  hasRecentLoad(nowMs: number): boolean {
    return this.observedAtMs > 0 && nowMs - this.observedAtMs <= RECENT_LOAD_MS;
  }

  /** Applies an announcement of free slots, which is newer than the latest load report. */
  observeAnnouncement(
    { receivedAtMs, slotsLeft, slowness }: ReceivedAnnouncement,
    slots: number,
  ): void {
    if (receivedAtMs <= this.observedAtMs) {
      return;
    }
    this.otherInFlight = Math.max(0, slots - slotsLeft - this.inFlight);
    this.observedAtMs = receivedAtMs;
    if (slowness !== undefined) {
      this.slowness.record(slowness, receivedAtMs);
    }
  }

  /** Whether one more request may find a free slot, according to the known load. */
  mayHaveFreeSlot(slots: number, nowMs: number): boolean {
    return this.load(slots, nowMs) + 1 / this.usableSlots(slots, nowMs) <= 1;
  }

  /** Share of the endpoint's recent requests that failed; the greater of the own and the reported share. */
  failureShare(nowMs: number): number {
    return Math.max(this.ownFailures.at(nowMs), this.reportedFailures.at(nowMs));
  }

  /** Marks the record as that of a new incarnation of a restarted endpoint. */
  markRestarted(nowMs: number): void {
    this.unconfirmedDrainUntilMs = nowMs + PROPAGATION_MS;
  }

  attemptStarted(): void {
    this.inFlight += 1;
  }

  attemptEnded(outcome: AttemptOutcome, nowMs: number): void {
    this.inFlight -= 1;
    if (outcome !== 'refused' && outcome !== 'abandoned') {
      this.ownFailures.record(outcome !== 'answered', nowMs);
    }
    switch (outcome) {
      case 'answered':
        return this.recover(nowMs);
      case 'failed':
        this.failures += 1;
        return;
      case 'unreachable':
        this.failures += 1;
        this.unreachable += 1;
        return;
      case 'gone':
        this.failures += 1;
        this.unreachable += UNREACHABLE_TO_EJECT;
        return;
      case 'refused':
      case 'abandoned':
        return;
    }
  }

  observeLoad(load: LoadObservation, nowMs: number): void {
    this.otherInFlight = Math.max(0, load.inFlight - this.inFlight);
    this.observedAtMs = nowMs;
    this.reportedFailures.set(load.failureShare ?? 0, nowMs);
    if (load.serviceTime !== undefined) {
      this.latencies.setReported(load.serviceTime.workClass, load.serviceTime.meanMs, nowMs);
      this.serviceMs = load.serviceTime.meanMs;
    }
    if (load.slowness !== undefined) {
      this.slowness.record(load.slowness, nowMs);
    }
    if (load.maxRatePerS !== undefined) {
      this.maxRatePerS = load.maxRatePerS;
      this.maxRateReportedAtMs = nowMs;
    }
    if (load.draining) {
      const isUnconfirmed = nowMs < this.unconfirmedDrainUntilMs;
      this.drainingUntilMs =
        nowMs + (isUnconfirmed ? UNCONFIRMED_DRAINING_HOLD_MS : DRAINING_HOLD_MS);
    } else if (load.isNodeStopping === true) {
      this.drainingUntilMs = Math.max(this.drainingUntilMs, nowMs + NODE_STOPPING_HOLD_MS);
    }
    if (load.retryAfterMs !== undefined) {
      this.busyUntilMs = nowMs + load.retryAfterMs;
    }
  }

  /** Records the time after which an attempt was answered or given up. */
  measureLatency(workClass: string, latencyMs: number, nowMs: number): void {
    this.latencies.measure(workClass, latencyMs / this.slowness.factorAt(nowMs), nowMs);
  }

  /** Expected latency of the class of work without waiting, at the endpoint's present speed. */
  expectedLatencyMs(workClass: string, fallbackMs: number, nowMs: number): number {
    const usualMs = this.latencies.expectedMs(workClass, fallbackMs, nowMs);
    return usualMs * this.slowness.factorAt(nowMs);
  }

  /** Records that the endpoint's node refused the class of work for lack of capacity. */
  workRefused(workClass: string, holdMs: number, nowMs: number): void {
    this.refusesUntilMs.set(workClass, nowMs + Math.min(holdMs, MAX_REFUSAL_HOLD_MS));
  }

  /** Records that the endpoint's rate limit allows no request of the class of work for `holdMs`. */
  rateLimited(workClass: string, holdMs: number, nowMs: number): void {
    this.rateLimitedUntilMs = nowMs + Math.min(holdMs, MAX_RATE_LIMIT_HOLD_MS);
    this.refusesUntilMs.set(workClass, this.rateLimitedUntilMs);
  }

  /** Time until the endpoint is expected to accept a request by its rate limit, in milliseconds. */
  rateLimitedForMs(nowMs: number): number {
    return Math.max(0, this.rateLimitedUntilMs - nowMs);
  }

  /** Whether the class of work was refused recently enough to be refused again. */
  isRefusing(workClass: string, nowMs: number): boolean {
    return nowMs < (this.refusesUntilMs.get(workClass) ?? 0);
  }

  /** Whether there are enough consecutive failures to eject; for an ejected endpoint, one failed probe. */
  shouldEject(nowMs: number): boolean {
    if (this.ejectedUntilMs !== undefined) {
      return nowMs >= this.ejectedUntilMs && this.failures > 0;
    }
    return this.failures >= FAILURES_TO_EJECT || this.unreachable >= UNREACHABLE_TO_EJECT;
  }

  /** Ejects the endpoint; the duration doubles with each failed probe. */
  eject(nowMs: number): void {
    if (this.ejectedUntilMs !== undefined) {
      this.ejectionMs = Math.min(MAX_EJECTION_MS, this.ejectionMs * 2);
    }
    this.ejectedUntilMs = nowMs + this.ejectionMs;
    this.failures = 0;
    this.unreachable = 0;
  }

  private recover(nowMs: number): void {
    this.failures = 0;
    this.unreachable = 0;
    if (this.ejectedUntilMs !== undefined) {
      this.ejectedUntilMs = undefined;
      this.ejectionMs = FIRST_EJECTION_MS;
      this.startedAtMs = nowMs;
    }
  }

  private capacityShare(nowMs: number): number {
    if (nowMs < this.coldUntilMs) {
      return COLD_SHARE;
    }
    const rampedShare = (nowMs - this.startedAtMs) / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_SHARE, rampedShare));
  }
}

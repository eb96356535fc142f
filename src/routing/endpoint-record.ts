/** What one node has seen of one endpoint: load, failures, draining. Evidence, not health reports. */

import { FailureShare } from './failure-share.js';
import { LatencyEstimates } from './latency-estimates.js';

/** Time over which a new endpoint's share of requests grows to the full one, in milliseconds. */
const SLOW_START_MS = 10_000;
/** Share of its slots that a new endpoint counts with at first. */
const SLOW_START_SHARE = 0.1;
/** Share of its slots that an endpoint counts with which says that it is cold: its node bounds what it gets. */
const COLD_SHARE = 0.25;
/** A report of load loses half of its weight in this time, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1_000;
/** Failures in a row after which an endpoint is ejected. */
const FAILURES_TO_EJECT = 5;
/** Failed connections in a row after which an endpoint is ejected. */
const UNREACHABLE_TO_EJECT = 2;
/** Time of a first ejection, in milliseconds; doubles with each failed probe. */
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/** How long an endpoint that had no room for a class of work gets none of it, at most, in ms. */
const MAX_REFUSAL_HOLD_MS = 150;
/** How long an endpoint that said that it is draining gets nothing, in milliseconds. */
const DRAINING_HOLD_MS = 30_000;
/**
 * Time in which the node beside an endpoint that has started again may not have heard of it and speak of the
 * incarnation before, in milliseconds; configurations are known to all within a second or two.
 */
const NEWS_SPREAD_MS = 2_000;
/** How long an endpoint gets nothing whose node says in that time that it is draining, in milliseconds. */
const DOUBTED_DRAINING_HOLD_MS = 500;
/** How long an endpoint whose node is about to stop gets nothing, in milliseconds. */
const NODE_STOPPING_HOLD_MS = 3_000;
/** Added to the load of an endpoint that has refused, while it asked to be left alone. */
const REFUSAL_PENALTY = 1;

/**
 * - `answered`: an answer that speaks for the endpoint.
 * - `failed`: no answer, a broken one, or one that reports a fault of the endpoint.
 * - `unreachable`: no connection.
 * - `gone`: its process ended, or another one answers at its address.
 * - `refused`: not started, for lack of room or because of a drain.
 * - `abandoned`: given up by the caller; says nothing of the endpoint.
 */
export type AttemptOutcome =
  'answered' | 'failed' | 'unreachable' | 'gone' | 'refused' | 'abandoned';

/** Load as told by the endpoint or its node. */
export interface LoadObservation {
  /** Requests that run or wait there, of all senders. */
  readonly inFlight: number;
  readonly draining: boolean;
  /** Whether the endpoint's node is about to stop. */
  readonly isNodeStopping?: boolean;
  /** Share of the endpoint's latest requests that failed, by its node, which sees them all. */
  readonly failureShare?: number;
  /** Mean time that a class of work takes there, in milliseconds, by its node. */
  readonly serviceTime?: { readonly workClass: string; readonly meanMs: number };
  /** Time for which the endpoint asked to be left alone, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** The record of one endpoint. */
export class EndpointRecord {
  readonly latencies = new LatencyEstimates();
  private inFlight = 0;
  private othersInFlight = 0;
  private observedAtMs = 0;
  private busyUntilMs = 0;
  private drainingUntilMs = 0;
  /** Until when each class of work is turned away there. */
  private readonly refusesUntilMs = new Map<string, number>();
  /** What this node's own attempts came to. */
  private readonly ownFailures = new FailureShare();
  private readonly reportedFailures = new FailureShare();
  /** Failures in a row. */
  private failures = 0;
  private unreachable = 0;
  private ejectedUntilMs: number | undefined;
  private ejectionMs = FIRST_EJECTION_MS;
  private startedAtMs: number;
  private coldUntilMs = -Infinity;
  /** Until when what is said of a drain may be meant for the incarnation before. */
  private doubtsDrainUntilMs = -Infinity;

  /** `isCold` says that the endpoint has just appeared and gets few requests at first. */
  constructor(nowMs: number, isCold: boolean) {
    this.startedAtMs = isCold ? nowMs : -Infinity;
  }

  /** Takes for how much longer the endpoint is cold, by its own word; nothing needs to be guessed then. */
  takeColdNews(coldForMs: number, nowMs: number): void {
    this.coldUntilMs = nowMs + coldForMs;
    this.startedAtMs = -Infinity;
  }

  /** Requests of this node that are under way at the endpoint. */
  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Whether nothing would be lost with the record. */
  get isIdle(): boolean {
    return this.inFlight === 0 && this.ejectedUntilMs === undefined;
  }

  /** Whether the endpoint is kept out for failing; see {@link isProbeDue}. */
  get isEjected(): boolean {
    return this.ejectedUntilMs !== undefined;
  }

  /** Whether the ejected endpoint may be tried with one request. */
  isProbeDue(nowMs: number): boolean {
    const isDue = this.ejectedUntilMs !== undefined && this.ejectedUntilMs <= nowMs;
    return isDue && this.inFlight === 0;
  }

  /** Whether the endpoint said that it takes no new work. */
  isDraining(nowMs: number): boolean {
    return nowMs < this.drainingUntilMs;
  }

  /** Load as a share of the slots that count; a new endpoint counts with few. */
  load(slots: number, nowMs: number): number {
    const age = Math.max(0, nowMs - this.observedAtMs);
    const others = this.othersInFlight * 0.5 ** (age / LOAD_HALF_LIFE_MS);
    const penalty = nowMs < this.busyUntilMs ? REFUSAL_PENALTY : 0;
    return (this.inFlight + others) / (slots * this.warmth(nowMs)) + penalty;
  }

  /** Whether one more request may find a free slot, as far as is known. */
  mayHaveFreeSlot(slots: number, nowMs: number): boolean {
    return this.load(slots, nowMs) + 1 / slots <= 1;
  }

  /** Share of the endpoint's latest requests that failed, as far as is known. */
  failureShare(nowMs: number): number {
    return Math.max(this.ownFailures.at(nowMs), this.reportedFailures.at(nowMs));
  }

  /** The endpoint has started again, and this is the record of its new incarnation. */
  succeedsAnother(nowMs: number): void {
    this.doubtsDrainUntilMs = nowMs + NEWS_SPREAD_MS;
  }

  began(): void {
    this.inFlight += 1;
  }

  ended(outcome: AttemptOutcome, nowMs: number): void {
    this.inFlight -= 1;
    if (outcome !== 'refused' && outcome !== 'abandoned') {
      this.ownFailures.take(outcome !== 'answered', nowMs);
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
    this.othersInFlight = Math.max(0, load.inFlight - this.inFlight);
    this.observedAtMs = nowMs;
    this.reportedFailures.set(load.failureShare ?? 0, nowMs);
    if (load.serviceTime !== undefined) {
      this.latencies.told(load.serviceTime.workClass, load.serviceTime.meanMs, nowMs);
    }
    if (load.draining) {
      const isDoubtful = nowMs < this.doubtsDrainUntilMs;
      this.drainingUntilMs = nowMs + (isDoubtful ? DOUBTED_DRAINING_HOLD_MS : DRAINING_HOLD_MS);
    } else if (load.isNodeStopping === true) {
      this.drainingUntilMs = Math.max(this.drainingUntilMs, nowMs + NODE_STOPPING_HOLD_MS);
    }
    if (load.retryAfterMs !== undefined) {
      this.busyUntilMs = nowMs + load.retryAfterMs;
    }
  }

  /** The endpoint's node had no room for the class of work. */
  refusedWork(workClass: string, holdMs: number, nowMs: number): void {
    this.refusesUntilMs.set(workClass, nowMs + Math.min(holdMs, MAX_REFUSAL_HOLD_MS));
  }

  /** Whether the class of work was turned away so lately that it would be again. */
  isRefusing(workClass: string, nowMs: number): boolean {
    return nowMs < (this.refusesUntilMs.get(workClass) ?? 0);
  }

  /** Whether the failures in a row suffice; a failed probe is enough for an ejected endpoint. */
  shouldEject(nowMs: number): boolean {
    if (this.ejectedUntilMs !== undefined) {
      return nowMs >= this.ejectedUntilMs && this.failures > 0;
    }
    return this.failures >= FAILURES_TO_EJECT || this.unreachable >= UNREACHABLE_TO_EJECT;
  }

  /** Keeps the endpoint out; for longer after each failed probe. */
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

  private warmth(nowMs: number): number {
    if (nowMs < this.coldUntilMs) {
      return COLD_SHARE;
    }
    const grown = (nowMs - this.startedAtMs) / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_SHARE, grown));
  }
}

/**
 * Rate limit for a cold endpoint: within any period of one second, at most the number of requests that its service
 * configures arrives there. Protects endpoints that have just started or were idle, and would be overloaded
 * by a rate that they sustain when warm. Pure: time is passed in.
 *
 * The limit applies to all nodes together. It holds because only the endpoint's own node sends: for one second
 * after that node has started, its previous incarnation is assumed to have used up the limit.
 */
import type { ColdStart } from '../model/resource.js';
import { ARRIVAL_WINDOW_MS, ArrivalWindow, type ArrivalEvidence } from './arrival-window.js';
import type { RateLimiter } from './rate-limiter.js';

/** Time after a node's start in which requests of its previous incarnation may arrive and count, in milliseconds. */
const START_HOLD_MS = 1_100;
/** Requests below the limit that are left for health checks of the endpoint. */
const RESERVED_REQUESTS = 1;
/** Duration for which the limit ramps up after the endpoint has become warm, in milliseconds. */
const RAMP_MS = 1_000;
/** The limit at the end of the ramp, as a multiple of that of a cold endpoint. */
const RAMP_FACTOR = 4;

/** Limits the requests that one node sends to one endpoint. */
export class ColdStartLimiter implements RateLimiter {
  private coldStart: ColdStart | undefined;
  private share = 1;
  /** End of the cold period according to the latest report. */
  private reportedUntilMs = -Infinity;
  /** End of the period for which the endpoint is assumed to be cold, whatever earlier reports say. */
  private assumedUntilMs = -Infinity;
  private readonly arrivals = new ArrivalWindow();

  /** `startedAtMs` is when this node started; requests sent before then are not known. */
  constructor(private readonly startedAtMs: number) {}

  /** End of the cold period, as far as it is known. */
  get coldUntil(): number {
    return Math.max(this.reportedUntilMs, this.assumedUntilMs);
  }

  /** Sets the service's cold-start settings and the share of the limit that this node may use. */
  configure(coldStart: ColdStart | undefined, share: number): void {
    this.coldStart = coldStart;
    this.share = share;
  }

  /**
   * Sets the remaining cold period; overrides earlier reports, but not what is assumed: a report may have been written
   * before the event that the assumption follows from.
   */
  updateColdPeriod(coldForMs: number, nowMs: number): void {
    this.reportedUntilMs = nowMs + coldForMs;
  }

  /** Assumes that the endpoint is cold from now on, because it may have become so unnoticed. */
  assumeCold(nowMs: number): void {
    const durationMs = this.coldStart?.durationMs ?? 0;
    this.assumedUntilMs = Math.max(this.assumedUntilMs, nowMs + durationMs);
  }

  recordSent(requestId: string): void {
    this.arrivals.dispatched(requestId);
  }

  /** Records what is known of the arrival of a request that was sent. */
  recordArrival(requestId: string, evidence: ArrivalEvidence, nowMs: number): void {
    this.arrivals.settled(requestId, evidence, nowMs);
  }

  /** Whether requests that were sent count towards a limit that may apply. */
  hasRecentRequests(nowMs: number): boolean {
    return this.coldStart !== undefined && this.arrivals.countAt(nowMs) > 0;
  }

  availableAt(nowMs: number): number {
    const limit = this.limitAt(nowMs);
    if (limit === Infinity) {
      return Infinity;
    }
    if (nowMs < this.startedAtMs + START_HOLD_MS) {
      return 0;
    }
    return Math.max(0, limit - this.arrivals.countAt(nowMs));
  }

  maxDelayMs(count: number, nowMs: number): number {
    const limit = this.limitAt(nowMs);
    if (limit === Infinity || count <= this.availableAt(nowMs)) {
      return 0;
    }
    if (limit === 0) {
      return Math.max(0, this.coldUntil - nowMs);
    }
    const fullWindows = Math.floor((count - 1) / limit);
    return this.nextAvailableInMs(nowMs) + fullWindows * ARRIVAL_WINDOW_MS;
  }

  nextAvailableInMs(nowMs: number): number {
    if (this.availableAt(nowMs) > 0) {
      return 0;
    }
    const limit = this.limitAt(nowMs);
    if (limit === 0) {
      return Math.max(0, this.coldUntil - nowMs);
    }
    const excess = this.arrivals.countAt(nowMs) - limit + 1;
    const expiryMs = excess <= 0 ? 0 : this.arrivals.expiryMs(excess, nowMs);
    return Math.max(1, this.startedAtMs + START_HOLD_MS - nowMs, expiryMs);
  }

  /** Maximum number of requests in one window; Infinity once the endpoint is warm. */
  private limitAt(nowMs: number): number {
    const { coldStart, coldUntil } = this;
    if (coldStart === undefined || nowMs >= coldUntil + RAMP_MS) {
      return Infinity;
    }
    const maxInWindow = Math.max(1, Math.floor(coldStart.maxInSecond) - RESERVED_REQUESTS);
    const nodeLimit = Math.floor(maxInWindow * this.share);
    const warmForMs = Math.max(0, nowMs - coldUntil);
    return Math.floor(nodeLimit * (1 + (RAMP_FACTOR - 1) * (warmForMs / RAMP_MS)));
  }
}

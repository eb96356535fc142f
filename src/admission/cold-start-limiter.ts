/**
 * Rate limit for a cold endpoint: within any period of one second, it is sent at most the number of requests
 * that its service configures. Protects endpoints that have just started or were idle, and would be overloaded
 * by a rate that they sustain when warm. Pure: time is passed in.
 *
 * The limit applies to all nodes together. It holds because only the endpoint's own node sends: for one second
 * after that node has started, its previous incarnation is assumed to have used up the limit.
 */
import type { ColdStart } from '../model/resource.js';
import type { RateLimiter } from './rate-limiter.js';

/** Length of the window: one second plus the time for which a request may be in transit, in milliseconds. */
const WINDOW_MS = 1_100;
/** Reserve below the limit: requests in transit during a pause of the process arrive after the pause. */
const RESERVED_REQUESTS = 2;
/** Duration for which the limit ramps up after the endpoint has become warm, in milliseconds. */
const RAMP_MS = 1_000;
/** The limit at the end of the ramp, as a multiple of that of a cold endpoint. */
const RAMP_FACTOR = 4;

/** Limits the requests that one node sends to one endpoint. */
export class ColdStartLimiter implements RateLimiter {
  private coldStart: ColdStart | undefined;
  private share = 1;
  private coldUntilMs = -Infinity;
  /** Send times of the latest requests, in ascending order. */
  private sentAtMs: number[] = [];

  /** `startedAtMs` is when this node started; requests sent before then are not known. */
  constructor(private readonly startedAtMs: number) {}

  /** End of the cold period according to the latest report. */
  get coldUntil(): number {
    return this.coldUntilMs;
  }

  /** Sets the service's cold-start settings and the share of the limit that this node may use. */
  configure(coldStart: ColdStart | undefined, share: number): void {
    this.coldStart = coldStart;
    this.share = share;
  }

  /** Sets the remaining cold period; overrides earlier reports. */
  updateColdPeriod(coldForMs: number, nowMs: number): void {
    this.coldUntilMs = nowMs + coldForMs;
  }

  /** Assumes that the endpoint is cold until its next report, because it may have restarted unnoticed. */
  assumeCold(nowMs: number): void {
    const durationMs = this.coldStart?.durationMs ?? 0;
    this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + durationMs);
  }

  recordSent(nowMs: number): void {
    this.pruneSent(nowMs - WINDOW_MS);
    this.sentAtMs.push(nowMs);
  }

  availableAt(nowMs: number): number {
    const limit = this.limitAt(nowMs);
    if (limit === Infinity) {
      return Infinity;
    }
    if (nowMs < this.startedAtMs + WINDOW_MS) {
      return 0;
    }
    this.pruneSent(nowMs - WINDOW_MS);
    return Math.max(0, limit - this.sentAtMs.length);
  }

  maxDelayMs(count: number, nowMs: number): number {
    const limit = this.limitAt(nowMs);
    if (limit === Infinity || count <= this.availableAt(nowMs)) {
      return 0;
    }
    if (limit === 0) {
      return Math.max(0, this.coldUntilMs - nowMs);
    }
    const fullWindows = Math.floor((count - 1) / limit);
    return this.nextAvailableInMs(nowMs) + fullWindows * WINDOW_MS;
  }

  nextAvailableInMs(nowMs: number): number {
    if (this.availableAt(nowMs) > 0) {
      return 0;
    }
    const warmInMs = Math.max(0, this.coldUntilMs - nowMs);
    const oldest = this.sentAtMs[Math.max(0, this.sentAtMs.length - this.limitAt(nowMs))];
    const freeAtMs = Math.max(this.startedAtMs, oldest ?? -Infinity) + WINDOW_MS;
    return this.limitAt(nowMs) === 0 ? warmInMs : Math.max(1, freeAtMs - nowMs);
  }

  /** Maximum number of requests in one window; Infinity once the endpoint is warm. */
  private limitAt(nowMs: number): number {
    if (this.coldStart === undefined || nowMs >= this.coldUntilMs + RAMP_MS) {
      return Infinity;
    }
    const maxInWindow = Math.max(1, Math.floor(this.coldStart.maxInSecond) - RESERVED_REQUESTS);
    const nodeLimit = Math.floor(maxInWindow * this.share);
    const warmForMs = Math.max(0, nowMs - this.coldUntilMs);
    return Math.floor(nodeLimit * (1 + (RAMP_FACTOR - 1) * (warmForMs / RAMP_MS)));
  }

  private pruneSent(untilMs: number): void {
    const firstKept = this.sentAtMs.findIndex((sentAtMs) => sentAtMs > untilMs);
    this.sentAtMs.splice(0, firstKept < 0 ? this.sentAtMs.length : firstKept);
  }
}

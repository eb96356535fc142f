/**
 * Chooses which requests are worth one of those that an endpoint's own rate limit allows. Pure: time is passed in.
 */
import type { AdmissionTicket } from './admission-queue.js';
import type { RateLimiter } from './rate-limiter.js';

/**
 * Time after the last request after which a request is sent although it is not expected to finish, in milliseconds:
 * the service time is then measured again, and the limit heard.
 */
const TRIAL_INTERVAL_MS = 10_000;
/** Time that a request must have left, as a multiple of the mean service time. */
const NEEDED_TIME_FACTOR = 2;

/** The requests to one endpoint under its own rate limit. */
export class LimitedRequests {
  /** When the last request was sent; when the first was offered, before that. */
  private lastSentAtMs = Infinity;

  constructor(private readonly limiter: RateLimiter) {}

  /** Wait because of the limit for a request behind `waiting` others, in milliseconds. */
  waitMs(waiting: number, nowMs: number): number {
    return this.limiter.maxDelayMs(waiting + 1, nowMs);
  }

  recordOffer(nowMs: number): void {
    this.lastSentAtMs = Math.min(this.lastSentAtMs, nowMs);
  }

  recordSent(nowMs: number): void {
    this.lastSentAtMs = nowMs;
  }

  /**
   * Whether a request that the limit allows now would take the place of another one although it will probably not
   * finish before its deadline. `meanMs` is the mean service time of its class of work, 0 before the first measurement.
   */
  isWasted(ticket: AdmissionTicket, meanMs: number, nowMs: number): boolean {
    const isLimited = this.limiter.availableAt(nowMs) < Infinity;
    const isRecent = nowMs < this.lastSentAtMs + TRIAL_INTERVAL_MS;
    const { deadlineAtMs, targetAtMs = nowMs } = ticket;
    const neededMs = meanMs > 0 ? meanMs * NEEDED_TIME_FACTOR : targetAtMs - nowMs;
    return isLimited && isRecent && nowMs + neededMs > deadlineAtMs;
  }
}

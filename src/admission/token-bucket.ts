/**
 * Token bucket: limits the rate of requests to any rate, also to less than one request per second. Pure: time is
 * passed in.
 */
import type { RateLimiter } from './rate-limiter.js';

/** Time for which unused tokens accumulate, in seconds; at least one token accumulates. */
const BURST_S = 0.25;
const MS_PER_SECOND = 1_000;
/** Added to the number of tokens before it is rounded down, since refills add up with rounding errors. */
const ROUNDING_TOLERANCE = 1e-6;
/** Reported delay if the rate is 0, in milliseconds. */
const ZERO_RATE_DELAY_MS = 5_000;

/** One bucket. The rate is unlimited at first. */
export class TokenBucket implements RateLimiter {
  private ratePerS = Infinity;
  private tokens = 0;
  private refilledAtMs = -Infinity;

  /** Changes the rate. A limit that follows an unlimited rate starts without tokens. */
  setRate(ratePerS: number, nowMs: number): void {
    if (ratePerS !== this.ratePerS) {
      this.refill(nowMs);
      this.ratePerS = ratePerS;
      this.tokens = Math.min(this.tokens, this.capacity);
    }
  }

  recordSent(_requestId: string, nowMs: number): void {
    if (this.isLimited) {
      this.refill(nowMs);
      this.tokens -= 1;
    }
  }

  availableAt(nowMs: number): number {
    if (!this.isLimited) {
      return Infinity;
    }
    return Math.max(0, Math.floor(this.tokensAt(nowMs) + ROUNDING_TOLERANCE));
  }

  maxDelayMs(count: number, nowMs: number): number {
    if (count <= this.availableAt(nowMs)) {
      return 0;
    }
    return this.ratePerS === 0
      ? ZERO_RATE_DELAY_MS
      : ((count - this.tokensAt(nowMs)) / this.ratePerS) * MS_PER_SECOND;
  }

  nextAvailableInMs(nowMs: number): number {
    return Math.ceil(this.maxDelayMs(1, nowMs));
  }

  private get isLimited(): boolean {
    return this.ratePerS < Infinity;
  }

  private get capacity(): number {
    return this.isLimited ? Math.max(1, this.ratePerS * BURST_S) : 0;
  }

  private refill(nowMs: number): void {
    this.tokens = this.tokensAt(nowMs);
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
  }

  private tokensAt(nowMs: number): number {
    const elapsedS = Math.max(0, nowMs - this.refilledAtMs) / MS_PER_SECOND;
    return this.isLimited && elapsedS > 0
      ? Math.min(this.capacity, this.tokens + elapsedS * this.ratePerS)
      : this.tokens;
  }
}

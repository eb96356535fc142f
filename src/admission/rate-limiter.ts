/** Limits on the rate at which one node sends requests to one endpoint. Pure: time is passed in. */

/** Only {@link recordSent} changes the state: the times that the other methods are asked about may lie in the future. */
export interface RateLimiter {
  /** Records that the request was dispatched; it arrives at the endpoint then or later. */
  recordSent(requestId: string, nowMs: number): void;
  /** Number of requests that may be sent now; Infinity if the rate is not limited. */
  availableAt(nowMs: number): number;
  /** Upper bound on the time until `count` more requests have been sent, in milliseconds. */
  maxDelayMs(count: number, nowMs: number): number;
  /** Time until the next request may be sent, in milliseconds. */
  nextAvailableInMs(nowMs: number): number;
}

/** Does not limit the rate. */
export const NO_RATE_LIMIT: RateLimiter = {
  recordSent: () => undefined,
  availableAt: () => Infinity,
  maxDelayMs: () => 0,
  nextAvailableInMs: () => 0,
};

/** Enforces all of the given limits. */
export function combineRateLimits(limiters: readonly RateLimiter[]): RateLimiter {
  return {
    recordSent: (requestId, nowMs) =>
      limiters.forEach((limiter) => limiter.recordSent(requestId, nowMs)),
    availableAt: (nowMs) => Math.min(...limiters.map((limiter) => limiter.availableAt(nowMs))),
    maxDelayMs: (count, nowMs) =>
      Math.max(...limiters.map((limiter) => limiter.maxDelayMs(count, nowMs))),
    nextAvailableInMs: (nowMs) =>
      Math.max(...limiters.map((limiter) => limiter.nextAvailableInMs(nowMs))),
  };
}

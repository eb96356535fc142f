/** Jittered exponential back-off between dials. */
import type { RandomSource } from '../control/control-event.js';

/** Base of the exponential back-off, in milliseconds, before jitter. */
export const BASE_DIAL_BACKOFF_MS = 200;
/**
 * Maximum back-off in milliseconds, before jitter; bounds the time to detect a healed partition.
 */
export const MAX_DIAL_BACKOFF_MS = 10_000;

/** Maximum delay before dialling after a peer suggested alternatives, in milliseconds. */
const MAX_EXPEDITED_DELAY_MS = 200;
/** Consecutive failures after which suggested peers no longer shorten the back-off. */
const MAX_EXPEDITED_FAILURES = 20;

/** Schedules the next dial from the outcomes of earlier ones. */
export class DialSchedule {
  /** Number of consecutive failures. */
  failures = 0;
  /** Earliest time of the next dial, in milliseconds. */
  nextDialAt = 0;

  constructor(private readonly random: RandomSource) {}

  /** Resets the failure count after a dialled peer became a neighbour. */
  succeeded(): void {
    this.failures = 0;
  }

  /** Records a failed dial or a lack of candidates. Concurrent dials count as one failure. */
  failed(nowMs: number): void {
    if (nowMs < this.nextDialAt) {
      return;
    }
    this.failures += 1;
    const backoff = Math.min(MAX_DIAL_BACKOFF_MS, BASE_DIAL_BACKOFF_MS * 2 ** this.failures);
    this.nextDialAt = nowMs + backoff * (0.5 + this.random() * 0.5);
  }

  /** Shortens the back-off when a peer refused the link but suggested other peers. */
  expedite(nowMs: number): void {
    if (this.failures >= MAX_EXPEDITED_FAILURES) {
      return;
    }
    const isWaiting = this.nextDialAt > nowMs;
    const dialAt = nowMs + MAX_EXPEDITED_DELAY_MS * (0.25 + this.random() * 0.75);
    this.failures += isWaiting ? 0 : 1;
    this.nextDialAt = isWaiting ? Math.min(this.nextDialAt, dialAt) : dialAt;
  }
}

/** Jittered exponential back-off between dials. */
import type { RandomSource } from '../control/control-event.js';

/** Wait after a first failure, in milliseconds, before jitter. */
export const BASE_DIAL_BACKOFF_MS = 200;
/** Longest wait, in milliseconds, before jitter: the rate at which a healed partition is noticed. */
export const MAX_DIAL_BACKOFF_MS = 10_000;

/** Longest wait before a dial to someone who was just named, in milliseconds. */
const MAX_EXPEDITED_DELAY_MS = 200;
/** Failures in a row up to which a hint shortens the wait. */
const MAX_EXPEDITED_FAILURES = 20;

/** When the next dial is due, after successes and failures. */
export class DialSchedule {
  /** Failures in a row. */
  failures = 0;
  /** Earliest time of the next dial, in milliseconds. */
  nextDialAt = 0;

  constructor(private readonly random: RandomSource) {}

  /** A dial led to a neighbour. */
  succeeded(): void {
    this.failures = 0;
  }

  /** A dial failed, or there was nobody to dial. Dials made together count as one failure. */
  failed(nowMs: number): void {
    if (nowMs < this.nextDialAt) {
      return;
    }
    this.failures += 1;
    const backoff = Math.min(MAX_DIAL_BACKOFF_MS, BASE_DIAL_BACKOFF_MS * 2 ** this.failures);
    this.nextDialAt = nowMs + backoff * (0.5 + this.random() * 0.5);
  }

  /** The dial was refused, but others were named: no need to wait for the whole back-off. */
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

/**
 * Bounds how long an answer may take. What is on its way is waited for as long as bytes come: an answer that had
 * to be whole in the time within which it has to begin was given up shortly before its end on a thin link,
 * and asked for again from its beginning.
 */
import { MACHINE_CLOCK } from './machine-clock.js';

/**
 * Time from the first byte of an answer or a message to its last, in milliseconds: who sends a byte now and then is
 * not to hold a node for ever. Twice the time that a configuration may take.
 */
export const MAX_TRANSFER_MS = 5_000;

/** How long an answer may take, in milliseconds. */
export interface ProgressBounds {
  /** Until its first byte. */
  readonly beginMs: number;
  /** Between two bytes. */
  readonly idleMs: number;
}

/**
 * - `silent`: nothing came for as long as it may.
 * - `slow`: bytes came, and the last of them did not.
 */
export type Lateness = 'silent' | 'slow';

/** The timer of one answer; it runs from the start until it is ended. */
export class ProgressTimer {
  private timer: NodeJS.Timeout;
  private beganAtMs: number | undefined;

  constructor(
    private readonly bounds: ProgressBounds,
    private readonly onLate: (lateness: Lateness) => void,
  ) {
    this.timer = setTimeout(() => onLate('silent'), bounds.beginMs);
  }

  /** Bytes came. */
  progressed(): void {
    const nowMs = MACHINE_CLOCK.now();
    this.beganAtMs ??= nowMs;
    const { idleMs } = this.bounds;
    const leftMs = this.beganAtMs + MAX_TRANSFER_MS - nowMs;
    clearTimeout(this.timer);
    this.timer =
      leftMs < idleMs
        ? setTimeout(() => this.onLate('slow'), Math.max(0, leftMs))
        : setTimeout(() => this.onLate('silent'), idleMs);
  }

  /** The answer is whole, or its connection has ended. */
  end(): void {
    clearTimeout(this.timer);
  }
}

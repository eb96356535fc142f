/**
 * Timeouts for a response: until its first byte, and then between bytes. A response that is in progress may take
 * longer than the time until its first byte; with one timeout for the complete response, transfers over slow links
 * were aborted shortly before their end and started again from the beginning.
 */
import { MACHINE_CLOCK } from './machine-clock.js';

/**
 * Maximum time from the first to the last byte of a response or message, in milliseconds, so that a peer that sends
 * a byte now and then cannot occupy a node forever. Twice the time that the transfer of a configuration may take.
 */
export const MAX_TRANSFER_MS = 5_000;

/** Timeouts of one response, in milliseconds. */
export interface ProgressTimeouts {
  /** Until its first byte. */
  readonly beginMs: number;
  /** Between two bytes. */
  readonly idleMs: number;
}

/**
 * - `silent`: no bytes were received within the timeout.
 * - `slow`: bytes were received, but the response was not complete within {@link MAX_TRANSFER_MS}.
 */
export type TimeoutReason = 'silent' | 'slow';

/** The timer of one response; runs from its construction until {@link end} is called. */
export class ProgressTimer {
  private timer: NodeJS.Timeout;
  private firstByteAtMs: number | undefined;

  constructor(
    private readonly timeouts: ProgressTimeouts,
    private readonly onTimeout: (reason: TimeoutReason) => void,
  ) {
    this.timer = setTimeout(() => onTimeout('silent'), timeouts.beginMs);
  }

  /** Records that bytes were received. */
  recordProgress(): void {
    const nowMs = MACHINE_CLOCK.now();
    this.firstByteAtMs ??= nowMs;
    const { idleMs } = this.timeouts;
    const remainingMs = this.firstByteAtMs + MAX_TRANSFER_MS - nowMs;
    clearTimeout(this.timer);
    this.timer =
      remainingMs < idleMs
        ? setTimeout(() => this.onTimeout('slow'), Math.max(0, remainingMs))
        : setTimeout(() => this.onTimeout('silent'), idleMs);
  }

  /** Stops the timer when the response is complete or its connection is closed. */
  end(): void {
    clearTimeout(this.timer);
  }
}

/**
 * Requests of one connection that were read but not started. Requests start only after all frames that have arrived are
 * read, so that a request whose cancellation is behind it does not run. A request that was in transit for long is held
 * until its sender has shown that it sent no cancellation meanwhile: a cancellation follows on the same connection.
 */
import type { CancelTimer, Scheduler } from '../scheduler.js';
import type { RequestFrame } from './relay-frame.js';

/**
 * Transit delay in milliseconds up to which a request starts at once: half of the time within which a caller's disconnect
 * must take effect.
 */
const MAX_UNCONFIRMED_DELAY_MS = 250;
/** Largest share of the time left to a request for which it is held. */
const MAX_HOLD_SHARE = 0.25;

/** Dependencies of {@link PendingRequests}. */
export interface PendingRequestsOptions {
  readonly scheduler: Scheduler;
  /** Runs the action once the process has read what had arrived; at once if the process is on time. */
  readonly whenInputRead: (action: () => void) => void;
  /** Runs the action once everything is read that the peer had sent when it learned of this call. */
  readonly whenPeerHasRead: (action: () => void) => void;
  /** Excess transit delay of a request that is read now, without its time in the sockets of this process. */
  readonly transitDelayMs: (frame: RequestFrame) => number;
  readonly start: (frame: RequestFrame) => void;
  /** Called when a request is held for its sender's confirmation. */
  readonly onHeld: () => void;
}

interface PendingRequest {
  readonly frame: RequestFrame;
  /** Time for which the request is held at most, in milliseconds. */
  readonly holdMs: number;
  cancelTimer?: CancelTimer;
}

export class PendingRequests {
  /** Requests from the latest reads, by stream. */
  private readonly unread = new Map<number, PendingRequest>();
  /** Requests that are held for their sender's confirmation, by stream. */
  private readonly held = new Map<number, PendingRequest>();
  private isWaitingForInput = false;

  constructor(private readonly options: PendingRequestsOptions) {}

  get size(): number {
    return this.unread.size + this.held.size;
  }

  has(streamId: number): boolean {
    return this.unread.has(streamId) || this.held.has(streamId);
  }

  /** Adds a request whose frame has just been read. */
  add(frame: RequestFrame): void {
    this.unread.set(frame.streamId, { frame, holdMs: this.holdMs(frame) });
  }

  /** Removes a request; returns whether it was pending. */
  remove(streamId: number): boolean {
    this.held.get(streamId)?.cancelTimer?.();
    return this.unread.delete(streamId) || this.held.delete(streamId);
  }

  /** Removes the request with the given id; returns whether it was pending. */
  removeById(requestId: string): boolean {
    const all = [...this.unread.values(), ...this.held.values()];
    const found = all.find(({ frame }) => frame.requestId === requestId);
    return found !== undefined && this.remove(found.frame.streamId);
  }

  clear(): void {
    [...this.unread.keys(), ...this.held.keys()].forEach((streamId) => this.remove(streamId));
  }

  /** Must be called after all frames of a read have been handled. */
  startWhenRead(): void {
    if (this.unread.size > 0 && !this.isWaitingForInput) {
      this.isWaitingForInput = true;
      this.options.whenInputRead(() => {
        this.isWaitingForInput = false;
        this.startRead();
      });
    }
  }

  private startRead(): void {
    const pending = [...this.unread.values()];
    this.unread.clear();
    const late = pending.filter(({ holdMs }) => holdMs > 0);
    pending.filter(({ holdMs }) => holdMs <= 0).forEach(({ frame }) => this.options.start(frame));
    if (late.length > 0) {
      this.hold(late);
    }
  }

  private hold(late: readonly PendingRequest[]): void {
    for (const pending of late) {
      this.held.set(pending.frame.streamId, pending);
      this.options.onHeld();
      pending.cancelTimer = this.options.scheduler.schedule(pending.holdMs, () =>
        this.release([pending]),
      );
    }
    this.options.whenPeerHasRead(() => this.release(late));
  }

  /** Starts held requests, unless they are cancelled by what has arrived by now. */
  private release(requests: readonly PendingRequest[]): void {
    this.options.whenInputRead(() => {
      for (const pending of requests) {
        const { streamId } = pending.frame;
        if (this.held.get(streamId) === pending) {
          this.remove(streamId);
          this.options.start(pending.frame);
        }
      }
    });
  }

  /** If the caller disconnected half a second before the request arrived, its cancellation arrives within this time. */
  private holdMs(frame: RequestFrame): number {
    const delayMs = this.options.transitDelayMs(frame);
    const leftMs = Math.max(0, frame.remainingMs - delayMs);
    return Math.min(delayMs - MAX_UNCONFIRMED_DELAY_MS, leftMs * MAX_HOLD_SHARE);
  }
}

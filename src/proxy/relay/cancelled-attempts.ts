/** Attempts that were cancelled on another connection before their requests arrived. Bounded; performs no I/O. */

/** Time for which a cancellation is remembered, in milliseconds: longer than most deadlines. */
const RETENTION_MS = 10_000;
const MAX_ENTRIES = 1_024;

export class CancelledAttempts {
  /** When each cancellation arrived, by the id of its attempt, oldest first. */
  private readonly arrivedAtMs = new Map<string, number>();

  add(requestId: string, nowMs: number): void {
    this.removeOld(nowMs);
    this.arrivedAtMs.set(requestId, nowMs);
  }

  /** Forgets the cancellation of an attempt whose request has arrived; returns whether there was one. */
  take(requestId: string): boolean {
    return this.arrivedAtMs.delete(requestId);
  }

  private removeOld(nowMs: number): void {
    for (const [requestId, atMs] of this.arrivedAtMs) {
      if (this.arrivedAtMs.size < MAX_ENTRIES && nowMs - atMs < RETENTION_MS) {
        return;
      }
      this.arrivedAtMs.delete(requestId);
    }
  }
}

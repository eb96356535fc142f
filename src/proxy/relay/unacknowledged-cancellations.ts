/** Cancellations that the peer has not provably received. Bounded; performs no I/O. */

const MAX_ENTRIES = 256;

export class UnacknowledgedCancellations {
  /** When each was sent, in milliseconds, by the id of its attempt, oldest first. */
  private readonly sentAtMs = new Map<string, number>();

  add(requestId: string, nowMs: number): void {
    const [oldest] = this.sentAtMs.keys();
    if (oldest !== undefined && this.sentAtMs.size >= MAX_ENTRIES) {
      this.sentAtMs.delete(oldest);
    }
    this.sentAtMs.set(requestId, nowMs);
  }

  /** Removes the cancellations that were sent before `deliveredMs`; the peer has received them. */
  delivered(deliveredMs: number): void {
    for (const [requestId, atMs] of this.sentAtMs) {
      if (atMs >= deliveredMs) {
        return;
      }
      this.sentAtMs.delete(requestId);
    }
  }

  get requestIds(): string[] {
    return [...this.sentAtMs.keys()];
  }
}

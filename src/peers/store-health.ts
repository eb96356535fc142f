/** Whether the store serves this node's own reads, from its calls and their answers. Pure. */

/** Delay beyond the wait of a watch from which its answer is overdue, in milliseconds; the store answers in a few. */
const OVERDUE_MS = 100;
/** Factor of the longest recent delay from which an answer is overdue, for a store that is slow. */
const OVERDUE_DELAY_FACTOR = 2;
/** Factor by which the longest recent delay decreases with each answer. */
const DELAY_DECAY = 0.7;

/** A watch that has not been answered yet. */
interface PendingWatch {
  readonly beganAtMs: number;
  readonly waitMs: number;
}

/** The calls of one node. */
export class StoreHealth {
  /** When the store last answered a current read; -Infinity before the first time. */
  private confirmedAtMs = -Infinity;
  /** Whether the last read failed. */
  private isFailing = false;
  private pending: PendingWatch | undefined;
  /** Longest recent delay of an answer beyond the wait of its watch, in milliseconds. */
  private delayMs = 0;

  /** Records that the node reads the store again: what was answered before tells nothing of now. */
  resumed(): void {
    this.confirmedAtMs = -Infinity;
    this.pending = undefined;
  }

  /** Records that a watch has begun, which the store answers within `waitMs` if nothing changes. */
  watchBegan(nowMs: number, waitMs: number): void {
    this.pending = { beganAtMs: nowMs, waitMs };
  }

  /** Records that bytes of an answer have arrived: it is no longer overdue. */
  progressed(): void {
    this.pending = undefined;
  }

  /** Records an answer; only a current one confirms that the store serves this node. */
  answered(nowMs: number, isCurrent: boolean): void {
    if (this.pending !== undefined) {
      const delayMs = nowMs - this.pending.beganAtMs - this.pending.waitMs;
      this.delayMs = Math.max(delayMs, this.delayMs * DELAY_DECAY);
    }
    this.pending = undefined;
    this.isFailing = false;
    if (isCurrent) {
      this.confirmedAtMs = nowMs;
    }
  }

  failed(): void {
    this.pending = undefined;
    this.isFailing = true;
  }

  /** Whether a current answer is at most `maxAgeMs` old, no read has failed since, and none is overdue. */
  isServing(nowMs: number, maxAgeMs: number): boolean {
    const isRecent = nowMs - this.confirmedAtMs < maxAgeMs;
    return isRecent && !this.isFailing && nowMs < this.overdueAtMs;
  }

  /** When the answer to the pending watch is overdue; Infinity if there is none. */
  get overdueAtMs(): number {
    if (this.pending === undefined) {
      return Infinity;
    }
    const slackMs = Math.max(OVERDUE_MS, this.delayMs * OVERDUE_DELAY_FACTOR);
    return this.pending.beganAtMs + this.pending.waitMs + slackMs;
  }
}

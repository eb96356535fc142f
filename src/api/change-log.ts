/**
 * The changes that watches can read: a bounded log of batches, one for each snapshot that came into
 * force. Watchers share it; each holds only its position, so a slow one costs no memory. Pure.
 */
import type { ResourceKind } from '../model/resource.js';

/** One change, ready to be sent. Contains no secret. */
export interface LoggedChange {
  readonly kind: ResourceKind;
  readonly line: string;
}

/** All changes that one snapshot brought. */
export interface ChangeBatch {
  /** Cursor of the snapshot. */
  readonly cursor: string;
  readonly changes: readonly LoggedChange[];
}

/** What the log keeps at most. */
export interface ChangeLogBounds {
  readonly maxEvents: number;
  readonly maxBytes: number;
}

/** What a position reads: a batch, nothing yet, or a place that the log no longer reaches. */
export type LogEntry = ChangeBatch | 'at-end' | 'lost';

interface StoredBatch extends ChangeBatch {
  readonly bytes: number;
}

/** Mutable log; positions count batches from the start of the process. */
export class ChangeLog {
  private readonly batches: StoredBatch[] = [];
  private readonly positions = new Map<string, number>();
  private oldest = 0;
  private events = 0;
  private bytes = 0;

  /** `cursor` is the cursor of the snapshot in force now. */
  constructor(
    private readonly bounds: ChangeLogBounds,
    cursor: string,
  ) {
    this.positions.set(cursor, 0);
  }

  /** Position after the newest batch. */
  get end(): number {
    return this.oldest + this.batches.length;
  }

  /** Adds a batch and forgets the oldest ones beyond the bounds, perhaps the new one itself. */
  append(batch: ChangeBatch): void {
    const bytes = batch.changes.reduce((sum, change) => sum + change.line.length, 0);
    this.batches.push({ ...batch, bytes });
    this.events += batch.changes.length;
    this.bytes += bytes;
    this.positions.set(batch.cursor, this.end);
    while (this.events > this.bounds.maxEvents || this.bytes > this.bounds.maxBytes) {
      this.forgetOldest();
    }
  }

  /** Where a watch goes on that has seen everything up to `cursor`; undefined when unknown. */
  positionOf(cursor: string): number | undefined {
    return this.positions.get(cursor);
  }

  /** The batch at `position`. */
  read(position: number): LogEntry {
    if (position < this.oldest) {
      return 'lost';
    }
    return this.batches[position - this.oldest] ?? 'at-end';
  }

  private forgetOldest(): void {
    const batch = this.batches.shift();
    if (batch === undefined) {
      return;
    }
    this.oldest += 1;
    this.events -= batch.changes.length;
    this.bytes -= batch.bytes;
    this.forgetCursorsBefore(this.oldest);
  }

  private forgetCursorsBefore(position: number): void {
    for (const [cursor, known] of this.positions) {
      if (known >= position) {
        return;
      }
      this.positions.delete(cursor);
    }
  }
}

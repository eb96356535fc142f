/**
 * The changes that watches read: a bounded log of batches, one for each snapshot that became current.
 * Watches share it and each keeps only its position, so that a slow watch uses no memory. Pure.
 */
import type { ResourceKind } from '../model/resource.js';

/** One serialized change. Contains no secret. */
export interface LoggedChange {
  readonly kind: ResourceKind;
  readonly line: string;
}

/** All changes of one snapshot. */
export interface ChangeBatch {
  /** Cursor of the snapshot. */
  readonly cursor: string;
  readonly changes: readonly LoggedChange[];
}

/** Maximum size of the log. */
export interface ChangeLogBounds {
  readonly maxEvents: number;
  readonly maxBytes: number;
}

/** Result of reading a position: a batch, `at-end` if there is none yet, `lost` if it was evicted. */
export type LogEntry = ChangeBatch | 'at-end' | 'lost';

interface StoredBatch extends ChangeBatch {
  readonly bytes: number;
}

/** Mutable log; positions count batches since the start of the process. */
export class ChangeLog {
  private readonly batches: StoredBatch[] = [];
  private readonly positions = new Map<string, number>();
  private oldest = 0;
  private events = 0;
  private bytes = 0;

  /** `cursor` is the cursor of the current snapshot. */
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

  /** Adds a batch and evicts the oldest ones beyond the bounds, possibly including the new one. */
  append(batch: ChangeBatch): void {
    const bytes = batch.changes.reduce((sum, change) => sum + change.line.length, 0);
    this.batches.push({ ...batch, bytes });
    this.events += batch.changes.length;
    this.bytes += bytes;
    this.positions.set(batch.cursor, this.end);
    while (this.events > this.bounds.maxEvents || this.bytes > this.bounds.maxBytes) {
      this.evictOldest();
    }
  }

  /** Position from which a watch resumes after `cursor`; undefined if the cursor is unknown. */
  positionOf(cursor: string): number | undefined {
    return this.positions.get(cursor);
  }

  read(position: number): LogEntry {
    if (position < this.oldest) {
      return 'lost';
    }
    return this.batches[position - this.oldest] ?? 'at-end';
  }

  private evictOldest(): void {
    const batch = this.batches.shift();
    if (batch === undefined) {
      return;
    }
    this.oldest += 1;
    this.events -= batch.changes.length;
    this.bytes -= batch.bytes;
    this.evictCursorsBefore(this.oldest);
  }

  private evictCursorsBefore(position: number): void {
    for (const [cursor, cursorPosition] of this.positions) {
      if (cursorPosition >= position) {
        return;
      }
      this.positions.delete(cursor);
    }
  }
}

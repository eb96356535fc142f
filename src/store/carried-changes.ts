/**
 * Changes carried over from before the store was restored from a backup. The backup may list endpoints as
 * ready that have since drained or been removed, and may lack the latest writes. Writers repeat these within
 * seconds; until then, nodes use the carried changes alongside the restored items. Pure.
 */
import type { StoreChange } from './key-value-store.js';

/**
 * Retention of carried changes, in milliseconds. Current state is rewritten within this period; entries that
 * are not renewed are removed earlier.
 */
export const REWRITE_PERIOD_MS = 8_000;
/** Retention of an endpoint that is missing from the restored store, in milliseconds. */
export const MISSING_ENDPOINT_RETENTION_MS = 2_000;

/** Returns the retention of a change whose key is missing from the restored store, in milliseconds. */
export type MissingItemRetention = (change: StoreChange) => number;

/** A change from an earlier era and its retention. */
interface CarriedChange {
  readonly change: StoreChange;
  readonly retentionMs: number;
}

/** The carried changes of one replica. */
export class CarriedChanges {
  private carried: CarriedChange[] = [];
  /** Time of the first `expire` call with carried changes in this era; retention starts then. */
  private retentionStartMs: number | undefined;

  constructor(private readonly missingItemRetentionMs: MissingItemRetention) {}

  /** The changes, oldest era first. */
  get changes(): readonly StoreChange[] {
    return this.carried.map(({ change }) => change);
  }

  /** Starts a new era: carries over the held and already carried changes that differ from `listed`. */
  begin(held: Iterable<StoreChange>, listed: readonly StoreChange[]): void {
    const values = new Map(listed.map(({ key, value }) => [key, value]));
    const differing = [...this.changes, ...held].filter(
      ({ key, value }) => values.get(key) !== value,
    );
    this.retentionStartMs = undefined;
    this.carried = differing.map((change) => ({
      change,
      retentionMs: values.has(change.key) ? REWRITE_PERIOD_MS : this.missingItemRetentionMs(change),
    }));
  }

  /** Discards the changes of a key that has been written in the current era. */
  drop(key: string): void {
    if (this.carried.length > 0) {
      this.carried = this.carried.filter(({ change }) => change.key !== key);
    }
  }

  /**
   * Discards the changes whose retention has elapsed; returns whether there were any. Must be called several
   * times a second.
   */
  expire(nowMs: number): boolean {
    if (this.carried.length === 0) {
      return false;
    }
    this.retentionStartMs ??= nowMs;
    const ageMs = nowMs - this.retentionStartMs;
    const remaining = this.carried.filter(({ retentionMs }) => ageMs < retentionMs);
    const hasExpired = remaining.length < this.carried.length;
    this.carried = remaining;
    return hasExpired;
  }
}

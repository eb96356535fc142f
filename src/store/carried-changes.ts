/**
 * Changes carried over from before the store was restored from a backup. The backup may list endpoints as
 * ready that have since drained or been removed, and may lack the latest writes. Until writers have repeated these, nodes
 * use the carried changes alongside the restored items, and hand them over to nodes that start. Pure.
 */
import type { StoreChange } from './key-value-store.js';

/** Decides how long a change is carried over. */
export interface CarryPolicy {
  /**
   * Longest time for which the change is carried, in milliseconds; Infinity if only a write ends it. `isListed` is whether
   * the restored store has an item of its key.
   */
  readonly retentionMs: (change: StoreChange, isListed: boolean) => number;
  /** The number of the configuration that the change contains; undefined if it contains none. */
  readonly configurationNumber: (change: StoreChange) => number | undefined;
}

/** A change from an earlier era. */
export interface CarriedChange {
  readonly change: StoreChange;
  /** Remaining time for which it is carried, in milliseconds; Infinity if only a write ends it. */
  readonly retentionMs: number;
}

interface CarriedEntry extends CarriedChange {
  /** Undefined until the first {@link CarriedChanges.expire}, since the time of the restore is unknown before. */
  readonly expiresAtMs: number | undefined;
  readonly configurationNumber: number | undefined;
}

/** The carried changes of one replica. */
export class CarriedChanges {
  private carried: CarriedEntry[] = [];

  constructor(private readonly policy: CarryPolicy) {}

  /** The changes, oldest era first. */
  get changes(): readonly StoreChange[] {
    return this.carried.map(({ change }) => change);
  }

  /** The changes with the time that remains to each. */
  remaining(nowMs: number): CarriedChange[] {
    return this.carried.map(({ change, retentionMs, expiresAtMs }) => ({
      change,
      retentionMs: expiresAtMs === undefined ? retentionMs : Math.max(0, expiresAtMs - nowMs),
    }));
  }

  /** Starts a new era: carries over the held and already carried changes that differ from `listed`. */
  begin(held: Iterable<StoreChange>, listed: readonly StoreChange[]): void {
    const values = new Map(listed.map(({ key, value }) => [key, value]));
    const changes = [...this.changes, ...held];
    this.carried = changes
      .filter(({ key, value }) => values.get(key) !== value)
      .map((change) =>
        this.entryOf(change, this.policy.retentionMs(change, values.has(change.key))),
      );
    for (const change of listed) {
      this.drop(change, (entry) => entry.configurationNumber !== undefined);
    }
  }

  /** Adds a change that a peer carries, unless the same or a later one of its key is carried; returns whether it was added. */
  add({ change, retentionMs }: CarriedChange): boolean {
    const isKnown = this.carried.some(
      (entry) => entry.change.key === change.key && entry.change.revision >= change.revision,
    );
    if (isKnown || retentionMs <= 0) {
      return false;
    }
    this.carried.push(this.entryOf(change, retentionMs));
    return true;
  }

  /** Discards the changes of a key that has been written in the current era, except configurations of a higher number. */
  drop(written: StoreChange, isEligible: (entry: CarriedEntry) => boolean = () => true): void {
    if (this.carried.every(({ change }) => change.key !== written.key)) {
      return;
    }
    const number = this.policy.configurationNumber(written) ?? -Infinity;
    this.carried = this.carried.filter(
      (entry) =>
        entry.change.key !== written.key ||
        !isEligible(entry) ||
        (entry.configurationNumber ?? -Infinity) > number,
    );
  }

  /**
   * Discards the changes whose retention has elapsed; returns whether there were any. Must be called several
   * times a second.
   */
  expire(nowMs: number): boolean {
    if (this.carried.length === 0) {
      return false;
    }
    const before = this.carried.length;
    this.carried = this.carried
      .map((entry) => ({ ...entry, expiresAtMs: entry.expiresAtMs ?? nowMs + entry.retentionMs }))
      .filter(({ expiresAtMs }) => nowMs < expiresAtMs);
    return this.carried.length < before;
  }

  private entryOf(change: StoreChange, retentionMs: number): CarriedEntry {
    const configurationNumber = this.policy.configurationNumber(change);
    return { change, retentionMs, expiresAtMs: undefined, configurationNumber };
  }
}

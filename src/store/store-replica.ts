/**
 * A node's replica of the store: the newest known state of each item, by revision. Changes may come
 * from the store and from peers, in any order and more than once; the higher revision wins, so that
 * no item ever goes back. Removals are remembered, so that an older peer can't bring an item back.
 * Pure.
 */
import { ChangeLog } from './change-log.js';
import type { StoreChange } from './key-value-store.js';

/** Removals remembered at most; beyond that, the oldest are forgotten. */
const MAX_REMOVALS = 2_000;

/** Changes that bring another replica up to `revision`. */
export interface ReplicaDelta {
  /** Revision that the receiver must hold; 0 where the delta is the whole state. */
  readonly sinceRevision: number;
  readonly revision: number;
  readonly changes: readonly StoreChange[];
}

/** The replica. */
export class StoreReplica {
  private readonly changes = new Map<string, StoreChange>();
  /** The same changes by revision, so that a delta costs what it holds, not what the replica holds. */
  private readonly log = new ChangeLog((change) => this.changes.get(change.key) === change);
  private removalCount = 0;
  private completeUpTo = 0;
  /** Deltas from before this revision would miss removals that are not known, or were forgotten. */
  private removalsKnownFrom = 0;

  /** The replica holds every change up to this revision; 0 before the first list. */
  get revision(): number {
    return this.completeUpTo;
  }

  /** The items that exist. */
  *items(): IterableIterator<StoreChange> {
    for (const change of this.changes.values()) {
      if (change.value !== undefined) {
        yield change;
      }
    }
  }

  /**
   * Takes a whole list that was begun at `revision`; true when an item changed. A list does not tell
   * what was removed before it, so peers that are older than it are given the whole state.
   */
  takeList(items: readonly StoreChange[], revision: number): boolean {
    const listed = new Set(items.map(({ key }) => key));
    let hasChanged = this.takeEach(
      [...items].sort((left, right) => left.revision - right.revision),
    );
    for (const { key, revision: heldRevision, value } of [...this.changes.values()]) {
      const isRemoved = value !== undefined && !listed.has(key) && heldRevision <= revision;
      if (isRemoved) {
        this.set({ key, revision, value: undefined });
        hasChanged = true;
      }
    }
    this.completeUpTo = Math.max(this.completeUpTo, revision);
    this.removalsKnownFrom = Math.max(this.removalsKnownFrom, revision);
    return hasChanged;
  }

  /** Takes what a watch told; true when an item changed. */
  takeChanges(changes: readonly StoreChange[], revision: number): boolean {
    const hasChanged = this.takeEach(changes);
    this.completeUpTo = Math.max(this.completeUpTo, revision);
    this.forgetRemovals();
    return hasChanged;
  }

  /** Takes what a peer told; true when an item changed. A delta with a gap before it is not taken. */
  takeDelta(delta: ReplicaDelta): boolean {
    if (delta.sinceRevision === 0) {
      return delta.revision > this.completeUpTo && this.takeList(existing(delta), delta.revision);
    }
    return (
      delta.sinceRevision <= this.completeUpTo && this.takeChanges(delta.changes, delta.revision)
    );
  }

  /** What a replica that is complete up to `sinceRevision` lacks. */
  deltaSince(sinceRevision: number): ReplicaDelta {
    const isWhole = sinceRevision === 0 || sinceRevision < this.removalsKnownFrom;
    return isWhole
      ? { sinceRevision: 0, revision: this.completeUpTo, changes: [...this.items()] }
      : { sinceRevision, revision: this.completeUpTo, changes: this.log.since(sinceRevision) };
  }

  private takeEach(changes: readonly StoreChange[]): boolean {
    let hasChanged = false;
    for (const change of changes) {
      const held = this.changes.get(change.key);
      if (held === undefined || held.revision < change.revision) {
        this.set(change);
        hasChanged ||= held?.value !== change.value;
      }
    }
    return hasChanged;
  }

  private set(change: StoreChange): void {
    const held = this.changes.get(change.key);
    this.removalCount += countRemoval(change) - countRemoval(held);
    this.changes.set(change.key, change);
    this.log.add(change, this.changes.size);
  }

  private forgetRemovals(): void {
    if (this.removalCount <= MAX_REMOVALS) {
      return;
    }
    const removals = [...this.changes.values()].filter(({ value }) => value === undefined);
    removals.sort((left, right) => left.revision - right.revision);
    for (const { key, revision } of removals.slice(0, removals.length / 2)) {
      this.changes.delete(key);
      this.removalCount -= 1;
      this.removalsKnownFrom = Math.max(this.removalsKnownFrom, revision);
    }
  }
}

function countRemoval(change: StoreChange | undefined): number {
  return change !== undefined && change.value === undefined ? 1 : 0;
}

function existing(delta: ReplicaDelta): readonly StoreChange[] {
  return delta.changes.filter(({ value }) => value !== undefined);
}

/** Log of changes in revision order, without changes superseded by later ones. Pure. */
import type { StoreChange } from './key-value-store.js';

/** Superseded changes that may be kept in addition to as many as there are current ones. */
const MAX_SUPERSEDED = 64;

/** The log of one replica. */
export class ChangeLog {
  private changes: StoreChange[] = [];

  /** `isCurrent` returns whether a change has not been superseded by a later one. */
  constructor(private readonly isCurrent: (change: StoreChange) => boolean) {}

  /** Adds a change, usually the newest; `currentCount` is the number of current changes. */
  add(change: StoreChange, currentCount: number): void {
    this.changes.splice(this.indexAfter(change.revision), 0, change);
    if (this.changes.length > 2 * currentCount + MAX_SUPERSEDED) {
      this.changes = this.changes.filter((one) => this.isCurrent(one));
    }
  }

  clear(): void {
    this.changes = [];
  }

  /** The current changes after `revision`, oldest first. */
  since(revision: number): StoreChange[] {
    return this.changes.slice(this.indexAfter(revision)).filter((change) => this.isCurrent(change));
  }

  /** Index of the first change after `revision`; searched from the end, where it usually is. */
  private indexAfter(revision: number): number {
    let index = this.changes.length;
    while (index > 0 && (this.changes[index - 1]?.revision ?? 0) > revision) {
      index -= 1;
    }
    return index;
  }
}

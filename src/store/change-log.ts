/** Changes in the order of their revisions, without those that later ones replaced. Pure. */
import type { StoreChange } from './key-value-store.js';

/** Replaced changes that are kept at most, beyond as many as there are valid ones. */
const MAX_SUPERSEDED = 64;

/** The log of one replica. */
export class ChangeLog {
  private changes: StoreChange[] = [];

  /** `isCurrent` tells whether no later change replaced one. */
  constructor(private readonly isCurrent: (change: StoreChange) => boolean) {}

  /** Takes a change, mostly the newest; `currentCount` is how many changes are current. */
  add(change: StoreChange, currentCount: number): void {
    this.changes.splice(this.indexAfter(change.revision), 0, change);
    if (this.changes.length > 2 * currentCount + MAX_SUPERSEDED) {
      this.changes = this.changes.filter((one) => this.isCurrent(one));
    }
  }

  clear(): void {
    this.changes = [];
  }

  /** The current changes after `revision`, the oldest first. */
  since(revision: number): StoreChange[] {
    return this.changes.slice(this.indexAfter(revision)).filter((change) => this.isCurrent(change));
  }

  /** Where the changes after `revision` begin; looked for from the end, where they mostly are. */
  private indexAfter(revision: number): number {
    let index = this.changes.length;
    while (index > 0 && (this.changes[index - 1]?.revision ?? 0) > revision) {
      index -= 1;
    }
    return index;
  }
}

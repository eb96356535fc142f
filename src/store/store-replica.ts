/**
 * A node's replica of the store: the newest known state of each item, by revision. Changes may arrive from the store
 * and from peers, in any order and more than once. The higher revision takes precedence, so no item reverts to an
 * older state. Removals are retained, so that a peer that lags behind cannot restore a removed item. Pure.
 */
import { CarriedChanges, type CarriedChange, type CarryPolicy } from './carried-changes.js';
import { ChangeLog } from './change-log.js';
import { REWRITE_PERIOD_MS } from './carry-policy.js';
import type { StoreChange } from './key-value-store.js';
import { eraOf } from './store-revision.js';

/** Maximum number of retained removals; beyond it, the oldest are discarded. */
const MAX_REMOVALS = 2_000;
/** Maximum number of recorded gaps; beyond it, no delta may start before the end of a discarded gap. */
const MAX_GAPS = 16;
/** Minimum length of a text whose previous version is kept, so that peers can be sent a patch. */
const LONG_TEXT_LENGTH = 4_096;

/** Revisions within which removals may be unknown, because a list replaced the lost history. */
interface Gap {
  /** The replica had every change up to this revision. */
  readonly afterRevision: number;
  /** Revision of the list. */
  readonly revision: number;
}

/** What a replica knows from before a restore of the store, for a node that has started since. */
export interface ReplicaHandover {
  /** Revision of the sender's replica. */
  readonly revision: number;
  /** Revision of the sender's first list of the era. */
  readonly eraStartRevision: number;
  readonly carried: readonly CarriedChange[];
}

const DEFAULT_CARRY_POLICY: CarryPolicy = {
  retentionMs: () => REWRITE_PERIOD_MS,
  configurationNumber: () => undefined,
};

/** Changes that update another replica to `revision`. */
export interface ReplicaDelta {
  /** Revision up to which the receiver must be complete; 0 if the delta contains the full state. */
  readonly sinceRevision: number;
  readonly revision: number;
  readonly changes: readonly StoreChange[];
}

export class StoreReplica {
  private readonly changes = new Map<string, StoreChange>();
  /** The same changes by revision, so that the cost of a delta depends on its own size, not on the replica's. */
  private readonly log = new ChangeLog((change) => this.changes.get(change.key) === change);
  private removalCount = 0;
  private completeUpTo = 0;
  private updates = 0;
  /** Deltas that start before this revision would lack removals that are unknown or were discarded. */
  private removalsKnownFrom = 0;
  private gaps: Gap[] = [];
  /** Previous versions of long texts, by key. */
  private readonly previousVersions = new Map<string, StoreChange>();
  private readonly carried: CarriedChanges;
  /** Revision of the first list of the era; higher revisions were written during the era. */
  private eraStartRevision = 0;

  constructor(policy: CarryPolicy = DEFAULT_CARRY_POLICY) {
    this.carried = new CarriedChanges(policy);
  }

  /** Revision up to which the replica has every change; 0 before the first list. */
  get revision(): number {
    return this.completeUpTo;
  }

  /** Increases whenever the replica's content, or the deltas it returns, may have changed. */
  get updateCount(): number {
    return this.updates;
  }

  /** Changes from earlier eras that have neither been superseded in this era nor expired. */
  get carriedChanges(): readonly StoreChange[] {
    return this.carried.changes;
  }

  /** Discards carried changes whose retention has elapsed; returns whether there were any. */
  expireCarried(nowMs: number): boolean {
    return this.carried.expire(nowMs);
  }

  /** What a node that has started since the restore can't know from the store. */
  handover(nowMs: number): ReplicaHandover {
    const { revision, eraStartRevision } = this;
    return { revision, eraStartRevision, carried: this.carried.remaining(nowMs) };
  }

  /**
   * Carries over what a peer in the same era carries, except what has been written during the era; returns whether there
   * was anything new.
   */
  takeOver({ revision, eraStartRevision, carried }: ReplicaHandover): boolean {
    if (eraOf(revision) !== eraOf(this.completeUpTo) || carried.length === 0) {
      return false;
    }
    if (this.eraStartRevision === 0 || eraStartRevision < this.eraStartRevision) {
      this.eraStartRevision = eraStartRevision;
    }
    let hasChanged = false;
    for (const entry of carried) {
      if (this.changes.get(entry.change.key)?.value !== entry.change.value) {
        hasChanged = this.carried.add(entry) || hasChanged;
      }
    }
    for (const { change } of carried) {
      this.dropIfWritten(this.changes.get(change.key));
    }
    return hasChanged;
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
   * Applies a complete list that was started at `revision`; returns whether an item changed. Items created and
   * removed between the replica's revision and the list's remain unknown, so a peer that is complete up to a
   * revision between the two is sent the full state. A list may also be older than the replica, for example the
   * first list of the store after a peer has sent the full state; items removed since that list are not applied.
   */
  applyList(items: readonly StoreChange[], revision: number): boolean {
    this.updates += 1;
    const isNewEra = this.completeUpTo > 0 && eraOf(revision) > eraOf(this.completeUpTo);
    if (isNewEra) {
      this.beginEra(items, revision);
    }
    const listed = new Set(items.map(({ key }) => key));
    const inOrder = [...items].sort((left, right) => left.revision - right.revision);
    let hasChanged = this.applyEach(
      revision < this.completeUpTo ? inOrder.filter((item) => !this.isKnownRemoved(item)) : inOrder,
    );
    hasChanged ||= isNewEra;
    for (const { key, revision: heldRevision, value } of [...this.changes.values()]) {
      const isRemoved = value !== undefined && !listed.has(key) && heldRevision <= revision;
      if (isRemoved) {
        this.set({ key, revision, value: undefined });
        hasChanged = true;
      }
    }
    this.recordGap({ afterRevision: this.completeUpTo, revision });
    this.completeUpTo = Math.max(this.completeUpTo, revision);
    return hasChanged;
  }

  /** Applies the changes of a watch; returns whether an item changed. */
  applyChanges(changes: readonly StoreChange[], revision: number): boolean {
    this.updates += 1;
    const hasChanged = this.applyEach(changes.filter((change) => !this.isKnownRemoved(change)));
    this.completeUpTo = Math.max(this.completeUpTo, revision);
    this.pruneRemovals();
    return hasChanged;
  }

  /** Applies a peer's delta unless there is a gap before it; returns whether an item changed. */
  applyDelta(delta: ReplicaDelta): boolean {
    if (delta.sinceRevision === 0) {
      return delta.revision > this.completeUpTo && this.applyList(existing(delta), delta.revision);
    }
    return (
      delta.sinceRevision <= this.completeUpTo && this.applyChanges(delta.changes, delta.revision)
    );
  }

  /** The changes missing from a replica that is complete up to `sinceRevision`. */
  deltaSince(sinceRevision: number): ReplicaDelta {
    return this.mayMissRemovals(sinceRevision)
      ? { sinceRevision: 0, revision: this.completeUpTo, changes: [...this.items()] }
      : { sinceRevision, revision: this.completeUpTo, changes: this.log.since(sinceRevision) };
  }

  /** The item of `key` before its last change; undefined unless its text was long. */
  previousVersion(key: string): StoreChange | undefined {
    return this.previousVersions.get(key);
  }

  /** The latest change of `key`, which may be a removal. */
  changeOf(key: string): StoreChange | undefined {
    return this.changes.get(key);
  }

  /**
   * Whether the item of an older change must have been removed although its removal is not retained, because the
   * replica would contain the item otherwise.
   */
  private isKnownRemoved({ key, revision }: StoreChange): boolean {
    return revision <= this.completeUpTo && !this.changes.has(key);
  }

  private mayMissRemovals(sinceRevision: number): boolean {
    return (
      eraOf(sinceRevision) < eraOf(this.completeUpTo) ||
      sinceRevision === 0 ||
      sinceRevision < this.removalsKnownFrom ||
      this.gaps.some(
        ({ afterRevision, revision }) => afterRevision < sinceRevision && sinceRevision < revision,
      )
    );
  }

  /** Resets the replica after a restore of the store, and carries over the changes that differ from `items`. */
  private beginEra(items: readonly StoreChange[], revision: number): void {
    this.carried.begin(this.changes.values(), items);
    this.eraStartRevision = revision;
    this.changes.clear();
    this.log.clear();
    this.previousVersions.clear();
    this.gaps = [];
    this.removalCount = 0;
    this.removalsKnownFrom = 0;
  }

  private recordGap(gap: Gap): void {
    if (gap.afterRevision === 0) {
      this.removalsKnownFrom = Math.max(this.removalsKnownFrom, gap.revision);
    } else if (gap.revision > gap.afterRevision) {
      this.gaps.push(gap);
    }
    while (this.gaps.length > MAX_GAPS) {
      const oldest = this.gaps.shift();
      this.removalsKnownFrom = Math.max(this.removalsKnownFrom, oldest?.revision ?? 0);
    }
  }

  private applyEach(changes: readonly StoreChange[]): boolean {
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
    this.dropIfWritten(change);
    this.retainPrevious(change.key, held);
    this.changes.set(change.key, change);
    this.log.add(change, this.changes.size);
  }

  /** Ends carrying over what the change replaces, if it was written during the era. */
  private dropIfWritten(change: StoreChange | undefined): void {
    if (change !== undefined && change.revision > this.eraStartRevision) {
      this.carried.drop(change);
    }
  }

  private retainPrevious(key: string, held: StoreChange | undefined): void {
    if (held?.value !== undefined && held.value.length >= LONG_TEXT_LENGTH) {
      this.previousVersions.set(key, held);
    } else {
      this.previousVersions.delete(key);
    }
  }

  private pruneRemovals(): void {
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

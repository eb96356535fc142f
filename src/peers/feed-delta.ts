/**
 * Deltas as feeds tell them. Of a long text that a follower holds in the version before, only what
 * changed is told: a configuration of hundreds of routes would else go whole over each link with every
 * change. Pure.
 */
import type { StoreChange } from '../store/key-value-store.js';
import type { ReplicaDelta, StoreReplica } from '../store/store-replica.js';
import { applyPatch, createPatch, type TextPatch } from '../store/text-patch.js';

/** A change of a long text. */
export interface PatchedChange {
  readonly key: string;
  readonly revision: number;
  /** Revision of the version that the patch applies to. */
  readonly baseRevision: number;
  readonly patch: TextPatch;
}

/** A change as it is told. */
export type FeedChange = StoreChange | PatchedChange;

/** A delta as it is told. */
export interface FeedDelta {
  readonly sinceRevision: number;
  readonly revision: number;
  readonly changes: readonly FeedChange[];
}

/** What a follower that is complete up to `sinceRevision` lacks. */
export function feedDeltaSince(replica: StoreReplica, sinceRevision: number): FeedDelta {
  const delta = replica.deltaSince(sinceRevision);
  if (delta.sinceRevision === 0) {
    return delta;
  }
  return {
    ...delta,
    changes: delta.changes.map((change) => patched(replica, change, sinceRevision)),
  };
}

/** The delta in full; undefined when a patch does not fit what the replica holds. */
export function resolveFeedDelta(
  replica: StoreReplica,
  { sinceRevision, revision, changes }: FeedDelta,
): ReplicaDelta | undefined {
  const resolved: StoreChange[] = [];
  for (const change of changes) {
    const full = 'patch' in change ? resolve(replica, change) : change;
    if (full === undefined) {
      return undefined;
    }
    resolved.push(full);
  }
  return { sinceRevision, revision, changes: resolved };
}

function patched(replica: StoreReplica, change: StoreChange, sinceRevision: number): FeedChange {
  const before = replica.previousVersion(change.key);
  const isHeld = before !== undefined && before.revision <= sinceRevision;
  if (!isHeld || before.value === undefined || change.value === undefined) {
    return change;
  }
  const { key, revision } = change;
  const patch = createPatch(before.value, change.value);
  return { key, revision, baseRevision: before.revision, patch };
}

function resolve(replica: StoreReplica, change: PatchedChange): StoreChange | undefined {
  const { key, revision, baseRevision, patch } = change;
  const held = replica.changeOf(key);
  if (held !== undefined && held.revision >= revision) {
    return held;
  }
  if (held?.revision !== baseRevision || held.value === undefined) {
    return undefined;
  }
  const value = applyPatch(held.value, patch);
  return value === undefined ? undefined : { key, revision, value };
}

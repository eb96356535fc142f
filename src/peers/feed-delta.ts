/**
 * Deltas as sent over feeds. If a follower holds the previous version of a value, the feed sends only a
 * patch; otherwise a configuration of hundreds of routes would be sent in full over each link with every
 * change. Pure.
 */
import type { StoreChange } from '../store/key-value-store.js';
import type { ReplicaDelta, StoreReplica } from '../store/store-replica.js';
import { applyPatch, createPatch, type TextPatch } from '../store/text-patch.js';

/** A change of a value, as a patch of an earlier version. */
export interface PatchedChange {
  readonly key: string;
  readonly revision: number;
  /** Revision of the version that the patch applies to. */
  readonly baseRevision: number;
  readonly patch: TextPatch;
}

/** A change as sent over a feed. */
export type FeedChange = StoreChange | PatchedChange;

/** A delta as sent over a feed. */
export interface FeedDelta {
  readonly sinceRevision: number;
  readonly revision: number;
  readonly changes: readonly FeedChange[];
}

/** Returns the changes that a follower complete up to `sinceRevision` is missing. */
export function feedDeltaSince(replica: StoreReplica, sinceRevision: number): FeedDelta {
  const delta = replica.deltaSince(sinceRevision);
  if (delta.sinceRevision === 0) {
    return delta;
  }
  return {
    ...delta,
    changes: delta.changes.map((change) => patchChange(replica, change, sinceRevision)),
  };
}

/** Applies the patches of a delta; undefined if one does not apply to the replica's current version. */
export function resolveFeedDelta(
  replica: StoreReplica,
  { sinceRevision, revision, changes }: FeedDelta,
): ReplicaDelta | undefined {
  const resolved: StoreChange[] = [];
  for (const change of changes) {
    const full = 'patch' in change ? resolvePatch(replica, change) : change;
    if (full === undefined) {
      return undefined;
    }
    resolved.push(full);
  }
  return { sinceRevision, revision, changes: resolved };
}

function patchChange(
  replica: StoreReplica,
  change: StoreChange,
  sinceRevision: number,
): FeedChange {
  const previous = replica.previousVersion(change.key);
  const holdsBase = previous !== undefined && previous.revision <= sinceRevision;
  if (!holdsBase || previous.value === undefined || change.value === undefined) {
    return change;
  }
  const { key, revision } = change;
  const patch = createPatch(previous.value, change.value);
  return { key, revision, baseRevision: previous.revision, patch };
}

function resolvePatch(replica: StoreReplica, change: PatchedChange): StoreChange | undefined {
  const { key, revision, baseRevision, patch } = change;
  const current = replica.changeOf(key);
  if (current !== undefined && current.revision >= revision) {
    return current;
  }
  if (current?.revision !== baseRevision || current.value === undefined) {
    return undefined;
  }
  const value = applyPatch(current.value, patch);
  return value === undefined ? undefined : { key, revision, value };
}

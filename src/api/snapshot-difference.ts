/** Computes the difference between two snapshots, with the version of each resource. Pure. */
import { isDeepStrictEqual } from 'node:util';
import type { Resource, ResourceKey } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import type { ResourceVersioner } from './resource-version.js';

/** A resource and its version. */
export interface VersionedResource {
  readonly resource: Resource;
  readonly version: string;
}

/** The resources of one snapshot with their versions. */
export type ResourceIndex = ReadonlyMap<ResourceKey, VersionedResource>;

/** Difference between a snapshot and the one before it. */
export interface SnapshotDifference {
  /** Index of the later snapshot. */
  readonly index: ResourceIndex;
  /** Created and changed resources. */
  readonly upserts: readonly VersionedResource[];
  /** Removed resources with their last content. */
  readonly removals: readonly VersionedResource[];
}

/** Compares `snapshot` with the index of the previous one; unchanged resources keep their entry. */
export function differenceFrom(
  previous: ResourceIndex,
  snapshot: Snapshot,
  versionOf: ResourceVersioner,
): SnapshotDifference {
  const index = new Map<ResourceKey, VersionedResource>();
  const upserts: VersionedResource[] = [];
  for (const [key, resource] of snapshot.resources) {
    const previousEntry = previous.get(key);
    if (previousEntry !== undefined && isDeepStrictEqual(previousEntry.resource, resource)) {
      index.set(key, previousEntry);
      continue;
    }
    const entry = { resource, version: versionOf(resource) };
    index.set(key, entry);
    upserts.push(entry);
  }
  const removals = [...previous].filter(([key]) => !index.has(key)).map(([, entry]) => entry);
  return { index, upserts, removals };
}

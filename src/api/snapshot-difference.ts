/** What changed between two snapshots, with the version of each resource. Pure. */
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

/** The way from one snapshot to the next. */
export interface SnapshotDifference {
  /** Index of the later snapshot. */
  readonly index: ResourceIndex;
  /** Created and changed resources. */
  readonly upserts: readonly VersionedResource[];
  /** Resources that are gone, as they were. */
  readonly removals: readonly VersionedResource[];
}

/** Compares `snapshot` with the index of the one before; unchanged resources keep their entry. */
export function differenceFrom(
  previous: ResourceIndex,
  snapshot: Snapshot,
  versionOf: ResourceVersioner,
): SnapshotDifference {
  const index = new Map<ResourceKey, VersionedResource>();
  const upserts: VersionedResource[] = [];
  for (const [key, resource] of snapshot.resources) {
    const before = previous.get(key);
    if (before !== undefined && isDeepStrictEqual(before.resource, resource)) {
      index.set(key, before);
      continue;
    }
    const entry = { resource, version: versionOf(resource) };
    index.set(key, entry);
    upserts.push(entry);
  }
  const removals = [...previous].filter(([key]) => !index.has(key)).map(([, entry]) => entry);
  return { index, upserts, removals };
}

/**
 * Merges the configuration source's document and the operators' document into one snapshot. The result is
 * deterministic, so that all nodes agree: the source's resources come first, then the operator entries are
 * applied in key order. An operator entry that would leave a dangling reference is suspended.
 */
import type { ConfigurationFault } from './configuration-error.js';
import { InvalidConfigurationError } from './configuration-error.js';
import type { DocumentEntry, VersionedDocument } from './document.js';
import { resourceKey, resourceSchema, type Resource, type ResourceKey } from './resource.js';
import {
  MAX_RESOURCES,
  buildSnapshot,
  findDanglingReferences,
  referencesOf,
  type Snapshot,
} from './snapshot.js';

/** JSON text of an operator entry that deletes a resource of the configuration source. */
export const DELETED_JSON = 'null';

/** Each entry is parsed once: entries are immutable and shared between document versions. */
const parsedEntries = new WeakMap<DocumentEntry, Resource>();

/** Prefix of keys in the operators' document that are not resources and are excluded from snapshots. */
export const RESERVED_KEY_PREFIX = 'meta/';

/** Whether a key of the operators' document identifies a resource. */
export function isResourceKey(key: string): key is ResourceKey {
  return !key.startsWith(RESERVED_KEY_PREFIX);
}

/** A snapshot and the operator entries that could not be applied to it. */
export interface MergedConfiguration {
  readonly snapshot: Snapshot;
  readonly suspended: readonly ConfigurationFault[];
}

/** Parses an entry. Throws {@link InvalidConfigurationError} with the entry's key. */
export function parseEntry(key: string, json: string): Resource {
  const parsed = resourceSchema.safeParse(parseJson(key, json));
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => ({
      path: [key, ...issue.path].join('.'),
      reason: issue.message,
    }));
    throw new InvalidConfigurationError(faults);
  }
  if (resourceKey(parsed.data) !== key) {
    throw new InvalidConfigurationError([
      { path: key, reason: 'expected the kind and name of the resource as the key' },
    ]);
  }
  return parsed.data;
}

function parseEntryOnce(entry: DocumentEntry): Resource {
  const cached = parsedEntries.get(entry);
  if (cached !== undefined) {
    return cached;
  }
  const resource = parseEntry(entry.key, entry.json);
  parsedEntries.set(entry, resource);
  return resource;
}

/**
 * Merges two documents. Throws {@link InvalidConfigurationError} if the source's document is invalid by itself.
 * Operator entries affect neither the acceptance nor the rejection of the source's document, so that all nodes
 * decide alike regardless of which document they received first.
 */
export function mergeDocuments(
  source: VersionedDocument,
  operator: VersionedDocument,
  maxResources = MAX_RESOURCES,
): MergedConfiguration {
  const resources = new Map<ResourceKey, Resource>();
  for (const entry of source.entries.values()) {
    const resource = parseEntryOnce(entry);
    resources.set(resourceKey(resource), resource);
  }
  const version = { source: source.version, operator: operator.version };
  const faults = findDanglingReferences(resources);
  if (resources.size > maxResources) {
    faults.push({ path: 'resources', reason: `expected at most ${maxResources}` });
  }
  if (faults.length > 0) {
    throw new InvalidConfigurationError(faults);
  }
  const suspended = applyOperatorEntries(resources, operator, maxResources);
  return { snapshot: buildSnapshot(version, [...resources.values()]), suspended };
}

/** Applies operator entries to `resources` until no more can be applied; returns the faults of the others. */
function applyOperatorEntries(
  resources: Map<ResourceKey, Resource>,
  operator: VersionedDocument,
  maxResources: number,
): ConfigurationFault[] {
  let pending = [...operator.entries.values()]
    .filter((entry) => isResourceKey(entry.key))
    .sort((left, right) => (left.key < right.key ? -1 : 1));
  let applied = true;
  let faults: ConfigurationFault[] = [];
  while (applied && pending.length > 0) {
    applied = false;
    faults = [];
    const remaining: typeof pending = [];
    for (const entry of pending) {
      const reason = tryApply(resources, entry, maxResources);
      if (reason === undefined) {
        applied = true;
      } else {
        remaining.push(entry);
        faults.push({ path: entry.key, reason });
      }
    }
    pending = remaining;
  }
  return faults;
}

/** Applies one operator entry, or returns the reason why it cannot be applied yet. */
function tryApply(
  resources: Map<ResourceKey, Resource>,
  entry: DocumentEntry,
  maxResources: number,
): string | undefined {
  if (entry.json === DELETED_JSON) {
    return tryDelete(resources, entry.key as ResourceKey);
  }
  try {
    return tryPut(resources, parseEntryOnce(entry), maxResources);
  } catch (error) {
    if (error instanceof InvalidConfigurationError) {
      return error.message;
    }
    throw error;
  }
}

function tryDelete(resources: Map<ResourceKey, Resource>, key: ResourceKey): string | undefined {
  const dependant = findDependant(resources, key);
  if (dependant !== undefined) {
    return `still referenced by ${dependant}`;
  }
  resources.delete(key);
  return undefined;
}

function tryPut(
  resources: Map<ResourceKey, Resource>,
  resource: Resource,
  maxResources: number,
): string | undefined {
  if (resources.size >= maxResources && !resources.has(resourceKey(resource))) {
    return `more than ${maxResources} resources`;
  }
  const missing = referencesOf(resource).find((target) => !resources.has(target));
  if (missing !== undefined) {
    return `refers to missing ${missing}`;
  }
  resources.set(resourceKey(resource), resource);
  return undefined;
}

function findDependant(
  resources: ReadonlyMap<ResourceKey, Resource>,
  key: ResourceKey,
): ResourceKey | undefined {
  for (const resource of resources.values()) {
    if (referencesOf(resource).includes(key)) {
      return resourceKey(resource);
    }
  }
  return undefined;
}

function parseJson(key: string, json: string): unknown {
  try {
    return JSON.parse(json);
  } catch {
    throw new InvalidConfigurationError([{ path: key, reason: 'expected JSON' }]);
  }
}

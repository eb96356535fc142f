/**
 * Validates an operator's write against the primary's configuration and resolves it to changes of
 * the operators' document, so that its execution is deterministic.
 */
import { canonicalJson } from '../model/canonical-json.js';
import {
  InvalidConfigurationError,
  type ConfigurationFault,
} from '../model/configuration-error.js';
import type { VersionedDocument } from '../model/document.js';
import {
  DELETED_JSON,
  isResourceKey,
  parseEntry,
  type MergedConfiguration,
} from '../model/merge.js';
import type { Resource, ResourceKey } from '../model/resource.js';
import { findRouteFaults } from '../model/route-faults.js';
import {
  MAX_CHANGES_PER_WRITE,
  type OperatorWrite,
  type ResourceChange,
  type WriteOutcome,
} from './operator-write.js';

/** Maximum size of one write, in bytes of its serialized entries. */
export const MAX_WRITE_BYTES = 131_072;
/** Maximum size of the operators' document, in bytes of its serialized entries. */
export const MAX_OPERATOR_DOCUMENT_BYTES = 655_360;
/** Maximum number of bytes in an entry besides its key and JSON text. */
const ENTRY_OVERHEAD_BYTES = 64;

/** Documents against which a write is validated. */
export interface WriteBase {
  readonly source: VersionedDocument;
  readonly operator: VersionedDocument;
  /** `mergeDocuments`, which may be memoized. */
  readonly merge: (source: VersionedDocument, operator: VersionedDocument) => MergedConfiguration;
  readonly versionOf: (resource: Resource) => string;
}

/** Changes of a valid write to the operators' document. */
export interface ResolvedWrite {
  readonly outcome: 'valid';
  readonly upserts: readonly { readonly key: string; readonly json: string }[];
  readonly removals: readonly string[];
}

/** Validates `write` in this order: shape, preconditions, references, sizes. */
export function resolveWrite(
  write: OperatorWrite,
  base: WriteBase,
): ResolvedWrite | Extract<WriteOutcome, { outcome: 'conflict' | 'invalid' }> {
  const shapeFaults = findShapeFaults(write);
  if (shapeFaults.length > 0) {
    return { outcome: 'invalid', faults: shapeFaults };
  }
  const before = base.merge(base.source, base.operator);
  for (const change of write.changes) {
    const current = before.snapshot.resources.get(change.key as ResourceKey);
    const currentVersion = current === undefined ? undefined : base.versionOf(current);
    if (!preconditionHolds(change, currentVersion)) {
      return { outcome: 'conflict', key: change.key, currentVersion };
    }
  }
  const resolved = resolveChanges(write.changes, base.source);
  const faults = [
    ...findAbsentDeletions(write.changes, before, base.operator),
    ...findMergeFaults(resolved, before, base),
    ...findSizeFaults(resolved, base.operator),
  ];
  return faults.length > 0 ? { outcome: 'invalid', faults } : resolved;
}

function findShapeFaults(write: OperatorWrite): ConfigurationFault[] {
  const { changes } = write;
  if (changes.length === 0 || changes.length > MAX_CHANGES_PER_WRITE) {
    return [{ path: 'changes', reason: `expected 1 to ${MAX_CHANGES_PER_WRITE} changes` }];
  }
  const faults: ConfigurationFault[] = [];
  const seen = new Set<string>();
  for (const { key, json } of changes) {
    if (seen.has(key)) {
      faults.push({ path: key, reason: 'changed twice in one write' });
    }
    seen.add(key);
    if (!isResourceKey(key)) {
      faults.push({ path: key, reason: 'expected kind/name' });
    } else if (json !== null) {
      faults.push(...findEntryFaults(key, json));
    }
  }
  return faults;
}

function findEntryFaults(key: string, json: string): readonly ConfigurationFault[] {
  try {
    parseEntry(key, json);
    return [];
  } catch (error) {
    return faultsOf(error);
  }
}

function preconditionHolds(change: ResourceChange, currentVersion: string | undefined): boolean {
  switch (change.precondition?.type) {
    case 'absent':
      return currentVersion === undefined;
    case 'exists':
      return currentVersion !== undefined;
    case 'version':
      return currentVersion === change.precondition.version;
    case undefined:
      return true;
  }
}

/** Whether a resource is in force, or is in the operators' document but suspended. */
function exists(key: string, merged: MergedConfiguration, operator: VersionedDocument): boolean {
  const written = operator.entries.get(key);
  const suspended = written !== undefined && written.json !== DELETED_JSON;
  return suspended || merged.snapshot.resources.has(key as ResourceKey);
}

function resolveChanges(
  changes: readonly ResourceChange[],
  source: VersionedDocument,
): ResolvedWrite {
  const upserts: { key: string; json: string }[] = [];
  const removals: string[] = [];
  for (const { key, json } of changes) {
    if (json !== null) {
      upserts.push({ key, json: canonicalJson(parseEntry(key, json)) });
    } else if (source.entries.has(key)) {
      upserts.push({ key, json: DELETED_JSON });
    } else {
      removals.push(key);
    }
  }
  return { outcome: 'valid', upserts, removals };
}

function findAbsentDeletions(
  changes: readonly ResourceChange[],
  merged: MergedConfiguration,
  operator: VersionedDocument,
): ConfigurationFault[] {
  return changes
    .filter((change) => change.json === null && !exists(change.key, merged, operator))
    .map((change) => ({ path: change.key, reason: 'does not exist' }));
}

/** Suspended entries that the write changes, or that were not suspended before it, and faults of routes that it writes. */
function findMergeFaults(
  resolved: ResolvedWrite,
  before: MergedConfiguration,
  base: WriteBase,
): readonly ConfigurationFault[] {
  const number = base.operator.version.number + 1;
  const candidate = base.operator.change(number, resolved.upserts, resolved.removals);
  const upsertedKeys = new Set(resolved.upserts.map((entry) => entry.key));
  const previouslySuspended = new Set(before.suspended.map((fault) => fault.path));
  try {
    const { suspended, snapshot } = base.merge(base.source, candidate);
    const routeFaults = findRouteFaults(snapshot.routes);
    return [
      ...suspended.filter(({ path }) => upsertedKeys.has(path) || !previouslySuspended.has(path)),
      ...routeFaults.filter(({ path }) => upsertedKeys.has(path)),
    ];
  } catch (error) {
    return faultsOf(error);
  }
}

function findSizeFaults(
  resolved: ResolvedWrite,
  operator: VersionedDocument,
): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  if (sizeOf(resolved.upserts) > MAX_WRITE_BYTES) {
    faults.push({ path: 'changes', reason: `expected at most ${MAX_WRITE_BYTES} bytes` });
  }
  const replaced = new Set([...resolved.removals, ...resolved.upserts.map((entry) => entry.key)]);
  const kept = [...operator.entries.values()].filter((entry) => !replaced.has(entry.key));
  if (sizeOf(kept) + sizeOf(resolved.upserts) > MAX_OPERATOR_DOCUMENT_BYTES) {
    const reason = `operators' resources would exceed ${MAX_OPERATOR_DOCUMENT_BYTES} bytes`;
    faults.push({ path: 'resources', reason });
  }
  return faults;
}

function sizeOf(entries: readonly { readonly key: string; readonly json: string }[]): number {
  return entries.reduce(
    (sum, { key, json }) =>
      sum + Buffer.byteLength(JSON.stringify(json)) + key.length + ENTRY_OVERHEAD_BYTES,
    0,
  );
}

function faultsOf(error: unknown): readonly ConfigurationFault[] {
  if (error instanceof InvalidConfigurationError) {
    return error.faults;
  }
  throw error;
}

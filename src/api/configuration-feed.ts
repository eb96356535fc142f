/** Tracks the current configuration: maintains its resource index and its change log. */
import type { ResourceKey, ResourceKind } from '../model/resource.js';
import type { Snapshot, SnapshotVersion } from '../model/snapshot.js';
import { ChangeLog, type ChangeLogBounds, type LoggedChange } from './change-log.js';
import type { ConfigurationView, Unsubscribe } from './configuration-view.js';
import { formatCursor } from './cursor.js';
import type { DigestMask } from './digest-mask.js';
import type { ResourceVersioner } from './resource-version.js';
import {
  differenceFrom,
  type ResourceIndex,
  type SnapshotDifference,
  type VersionedResource,
} from './snapshot-difference.js';
import { deleteLine, upsertLine } from './watch-event.js';

/** The configuration as exposed by the API. */
export class ConfigurationFeed {
  readonly log: ChangeLog;
  private index: ResourceIndex;
  private version: SnapshotVersion;
  private readonly listeners = new Set<() => void>();
  private readonly unsubscribe: Unsubscribe;

  constructor(
    view: ConfigurationView,
    private readonly versionOf: ResourceVersioner,
    private readonly maskDigest: DigestMask,
    bounds: ChangeLogBounds,
  ) {
    const snapshot = view.current();
    this.index = differenceFrom(new Map(), snapshot, versionOf).index;
    this.version = snapshot.version;
    this.log = new ChangeLog(bounds, formatCursor(snapshot.version, maskDigest));
    this.unsubscribe = view.subscribe((next) => this.applySnapshot(next));
  }

  /** Version of the current snapshot. */
  get heldVersion(): SnapshotVersion {
    return this.version;
  }

  /** Cursor of the current snapshot. */
  get cursor(): string {
    return formatCursor(this.version, this.maskDigest);
  }

  find(key: ResourceKey): VersionedResource | undefined {
    return this.index.get(key);
  }

  /** All resources of a kind; the returned iterable does not reflect later changes. */
  list(kind: ResourceKind): Iterable<VersionedResource> {
    return entriesOfKind(this.index, kind);
  }

  /** Calls `listener` after each change of the log. */
  onChange(listener: () => void): Unsubscribe {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Stops tracking and removes all listeners. */
  close(): void {
    this.unsubscribe();
    this.listeners.clear();
  }

  private applySnapshot(snapshot: Snapshot): void {
    const difference = differenceFrom(this.index, snapshot, this.versionOf);
    this.index = difference.index;
    this.version = snapshot.version;
    this.log.append({ cursor: this.cursor, changes: changesOf(difference) });
    for (const listener of this.listeners) {
      listener();
    }
  }
}

function* entriesOfKind(index: ResourceIndex, kind: ResourceKind): Generator<VersionedResource> {
  for (const entry of index.values()) {
    if (entry.resource.kind === kind) {
      yield entry;
    }
  }
}

function changesOf({ upserts, removals }: SnapshotDifference): LoggedChange[] {
  const logged = (entry: VersionedResource, line: string): LoggedChange => ({
    kind: entry.resource.kind,
    line,
  });
  return [
    ...upserts.map((entry) => logged(entry, upsertLine(entry))),
    ...removals.map((entry) => logged(entry, deleteLine(entry))),
  ];
}

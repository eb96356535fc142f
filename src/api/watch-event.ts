/** Lines of a watch: newline-delimited JSON. */
import type { ResourceKind } from '../model/resource.js';
import { representResource, type ResourceRepresentation } from './resource-representation.js';
import type { VersionedResource } from './snapshot-difference.js';

/** A resource was created or changed. */
export interface UpsertEvent extends ResourceRepresentation {
  readonly type: 'upsert';
}

/** A resource was deleted. */
export interface DeleteEvent {
  readonly type: 'delete';
  readonly kind: ResourceKind;
  readonly name: string;
}

/** Every change up to `cursor` has been sent; a watch can resume from it. */
export interface BookmarkEvent {
  readonly type: 'bookmark';
  readonly cursor: string;
}

/** Last line of a watch that is ended by the node. */
export interface EndEvent {
  readonly type: 'end';
  /** `TOO_SLOW`: list again. `STOPPING`: resume from the last bookmark on another node. */
  readonly code: 'TOO_SLOW' | 'STOPPING';
  readonly message: string;
}

export type WatchEvent = UpsertEvent | DeleteEvent | BookmarkEvent | EndEvent;

/** Formats an event as a line, including the line terminator. */
export function watchLine(event: WatchEvent): string {
  return `${JSON.stringify(event)}\n`;
}

/** Formats the line for a created or changed resource. */
export function upsertLine({ resource, version }: VersionedResource): string {
  return watchLine({ type: 'upsert', ...representResource(resource, version) });
}

/** Formats the line for a deleted resource. */
export function deleteLine({ resource }: VersionedResource): string {
  return watchLine({ type: 'delete', kind: resource.kind, name: resource.name });
}

/**
 * Kinds and keys of resources. Separate from the schemas in {@link ./resource.ts}, so that a program that
 * receives its resources from a typed source does not load the schema library.
 */
import type { Resource, ResourceKind } from './resource.js';

/** Request timeout if neither the route nor the service specifies one, in milliseconds. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 5_000;

/** All kinds, in dependency order: a kind refers only to kinds before it. */
export const RESOURCE_KINDS: readonly ResourceKind[] = [
  'service',
  'secret',
  'route',
  'endpoint',
  'evacuation',
];

/** `kind/name`; unique within a configuration. */
export type ResourceKey = `${ResourceKind}/${string}`;

export function resourceKey(resource: Pick<Resource, 'kind' | 'name'>): ResourceKey {
  return `${resource.kind}/${resource.name}`;
}

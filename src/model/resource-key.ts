/**
 * Kinds and keys of resources. Apart from the schemas of {@link ./resource.ts}, so that a program
 * that takes its resources from a typed source does not load the schema library.
 */
import type { Resource, ResourceKind } from './resource.js';

/** Request time when neither route nor service names one, in milliseconds. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 5_000;

/** Every kind, in the order in which references point: a kind refers only to others in this list. */
export const RESOURCE_KINDS: readonly ResourceKind[] = [
  'service',
  'secret',
  'route',
  'endpoint',
  'evacuation',
];

/** `kind/name`, unique in a configuration. */
export type ResourceKey = `${ResourceKind}/${string}`;

/** The key of a resource. */
export function resourceKey(resource: Pick<Resource, 'kind' | 'name'>): ResourceKey {
  return `${resource.kind}/${resource.name}`;
}

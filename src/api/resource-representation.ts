/** JSON representation of resources. A secret's value is never included, in a list, get or watch. */
import type { Resource, ResourceKind } from '../model/resource.js';

/** A resource with its version. */
export interface ResourceRepresentation {
  readonly kind: ResourceKind;
  readonly name: string;
  /** For `If-Match`; equal on every node that holds the same content. */
  readonly version: string;
  /** The spec as configured; empty for a secret. */
  readonly spec: Exclude<Resource, { kind: 'secret' }>['spec'] | Record<string, never>;
}

/** Returns the representation of `resource`, without the value of a secret. */
export function representResource(resource: Resource, version: string): ResourceRepresentation {
  const { kind, name } = resource;
  return { kind, name, version, spec: resource.kind === 'secret' ? {} : resource.spec };
}

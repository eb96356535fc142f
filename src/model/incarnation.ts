/**
 * Incarnations of endpoints. An endpoint that restarts under the same name loses its state, so information about
 * the earlier process must not be applied to the new one.
 */
import type { Endpoint } from './resource.js';

/** Cached because every endpoint selection needs the incarnations. Endpoints are immutable. */
const incarnationCache = new WeakMap<Endpoint, string>();

/**
 * Returns a key that identifies one start of an endpoint at one address. All state about an endpoint is stored
 * under this key, never under the name alone.
 */
export function incarnationOf(endpoint: Endpoint): string {
  let incarnation = incarnationCache.get(endpoint);
  if (incarnation === undefined) {
    const { name, spec } = endpoint;
    incarnation = `${name} ${spec.address}:${spec.port} ${spec.bornAtMs ?? ''}`;
    incarnationCache.set(endpoint, incarnation);
  }
  return incarnation;
}

/** Whether `one` is known to have started before `other`; false if either start time is unknown. */
export function startedBefore({ spec: one }: Endpoint, { spec: other }: Endpoint): boolean {
  return (one.bornAtMs ?? Infinity) < (other.bornAtMs ?? -Infinity);
}

/**
 * Incarnations: an endpoint that has started again under its name holds nothing of before, so that what is
 * known of the earlier process must not be applied to it.
 */
import type { Endpoint } from './resource.js';

/** Endpoints are immutable, and asked for their incarnation with every choice among them. */
const knownIncarnations = new WeakMap<Endpoint, string>();

/**
 * Names one start of an endpoint at one place. Everything that is kept about an endpoint is kept under this
 * key, never under the name alone.
 */
export function incarnationOf(endpoint: Endpoint): string {
  let incarnation = knownIncarnations.get(endpoint);
  if (incarnation === undefined) {
    const { name, spec } = endpoint;
    incarnation = `${name} ${spec.address}:${spec.port} ${spec.bornAtMs ?? ''}`;
    knownIncarnations.set(endpoint, incarnation);
  }
  return incarnation;
}

/** Whether `one` is known to have started before `other`; false where one of them does not say. */
export function startedBefore({ spec: one }: Endpoint, { spec: other }: Endpoint): boolean {
  return (one.bornAtMs ?? Infinity) < (other.bornAtMs ?? -Infinity);
}

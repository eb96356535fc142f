/**
 * Resolves conflicts between endpoints carried over from an earlier era and those listed by the restored store,
 * so that an endpoint known to be draining gets no new requests because of an outdated entry. Pure.
 */
import { incarnationOf, startedBefore } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';

/** An endpoint and the metadata of its entry. */
export interface EndpointEntry {
  readonly endpoint: Endpoint;
  /** Revision of the entry. */
  readonly revision: number;
  /** Increases with each write of the entry by its endpoint. */
  readonly sequence: number;
}

/**
 * Returns the endpoint to use. `listed` is undefined when the store has no entry. A later incarnation takes
 * precedence (the listed one if their order is unknown), then a draining state, then the higher sequence.
 */
export function resolveCarriedEndpoint(
  listed: EndpointEntry | undefined,
  carried: EndpointEntry,
): EndpointEntry {
  if (listed === undefined) {
    return carried;
  }
  if (incarnationOf(listed.endpoint) !== incarnationOf(carried.endpoint)) {
    return startedBefore(listed.endpoint, carried.endpoint) ? carried : listed;
  }
  if (isDraining(listed) !== isDraining(carried)) {
    return isDraining(listed) ? listed : carried;
  }
  return listed.sequence < carried.sequence ? carried : listed;
}

function isDraining({ endpoint }: EndpointEntry): boolean {
  return endpoint.spec.state === 'draining';
}

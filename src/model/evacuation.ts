/**
 * Evacuated zones, whose endpoints receive no new requests. Requests in progress continue, and queued requests
 * are refused and sent to other endpoints. Unlike draining, evacuation does not affect the state of the endpoints
 * themselves, and it can end at any time.
 */
import type { Endpoint } from './resource.js';

/** The evacuated copy of each endpoint. Snapshots share it, so that endpoints can be compared by identity. */
const evacuatedCopies = new WeakMap<Endpoint, Endpoint>();

/** Returns the endpoint, marked as evacuated if its zone is in `evacuatedZones`. */
export function applyEvacuation(endpoint: Endpoint, evacuatedZones: ReadonlySet<string>): Endpoint {
  if (!evacuatedZones.has(endpoint.spec.zone)) {
    return endpoint;
  }
  let copy = evacuatedCopies.get(endpoint);
  if (copy === undefined) {
    copy = { ...endpoint, isEvacuated: true };
    evacuatedCopies.set(endpoint, copy);
  }
  return copy;
}

/** Whether the configuration allows new requests to the endpoint. */
export function isInService({ spec, isEvacuated }: Endpoint): boolean {
  return spec.state === 'active' && isEvacuated !== true;
}

/** The start or end of a zone's evacuation. */
export interface EvacuationChange {
  readonly kind: 'zone-evacuated' | 'zone-taken-back';
  readonly zone: string;
}

/** Returns the differences between two sets of evacuated zones. */
export function evacuationChanges(
  zones: ReadonlySet<string>,
  previousZones: ReadonlySet<string>,
): readonly EvacuationChange[] {
  const started = [...zones].filter((zone) => !previousZones.has(zone));
  const ended = [...previousZones].filter((zone) => !zones.has(zone));
  return [
    ...started.map((zone) => ({ kind: 'zone-evacuated' as const, zone })),
    ...ended.map((zone) => ({ kind: 'zone-taken-back' as const, zone })),
  ];
}

/**
 * Zones whose endpoints get no new work: what runs there is left alone, what waits is refused and sent
 * elsewhere. Unlike a drain it says nothing of the endpoints themselves, and it may end at any moment.
 */
import type { Endpoint } from './resource.js';

/** Each endpoint's evacuated copy, so that it stays the same object from snapshot to snapshot. */
const evacuatedCopies = new WeakMap<Endpoint, Endpoint>();

/** The endpoint as the zones in `evacuatedZones` leave it. */
export function underEvacuation(endpoint: Endpoint, evacuatedZones: ReadonlySet<string>): Endpoint {
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

/** Whether the configuration lets the endpoint have new work. */
export function isInService({ spec, isEvacuated }: Endpoint): boolean {
  return spec.state === 'active' && isEvacuated !== true;
}

/** A zone whose evacuation began, or ended. */
export interface EvacuationChange {
  readonly kind: 'zone-evacuated' | 'zone-taken-back';
  readonly zone: string;
}

/** How the evacuated zones differ from those before. */
export function evacuationChanges(
  zones: ReadonlySet<string>,
  before: ReadonlySet<string>,
): readonly EvacuationChange[] {
  const begun = [...zones].filter((zone) => !before.has(zone));
  const ended = [...before].filter((zone) => !zones.has(zone));
  return [
    ...begun.map((zone) => ({ kind: 'zone-evacuated' as const, zone })),
    ...ended.map((zone) => ({ kind: 'zone-taken-back' as const, zone })),
  ];
}

/** Collects the machines of a snapshot and detects changes to its endpoints and machines. Pure. */
import type { Snapshot } from './snapshot.js';

/** Maps the address of each machine with an endpoint to its zone. */
export function machinesOf(snapshot: Snapshot): ReadonlyMap<string, string> {
  const zones = new Map<string, string>();
  for (const endpoints of snapshot.endpointsByService.values()) {
    for (const { spec } of endpoints) {
      zones.set(spec.machine ?? spec.address, spec.zone ?? '');
    }
  }
  return zones;
}

/** Compares endpoint lists by identity: consecutive snapshots share unchanged lists. */
export function hasSameEndpoints(snapshot: Snapshot, previous: Snapshot | undefined): boolean {
  for (const [service, endpoints] of snapshot.endpointsByService) {
    if (previous?.endpointsByService.get(service) !== endpoints) {
      return false;
    }
  }
  return previous?.endpointsByService.size === snapshot.endpointsByService.size;
}

export function hasSameEntries(
  left: ReadonlyMap<string, string>,
  right: ReadonlyMap<string, string>,
): boolean {
  if (left.size !== right.size) {
    return false;
  }
  for (const [key, value] of left) {
    if (right.get(key) !== value) {
      return false;
    }
  }
  return true;
}

/** How many overlay links a node wants in each place, and which are missing or too many. */
import { LINK_SCOPES, type LinkScope } from './dial-candidates.js';
import type { MachineIndex } from './machine-index.js';
import type { PeerIdentity } from './peer-identity.js';
import type { PeerLink } from './peer-link.js';

/** Numbers of links by place. */
export type LinkCounts = Record<LinkScope, number>;

/** No links at all. */
export function noLinks(): LinkCounts {
  return { zone: 0, region: 0, remote: 0, contact: 0 };
}

/**
 * The links to dial: about half in the own zone, at least one in another zone of the region and one in
 * another region where there are such; any contact while no other machine is known.
 */
export function quotasFor(
  self: PeerIdentity,
  neighbours: number,
  machines: MachineIndex,
): LinkCounts {
  const quotas = noLinks();
  const hasZone = machines.inZone(self.zone).some((machine) => machine.id !== self.id);
  const hasRegion = machines.zonesOf(self.region).some((zone) => zone !== self.zone);
  const hasRemote = machines.regionNames().some((region) => region !== self.region);
  if (!hasZone && !hasRegion) {
    quotas[hasRemote ? 'remote' : 'contact'] = neighbours;
    return quotas;
  }
  quotas.remote = hasRemote ? Math.max(1, Math.floor(neighbours / 4)) : 0;
  const inRegion = neighbours - quotas.remote;
  const inZone = hasRegion ? Math.min(inRegion, Math.ceil(neighbours / 2)) : inRegion;
  quotas.zone = hasZone ? inZone : 0;
  quotas.region = hasRegion ? Math.max(1, inRegion - quotas.zone) : 0;
  return quotas;
}

/** Links wanted less those dialled; `pending` counts dials under way. Negative where too many. */
export function missingLinks(
  desired: LinkCounts,
  links: Iterable<PeerLink>,
  pending: LinkCounts,
): LinkCounts {
  const missing = { ...desired };
  let open = 0;
  for (const link of links) {
    open += link.role === 'transient' ? 0 : 1;
    missing[link.scope] -= link.role === 'outbound' ? 1 : 0;
  }
  if (open === 0) {
    missing.contact += Math.max(0, 1 - desired.contact);
  }
  for (const scope of LINK_SCOPES) {
    missing[scope] -= pending[scope];
  }
  return missing;
}

/** Adds what the failing places lack to the first place that does not fail. */
export function withFallback(
  missing: LinkCounts,
  desired: LinkCounts,
  isFailing: (scope: LinkScope) => boolean,
): LinkCounts {
  const failing = LINK_SCOPES.filter(isFailing);
  const unfilled = failing.reduce((sum, scope) => sum + Math.max(0, missing[scope]), 0);
  const fallback = LINK_SCOPES.find((scope) => desired[scope] > 0 && !failing.includes(scope));
  return fallback === undefined
    ? missing
    : { ...missing, [fallback]: missing[fallback] + unfilled };
}

/** A confirmed outbound link beyond the number wanted in all; undefined when there is none. */
export function surplusLink(
  desired: LinkCounts,
  neighbours: number,
  links: Iterable<PeerLink>,
): PeerLink | undefined {
  const counts = noLinks();
  const outbound: PeerLink[] = [];
  for (const link of links) {
    if (link.role === 'outbound' && link.isConfirmed) {
      counts[link.scope] += 1;
      outbound.push(link);
    }
  }
  if (outbound.length <= neighbours) {
    return undefined;
  }
  return outbound.find((link) => counts[link.scope] > desired[link.scope]);
}

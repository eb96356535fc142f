/** Number of overlay links that a node needs in each scope, and which are missing or in excess. */
import { LINK_SCOPES, type LinkScope } from './dial-candidates.js';
import type { MachineIndex } from './machine-index.js';
import type { PeerIdentity } from './peer-identity.js';
import type { PeerLink } from './peer-link.js';

/** Number of links by scope. */
export type LinkCounts = Record<LinkScope, number>;

export function noLinks(): LinkCounts {
  return { zone: 0, region: 0, remote: 0, contact: 0 };
}

/**
 * Computes the number of links to dial per scope: about half in the own zone, and at least one each
 * in another zone of the region and in another region if these exist; all to any contact while no
 * other machine is known.
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

/** Desired links minus outbound links and pending dials, per scope; negative for an excess. */
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

/** Adds the missing links of failing scopes to the first desired scope that does not fail. */
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

/**
 * Returns a confirmed outbound link of a scope that exceeds its quota; undefined while the total
 * does not exceed `neighbours`.
 */
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

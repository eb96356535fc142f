/** Selects the endpoint at which a request that may crash its endpoint is tried. Pure. */
import { isInService } from '../model/evacuation.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import { hashFraction } from './hash-fraction.js';

/**
 * The endpoint, or none when all were tried. Rendezvous hashing gives the same result at all nodes with the same
 * endpoints, without communication, so that the endpoint's node can run one attempt at a time for the whole fleet.
 * Hashes the names rather than the incarnations, so that nodes that do not yet know of a restart choose the same.
 */
export function trialEndpoints(
  endpoints: readonly Endpoint[],
  fingerprint: string,
  tried: ReadonlySet<string>,
): readonly Endpoint[] {
  let chosen: Endpoint | undefined;
  let highest = -1;
  for (const endpoint of endpoints) {
    if (isInService(endpoint) && !tried.has(incarnationOf(endpoint))) {
      const rank = hashFraction(`${fingerprint} ${endpoint.name}`);
      if (rank > highest) {
        highest = rank;
        chosen = endpoint;
      }
    }
  }
  return chosen === undefined ? [] : [chosen];
}

/** Where a request is tried that may end the endpoint which runs it. Pure. */
import { isInService } from '../model/evacuation.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import { hashFraction } from './hash-fraction.js';

/**
 * The endpoint, none when all were tried: the same for all nodes that know the same endpoints, without a
 * word among them, so that its node can run one try at a time for the whole fleet (rendezvous hashing). The
 * names decide, not the incarnations: nodes that have not heard of a rebirth yet choose alike.
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

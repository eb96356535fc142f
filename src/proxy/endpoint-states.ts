/** The state of endpoints as observed by the request path of one node, for the status page. */
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import type { EndpointObservation } from '../routing/endpoint-selector.js';

/**
 * - `ready`: accepts new work.
 * - `draining`: by configuration, by its own report, or because its machine is leaving the fleet.
 * - `evacuated`: its zone receives no new work.
 * - `ejected`: it failed this node's requests and is being probed.
 * - `unreachable`: its node is dead or unknown, and this node has no share of the endpoint's slots.
 */
export type EndpointState = 'ready' | 'draining' | 'evacuated' | 'ejected' | 'unreachable';

/** One endpoint's state at this node. */
export interface EndpointStateReport {
  readonly name: string;
  readonly service: string;
  readonly state: EndpointState;
  /** Requests of this node in flight at the endpoint. */
  readonly inFlight: number;
  /** Requests that are queued for the endpoint at this node. */
  readonly queued: number;
  /** Absent if the endpoint names no rate limit. */
  readonly rateLimit?: RateLimitReport;
}

/** An endpoint's rate limit at this node. */
export interface RateLimitReport {
  /** Requests per second that the endpoint accepts from all nodes together. */
  readonly maxRatePerS: number;
  /** Requests that this node has sent to the endpoint within the last four seconds. */
  readonly recentlySent: number;
  /** Requests that this node has refused because of the limit. */
  readonly refused: number;
}

/** What the components of the request path know about an endpoint. */
export interface EndpointStateSource {
  observationOf(endpoint: Endpoint): EndpointObservation | undefined;
  /** Whether the endpoint has stated that it leaves, or its machine's node that it is leaving the fleet. */
  isLeaving(endpoint: Endpoint): boolean;
  /** Whether this node can reach the endpoint, directly or through another node. */
  isReachable(endpoint: Endpoint): boolean;
  waitingFor(endpoint: Endpoint): number;
  /** Undefined if the endpoint names no rate limit. */
  rateLimitOf(endpoint: Endpoint): RateLimitReport | undefined;
}

/** Reports the state of every endpoint of a snapshot. */
export function reportEndpointStates(
  snapshot: Snapshot,
  source: EndpointStateSource,
): EndpointStateReport[] {
  return [...snapshot.endpointsByService.values()].flat().map((endpoint) => {
    const rateLimit = source.rateLimitOf(endpoint);
    return {
      name: endpoint.name,
      service: endpoint.spec.service,
      state: stateOf(endpoint, source),
      inFlight: source.observationOf(endpoint)?.inFlight ?? 0,
      queued: source.waitingFor(endpoint),
      ...(rateLimit !== undefined && { rateLimit }),
    };
  });
}

function stateOf(endpoint: Endpoint, source: EndpointStateSource): EndpointState {
  const observation = source.observationOf(endpoint);
  const isDrained = endpoint.spec.state === 'draining' || observation?.isDraining === true;
  if (isDrained || source.isLeaving(endpoint)) {
    return 'draining';
  }
  if (endpoint.isEvacuated === true) {
    return 'evacuated';
  }
  if (!source.isReachable(endpoint)) {
    return 'unreachable';
  }
  return observation?.isEjected === true ? 'ejected' : 'ready';
}

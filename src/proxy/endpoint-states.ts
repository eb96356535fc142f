/** Endpoints as the request path of one node sees them, for the status page. */
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import type { EndpointObservation } from '../routing/endpoint-selector.js';

/**
 * - `ready`: may get new work.
 * - `draining`: by configuration, by its own word, or because its machine is leaving.
 * - `evacuated`: its zone gets no new work.
 * - `ejected`: it failed this node's requests; it is probed.
 * - `unreachable`: its node is dead or unknown, and this node has no share of it.
 */
export type EndpointState = 'ready' | 'draining' | 'evacuated' | 'ejected' | 'unreachable';

/** One endpoint's state at this node. */
export interface EndpointStateReport {
  readonly name: string;
  readonly service: string;
  readonly state: EndpointState;
  /** Requests of this node that are under way there. */
  readonly inFlight: number;
  /** Requests that wait for it at this node. */
  readonly queued: number;
}

/** What the parts of the request path know of an endpoint. */
export interface EndpointKnowledge {
  sightOf(endpoint: Endpoint): EndpointObservation | undefined;
  /** Whether the machine's node has said that it leaves. */
  isLeaving(endpoint: Endpoint): boolean;
  /** Whether this node has a way to the endpoint. */
  isReachable(endpoint: Endpoint): boolean;
  waitingFor(endpoint: Endpoint): number;
}

/** Reports every endpoint of a snapshot. */
export function reportEndpointStates(
  snapshot: Snapshot,
  knowledge: EndpointKnowledge,
): EndpointStateReport[] {
  return [...snapshot.endpointsByService.values()].flat().map((endpoint) => ({
    name: endpoint.name,
    service: endpoint.spec.service,
    state: stateOf(endpoint, knowledge),
    inFlight: knowledge.sightOf(endpoint)?.inFlight ?? 0,
    queued: knowledge.waitingFor(endpoint),
  }));
}

function stateOf(endpoint: Endpoint, knowledge: EndpointKnowledge): EndpointState {
  const sight = knowledge.sightOf(endpoint);
  const isDrained = endpoint.spec.state === 'draining' || sight?.isDraining === true;
  if (isDrained || knowledge.isLeaving(endpoint)) {
    return 'draining';
  }
  if (endpoint.isEvacuated === true) {
    return 'evacuated';
  }
  if (!knowledge.isReachable(endpoint)) {
    return 'unreachable';
  }
  return sight?.isEjected === true ? 'ejected' : 'ready';
}

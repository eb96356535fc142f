/**
 * How much of an endpoint's capacity nodes may use: the node on its machine, and other nodes when it has no node or
 * its node is gone. The shares of other nodes are small, so that the endpoint's limits hold although no node counts
 * all of its requests.
 */
import type { Endpoint } from '../model/resource.js';
import { hashFraction } from './hash-fraction.js';

/** Connections of an endpoint reserved for cancellations and health checks. */
const RESERVED_CONNECTIONS = 6;
/** Average share of the slots that the nodes chosen for an orphaned endpoint use in total. */
const ORPHAN_SLOT_SHARE = 0.5;

/** Maximum concurrent requests of the node on the endpoint's machine. */
export function ownedSlots({ spec }: Endpoint): number {
  return Math.max(1, Math.min(spec.slots, spec.maxConnections - RESERVED_CONNECTIONS));
}

/** Maximum concurrent requests of each node to an endpoint without a node; its slots are divided evenly. */
export function sharedSlots(endpoint: Endpoint, nodeCount: number): number {
  return Math.max(1, Math.floor(ownedSlots(endpoint) / Math.max(1, nodeCount)));
}

/**
 * Share of a cold endpoint's request limit for the node `machineId`: the full limit on the endpoint's machine, an
 * equal share if the endpoint has no node, and 0 if its node is gone, because that node may still send.
 */
export function coldShare({ spec }: Endpoint, machineId: string, nodeCount: number): number {
  if (spec.machine === undefined) {
    return 1 / Math.max(1, nodeCount);
  }
  return spec.machine === machineId ? 1 : 0;
}

/**
 * Maximum concurrent requests of the node `machineId` to an endpoint whose own node is gone: 1 for the nodes chosen
 * by a hash of both names, about half as many as there are slots, and 0 for the others.
 */
export function orphanSlots(endpoint: Endpoint, machineId: string, nodeCount: number): number {
  const chosenNodes = ownedSlots(endpoint) * ORPHAN_SLOT_SHARE;
  const probability = chosenNodes / Math.max(1, nodeCount);
  return hashFraction(`${machineId} ${endpoint.name}`) < probability ? 1 : 0;
}

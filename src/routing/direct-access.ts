/**
 * How much of an endpoint a node may use that is not beside it: the share of endpoints without a
 * node, or whose node is gone. Shares are small, so that the endpoint's limits hold although no one
 * place counts.
 */
import type { Endpoint } from '../model/resource.js';

/** Connections of an endpoint kept free for cancellations and health. */
const RESERVED_CONNECTIONS = 6;
/** Part of the slots that the nodes chosen for an orphaned endpoint use in all, on average. */
const ORPHAN_SLOT_SHARE = 0.5;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Requests at once for the node beside the endpoint. */
export function ownedSlots({ spec }: Endpoint): number {
  return Math.max(1, Math.min(spec.slots, spec.maxConnections - RESERVED_CONNECTIONS));
}

/** Requests at once for each node, where an endpoint has no node: its slots are divided evenly. */
export function sharedSlots(endpoint: Endpoint, nodeCount: number): number {
  return Math.max(1, Math.floor(ownedSlots(endpoint) / Math.max(1, nodeCount)));
}

/**
 * Requests at once for the node `machineId`, where the endpoint's own node is gone: one for the
 * nodes that a hash of both names chooses, about half as many nodes as there are slots; none for the
 * others.
 */
export function orphanSlots(endpoint: Endpoint, machineId: string, nodeCount: number): number {
  const chosenNodes = ownedSlots(endpoint) * ORPHAN_SLOT_SHARE;
  const chance = chosenNodes / Math.max(1, nodeCount);
  return hashFraction(`${machineId} ${endpoint.name}`) < chance ? 1 : 0;
}

/** A hash of `text`, uniform in [0, 1) (FNV-1a with a final mix). */
function hashFraction(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / 2 ** 32;
}

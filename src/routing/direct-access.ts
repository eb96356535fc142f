/**
 * How much of an endpoint a node may use that is not beside it: the share of endpoints without a
 * node, or whose node is gone. Shares are small, so that the endpoint's limits hold although no one
 * place counts.
 */
import type { Endpoint } from '../model/resource.js';
import { hashFraction } from './hash-fraction.js';

/** Connections of an endpoint kept free for cancellations and health. */
const RESERVED_CONNECTIONS = 6;
/** Part of the slots that the nodes chosen for an orphaned endpoint use in all, on average. */
const ORPHAN_SLOT_SHARE = 0.5;

/** Requests at once for the node beside the endpoint. */
export function ownedSlots({ spec }: Endpoint): number {
  return Math.max(1, Math.min(spec.slots, spec.maxConnections - RESERVED_CONNECTIONS));
}

/** Requests at once for each node, where an endpoint has no node: its slots are divided evenly. */
export function sharedSlots(endpoint: Endpoint, nodeCount: number): number {
  return Math.max(1, Math.floor(ownedSlots(endpoint) / Math.max(1, nodeCount)));
}

/**
 * Part of what a cold endpoint bears for the node `machineId`: all of it beside the endpoint, an even one where it
 * has no node, none where its own node is gone, which may still send.
 */
export function coldShare({ spec }: Endpoint, machineId: string, nodeCount: number): number {
  if (spec.machine === undefined) {
    return 1 / Math.max(1, nodeCount);
  }
  return spec.machine === machineId ? 1 : 0;
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

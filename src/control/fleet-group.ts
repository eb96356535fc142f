/** Hash-based groups of a fleet, which distribute the work for keys over machines. */
import { createHash } from 'node:crypto';

/** The group of a machine or key, from 0 to `groups` - 1; the same on every node. */
export function fleetGroupOf(name: string, groups: number): number {
  return groups === 1 ? 0 : createHash('sha256').update(name).digest().readUInt32BE(0) % groups;
}

/** A fleet on the message pump, with queries and assertions. */
import { expect } from 'chai';
import { ControlPlane } from '../../src/control/control-plane.js';
import type { MemberStatus } from '../../src/wire/message.js';
import { identityOf, machineOf } from './control-fixtures.js';
import { MessagePump, type PumpNode } from './message-pump.js';

export const SETTLE_MS = 8_000;
/** Upper bound for suspicion, the refutation timeout and the flood. */
export const DEAD_DETECTION_MS = 25_000;
/** Upper bound for the maximum dial back-off and a fetch. */
export const RECOVERY_MS = 15_000;

export interface Fleet {
  readonly pump: MessagePump;
  readonly nodes: readonly PumpNode[];
}

export function nodeAt({ nodes }: Fleet, index: number): PumpNode {
  const node = nodes[index];
  if (node === undefined) {
    throw new Error(`no node ${index}`);
  }
  return node;
}

/** Starts a fleet in two regions of three zones, with its first node as seed and a machine list. */
export function startFleet(size: number, seed = 1, planeClass = ControlPlane): Fleet {
  const pump = new MessagePump(seed, planeClass);
  const nodes: PumpNode[] = [];
  const seeds = [identityOf(0)];
  for (let index = 0; index < size; index += 1) {
    const region = index % 6 < 3 ? 'region-1' : 'region-2';
    nodes.push(pump.add(identityOf(index, `${region}-${index % 3}`, region), { seeds }));
  }
  const fleet = { pump, nodes };
  pump.run(SETTLE_MS);
  const machines = nodes.map((node) => machineOf(node.identity));
  pump.publishMachines(nodeAt(fleet, 0), 1, machines);
  pump.run(SETTLE_MS);
  return fleet;
}

/** Statuses of a node, as reported by the other running nodes. */
export function statusesOf({ pump }: Fleet, of: PumpNode): Set<MemberStatus | undefined> {
  const others = pump.runningNodes().filter((node) => node !== of);
  return new Set(others.map((node) => node.plane.memberStatus(of.identity.id)));
}

export function sourceNumbers({ pump }: Fleet): Set<number> {
  const running = pump.runningNodes();
  return new Set(running.map((node) => node.plane.snapshot().version.source.number));
}

export function countOf({ nodes }: Fleet, counter: string): number {
  return nodes.reduce((sum, node) => sum + node.counters.get(counter), 0);
}

/** Asserts that the source version of every node only increased. */
export function assertVersionsOnlyIncrease({ nodes }: Fleet): void {
  for (const node of nodes) {
    const numbers = node.snapshots.map((snapshot) => snapshot.version.source.number);
    expect(numbers).to.deep.equal([...numbers].sort((left, right) => left - right));
  }
}

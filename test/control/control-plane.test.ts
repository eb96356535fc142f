import { expect } from 'chai';
import { MessagePump, identityOf, machineOf, sourceValues, type PumpNode } from './message-pump.js';

/** A fleet that knows one seed, its first node. */
function startFleet(size: number, seed: number): { pump: MessagePump; nodes: PumpNode[] } {
  const pump = new MessagePump(seed);
  const nodes: PumpNode[] = [];
  const seeds = [identityOf(0)];
  for (let index = 0; index < size; index += 1) {
    const zone = `zone-${index % 3}`;
    const region = index % 6 < 3 ? 'region-1' : 'region-2';
    nodes.push(pump.add(identityOf(index, `${region}-${zone}`, region), { seeds }));
  }
  return { pump, nodes };
}

function nodeAt(nodes: readonly PumpNode[], index: number): PumpNode {
  const node = nodes[index];
  if (node === undefined) {
    throw new Error(`no node ${index}`);
  }
  return node;
}

describe('control plane', () => {
  for (const size of [2, 3, 5, 10, 30]) {
    it(`converges ${size} nodes on a version published at one`, () => {
      const { pump, nodes } = startFleet(size, size);
      pump.run(5_000);
      pump.publishMachines(
        nodeAt(nodes, size - 1),
        1,
        nodes.map((node) => machineOf(node.identity)),
      );
      pump.run(5_000);
      pump.publish(nodeAt(nodes, size - 1), 7, sourceValues(100));
      const took = pump.run(2_000, () => pump.isConverged());
      expect(pump.isConverged()).to.equal(true);
      expect(took).to.be.lessThan(2_000);
      for (const node of nodes) {
        expect(node.plane.snapshot().version.source.number).to.equal(7);
        expect(node.plane.memberStatus('machine-0')).to.equal('alive');
      }
    });
  }
});

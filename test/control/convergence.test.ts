import { expect } from 'chai';
import { identityOf, sourceValues } from './control-fixtures.js';
import type { PumpNode } from './message-pump.js';
import {
  RECOVERY_MS,
  assertVersionsOnlyIncrease,
  nodeAt,
  sourceNumbers,
  startFleet,
  type Fleet,
} from './test-fleet.js';

describe('control plane: convergence', () => {
  for (const size of [2, 3, 5, 10, 30]) {
    for (const padding of [0, 2_000]) {
      it(`${size} nodes adopt a version with ${padding + 1} services within 2 s`, () => {
        const fleet = startFleet(size, size);
        fleet.pump.publish(nodeAt(fleet, size - 1), 7, sourceValues(100, padding));
        fleet.pump.run(2_000, () => fleet.pump.isConverged());
        expect([...sourceNumbers(fleet)]).to.deep.equal([7]);
      });
    }
  }

  for (const [name, disturb] of [
    [
      'two readers publish different versions',
      (fleet: Fleet) => {
        fleet.pump.publish(nodeAt(fleet, 1), 6, sourceValues(1));
        fleet.pump.publish(nodeAt(fleet, 7), 8, sourceValues(2));
      },
    ],
    [
      'two readers publish different documents with the same number',
      (fleet: Fleet) => {
        fleet.pump.publish(nodeAt(fleet, 1), 8, sourceValues(1));
        fleet.pump.publish(nodeAt(fleet, 7), 8, sourceValues(2));
      },
    ],
    [
      'a stale reader publishes after the newer version',
      (fleet: Fleet) => {
        fleet.pump.publish(nodeAt(fleet, 1), 8, sourceValues(1));
        fleet.pump.run(1_000);
        fleet.pump.publish(nodeAt(fleet, 7), 3, sourceValues(2));
      },
    ],
    [
      'many versions in quick succession',
      (fleet: Fleet) => {
        for (let number = 1; number <= 8; number += 1) {
          fleet.pump.publish(nodeAt(fleet, number % 3), number, sourceValues(number, number * 50));
          fleet.pump.run(3);
        }
      },
    ],
    [
      'the reader is killed after the publication',
      (fleet: Fleet) => {
        fleet.pump.publish(nodeAt(fleet, 5), 8, sourceValues(1, 2_000));
        const holdsVersion8 = (node: PumpNode): boolean =>
          node.plane.snapshot().version.source.number === 8;
        fleet.pump.run(2_000, () => fleet.nodes.filter(holdsVersion8).length === 2);
        fleet.pump.kill(nodeAt(fleet, 5));
      },
    ],
    [
      'half of the fleet restarts during propagation',
      (fleet: Fleet) => {
        fleet.pump.publish(nodeAt(fleet, 0), 8, sourceValues(1, 2_000));
        fleet.pump.run(30);
        const restarting = fleet.nodes.filter((_, index) => index % 2 === 1);
        restarting.forEach((node) => fleet.pump.kill(node));
        fleet.pump.run(100);
        restarting.forEach((node) => fleet.pump.restart(node, { seeds: [identityOf(0)] }));
      },
    ],
  ] as const) {
    it(`${name}: all nodes hold version 8 and no node reverted to an older version`, () => {
      const fleet = startFleet(12);
      disturb(fleet);
      fleet.pump.run(RECOVERY_MS, () => fleet.pump.isConverged());
      expect(fleet.pump.isConverged()).to.equal(true);
      expect([...sourceNumbers(fleet)]).to.deep.equal([8]);
      assertVersionsOnlyIncrease({
        ...fleet,
        nodes: fleet.nodes.filter((node) => node.identity.incarnation === 1_000),
      });
    });
  }

  it('a new node that read a stale source adopts the version of its peers and reverts none of them', () => {
    const fleet = startFleet(6);
    fleet.pump.publish(nodeAt(fleet, 0), 8, sourceValues(1));
    fleet.pump.run(1_000);
    const newNode = fleet.pump.add(identityOf(6, 'region-1-0'), { seeds: [identityOf(0)] });
    fleet.pump.publish(newNode, 3, sourceValues(3));
    fleet.pump.run(5_000);
    expect([...sourceNumbers(fleet)]).to.deep.equal([8]);
    assertVersionsOnlyIncrease(fleet);
  });

  it('an invalid version is refused by every node, and each node reports the reason', () => {
    const fleet = startFleet(10);
    fleet.pump.publish(nodeAt(fleet, 0), 1, sourceValues(1));
    fleet.pump.run(1_000);
    fleet.pump.publish(nodeAt(fleet, 3), 2, new Map([['service/tiles', '{}']]));
    fleet.pump.run(1_000);
    expect([...sourceNumbers(fleet)]).to.deep.equal([1]);
    for (const node of fleet.nodes) {
      expect(node.plane.status().rejectedSource?.version.number).to.equal(2);
      expect(node.plane.status().rejectedSource?.reason).to.match(/service\/tiles/);
    }
  });
});

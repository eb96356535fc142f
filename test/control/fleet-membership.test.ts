import { expect } from 'chai';
import { ControlPlane } from '../../src/control/control-plane.js';
import { identityOf, sourceValues } from './control-fixtures.js';
import {
  DEAD_DETECTION_MS,
  RECOVERY_MS,
  SETTLE_MS,
  assertVersionsOnlyIncrease,
  countOf,
  nodeAt,
  statusesOf,
  sourceNumbers,
  startFleet,
} from './test-fleet.js';

describe('control plane: membership', () => {
  it('reports a killed node as suspect, then dead, and alive again after a restart', () => {
    const fleet = startFleet(10);
    const victim = nodeAt(fleet, 4);
    fleet.pump.kill(victim);
    fleet.pump.run(5_000);
    expect([...statusesOf(fleet, victim)]).to.deep.equal(['suspect']);
    fleet.pump.run(DEAD_DETECTION_MS);
    expect([...statusesOf(fleet, victim)]).to.deep.equal(['dead']);
    fleet.pump.restart(victim, { seeds: [identityOf(0)] });
    fleet.pump.run(SETTLE_MS);
    expect([...statusesOf(fleet, victim)]).to.deep.equal(['alive']);
  });

  it('announces a planned stop to all nodes within a second, without any suspicion', () => {
    const fleet = startFleet(30);
    const leavingNode = nodeAt(fleet, 4);
    fleet.pump.deliver(leavingNode, { type: 'stop' });
    fleet.pump.run(1_000);
    expect([...statusesOf(fleet, leavingNode)]).to.deep.equal(['leaving']);
    fleet.pump.kill(leavingNode);
    fleet.pump.run(DEAD_DETECTION_MS);
    expect([...statusesOf(fleet, leavingNode)]).to.deep.equal(['leaving']);
    expect(countOf(fleet, 'ferryspool_member_suspicions_total')).to.equal(0);
  });

  it('does not suspect a node that only closed its links', () => {
    const fleet = startFleet(10);
    const [left, right] = [nodeAt(fleet, 0), nodeAt(fleet, 1)];
    const before = countOf(fleet, 'ferryspool_member_suspicions_total');
    for (const peer of left.plane.status().neighbours) {
      fleet.pump.execute(left, [{ type: 'hang-up', peerId: peer.id }]);
      fleet.pump.deliver(left, { type: 'peer-down', peer });
    }
    fleet.pump.run(SETTLE_MS);
    expect(countOf(fleet, 'ferryspool_member_suspicions_total')).to.equal(before);
    expect([...statusesOf(fleet, left)]).to.deep.equal(['alive']);
    expect([...statusesOf(fleet, right)]).to.deep.equal(['alive']);
  });

  /** Mutant that does not restart timeouts after a pause, and so suspects its neighbours. */
  class NoPauseHandlingPlane extends ControlPlane {
    protected override restartTimeouts(): void {
      return;
    }
  }

  for (const [planeClass, expected] of [
    [ControlPlane, 0],
    [NoPauseHandlingPlane, 1],
  ] as const) {
    it(`after a pause of its process, ${planeClass.name} suspects ${expected === 0 ? 'no peer' : 'peers'}`, () => {
      const fleet = startFleet(10, 1, planeClass);
      const paused = nodeAt(fleet, 4);
      paused.pausedUntil = fleet.pump.nowMs + 10_000;
      fleet.pump.run(9_000);
      const effects = paused.plane.handle({ type: 'wake' }, fleet.pump.nowMs);
      const hungUp = effects.filter((effect) => effect.type === 'hang-up').length;
      expect(Math.min(1, hungUp)).to.equal(expected);
      if (expected === 0) {
        expect(effects[0]).to.have.nested.property('message.type', 'heartbeat');
      }
    });
  }

  it('reports a paused node as alive again after it resumes', () => {
    const fleet = startFleet(10);
    const paused = nodeAt(fleet, 4);
    paused.pausedUntil = fleet.pump.nowMs + 40_000;
    fleet.pump.run(39_000);
    expect([...statusesOf(fleet, paused)]).to.deep.equal(['dead']);
    fleet.pump.publish(nodeAt(fleet, 0), 8, sourceValues(1));
    fleet.pump.run(1_000 + RECOVERY_MS);
    expect([...statusesOf(fleet, paused)]).to.deep.equal(['alive']);
    expect([...sourceNumbers(fleet)]).to.deep.equal([8]);
    for (const node of fleet.nodes) {
      expect([...statusesOf(fleet, node)]).to.deep.equal(['alive']);
    }
  });

  for (const [name, isPartitioned] of [
    ['a region is partitioned', (from: string, to: string) => from.slice(0, 8) !== to.slice(0, 8)],
    [
      'a zone is partitioned',
      (from: string, to: string) => (from === 'region-1-0') !== (to === 'region-1-0'),
    ],
    [
      'outbound messages of a zone are lost',
      (from: string, to: string) => from === 'region-1-0' && to !== from,
    ],
  ] as const) {
    it(`${name} for an hour, and reconnects without reverting to an older version`, () => {
      const fleet = startFleet(18);
      fleet.pump.publish(nodeAt(fleet, 0), 1, sourceValues(1));
      fleet.pump.run(1_000);
      fleet.pump.cut((from, to) => isPartitioned(from.zone, to.zone));
      fleet.pump.run(1_800_000);
      fleet.pump.publish(nodeAt(fleet, 0), 2, sourceValues(2));
      fleet.pump.publish(nodeAt(fleet, 4), 3, sourceValues(3));
      fleet.pump.run(1_800_000);
      fleet.pump.heal();
      fleet.pump.run(RECOVERY_MS);
      expect([...sourceNumbers(fleet)]).to.deep.equal([3]);
      assertVersionsOnlyIncrease(fleet);
      fleet.pump.run(60_000);
      for (const node of fleet.nodes) {
        expect([...statusesOf(fleet, node)]).to.deep.equal(['alive']);
      }
    });
  }
});

describe('control plane: overlay', () => {
  it('bounds the number of links independently of the fleet size', () => {
    const averages = [40, 120].map((size) => {
      const fleet = startFleet(size);
      fleet.pump.run(60_000);
      const links = fleet.nodes.map((node) => node.plane.status().neighbours.length);
      expect(Math.max(...links)).to.be.at.most(4 + 1 + 16);
      expect(Math.min(...links)).to.be.at.least(3);
      return links.reduce((sum, count) => sum + count, 0) / size;
    });
    expect(Math.abs((averages[0] ?? 0) - (averages[1] ?? 0))).to.be.lessThan(0.5);
  });

  it('spreads links over zones and regions', () => {
    const fleet = startFleet(60);
    fleet.pump.run(60_000);
    for (const { plane, identity } of fleet.nodes) {
      const { neighbours } = plane.status();
      expect(neighbours.some((peer) => peer.zone === identity.zone)).to.equal(true);
      expect(neighbours.some((peer) => peer.region !== identity.region)).to.equal(true);
    }
  });

  it('exchanges neighbours periodically without suspecting the replaced ones', () => {
    const fleet = startFleet(20);
    const peers = (): string[] =>
      fleet.nodes.map((node) =>
        node.plane
          .status()
          .neighbours.map((peer) => peer.id)
          .join(),
      );
    const before = peers();
    const suspicions = countOf(fleet, 'ferryspool_member_suspicions_total');
    fleet.pump.run(3_600_000);
    const changed = peers().filter((ids, index) => ids !== before[index]);
    expect(changed).to.have.length.greaterThan(10);
    expect(countOf(fleet, 'ferryspool_member_suspicions_total')).to.equal(suspicions);
  });

  it('sends only heartbeats in an idle fleet', () => {
    const fleet = startFleet(20);
    fleet.pump.run(60_000);
    fleet.nodes.forEach((node) => node.sent.splice(0));
    fleet.pump.run(60_000);
    const types = new Set(
      fleet.nodes.flatMap((node) => node.sent.map(({ message }) => message.type)),
    );
    expect([...types]).to.deep.equal(['heartbeat']);
  });
});

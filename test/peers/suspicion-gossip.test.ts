/** Time until all machines have contained a request, by fleet size, datagram loss, partitions and starts. */
import { expect } from 'chai';
import type { Suspicion } from '../../src/containment/suspicion.js';
import { SuspicionTable } from '../../src/containment/suspicion-table.js';
import { limitToBytes, suspicionLayout } from '../../src/containment/suspicion-layout.js';
import { SuspicionGossip, type OutgoingSuspicions } from '../../src/peers/suspicion-gossip.js';
import { seededRandom } from '../proxy/rig.js';

const GUILTY = 'c'.repeat(40);
const HOP_MS = 2;
const PING_INTERVAL_MS = 700;

interface GossipNode {
  readonly table: SuspicionTable;
  readonly gossip: SuspicionGossip;
  nextPingAtMs: number;
  isUp: boolean;
  containedAtMs: number | undefined;
}

/** Nodes that gossip over lossy datagrams. */
class GossipWorld {
  nowMs = 0;
  sentCount = 0;
  readonly nodes = new Map<string, GossipNode>();
  private readonly random: () => number;
  private inFlight: (() => void)[] = [];

  constructor(
    size: number,
    seed: number,
    private readonly lossShare = 0,
  ) {
    this.random = seededRandom(seed);
    for (let number = 0; number < size; number += 1) {
      this.start(`n${number}`);
    }
    this.updatePeers();
  }

  start(name: string): GossipNode {
    const table = new SuspicionTable();
    const gossip = new SuspicionGossip({
      random: this.random,
      digest: () => table.digest,
      list: () => table.list(this.nowMs),
    });
    const nextPingAtMs = this.nowMs + this.random() * PING_INTERVAL_MS;
    const node = { table, gossip, nextPingAtMs, isUp: true, containedAtMs: undefined };
    this.nodes.set(name, node);
    return node;
  }

  updatePeers(): void {
    for (const [name, { gossip }] of this.nodes) {
      gossip.setPeers([...this.nodes.keys()].filter((peer) => peer !== name));
    }
  }

  recordCrash(name: string, crash: number): void {
    const { table, gossip } = this.nodes.get(name) ?? expect.fail('no such node');
    const changed = table.recordCrash([GUILTY], crash.toString(16).padStart(12, '0'), this.nowMs);
    this.send(gossip.propagate(changed));
  }

  runFor(ms: number): void {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs; this.nowMs += HOP_MS) {
      const arrived = this.inFlight;
      this.inFlight = [];
      arrived.forEach((deliver) => deliver());
      this.ping();
      this.recordKnowledge();
    }
  }

  /** Number of running nodes that have contained the request. */
  get containedCount(): number {
    return [...this.nodes.values()].filter(
      ({ table, isUp }) => isUp && table.standingOf(GUILTY, this.nowMs) === 'contained',
    ).length;
  }

  private recordKnowledge(): void {
    for (const node of this.nodes.values()) {
      const isContained = node.table.standingOf(GUILTY, this.nowMs) === 'contained';
      node.containedAtMs ??= isContained ? this.nowMs : undefined;
    }
  }

  /** Each node periodically pings a random node; both then receive the other's digest. */
  private ping(): void {
    const names = [...this.nodes.keys()];
    for (const [name, node] of this.nodes) {
      const peer = names[Math.floor(this.random() * names.length)] ?? name;
      if (node.isUp && this.nowMs >= node.nextPingAtMs) {
        node.nextPingAtMs += PING_INTERVAL_MS;
        const other = this.nodes.get(peer) ?? node;
        this.deliver(peer, () => {
          this.send(other.gossip.handleDigest(name, node.table.digest, this.nowMs));
          this.deliver(name, () => {
            this.send(node.gossip.handleDigest(peer, other.table.digest, this.nowMs));
          });
        });
      }
    }
  }

  private send(outgoing: readonly OutgoingSuspicions[]): void {
    for (const { to, suspicions } of outgoing) {
      this.sentCount += 1;
      this.deliver(to, () => this.receive(to, suspicions));
    }
  }

  private receive(name: string, suspicions: readonly Suspicion[]): void {
    const { table, gossip } = this.nodes.get(name) ?? expect.fail('no such node');
    this.send(gossip.propagate(table.merge(suspicions, this.nowMs)));
  }

  private deliver(to: string, action: () => void): void {
    if (this.random() >= this.lossShare) {
      this.inFlight.push(() => {
        if (this.nodes.get(to)?.isUp === true) {
          action();
        }
      });
    }
  }
}

describe('SuspicionGossip', () => {
  for (const size of [13, 74, 195, 1_800]) {
    it(`reaches 99.9% of ${size} machines within a second, at a constant cost per machine`, () => {
      const world = new GossipWorld(size, size);
      [1, 2, 3].forEach((crash) => world.recordCrash(`n${crash}`, crash));
      world.runFor(1_000);
      expect(world.containedCount).to.be.at.least(Math.floor(size * 0.999));
      world.runFor(1_000);
      expect(world.containedCount).to.equal(size);
      // Each node forwards three crashes to four peers each and answers differing digests.
      expect(world.sentCount / size).to.be.below(16);
    }).timeout(60_000);
  }

  it('reaches all machines within two seconds if a fifth of the datagrams is lost', () => {
    const world = new GossipWorld(195, 7, 0.2);
    [1, 2, 3].forEach((crash) => world.recordCrash(`n${crash}`, crash));
    world.runFor(2_000);
    expect(world.containedCount).to.equal(195);
  });

  it('reaches machines that were partitioned or start later within two seconds', () => {
    const world = new GossipWorld(74, 8);
    const cutOff = [...world.nodes.values()].slice(10, 30);
    cutOff.forEach((node) => {
      node.isUp = false;
    });
    [1, 2, 3].forEach((crash) => world.recordCrash(`n${crash}`, crash));
    world.runFor(3_000);
    cutOff.forEach((node) => {
      node.isUp = true;
      node.nextPingAtMs = world.nowMs;
    });
    world.start('new');
    world.updatePeers();
    world.runFor(2_000);
    expect(world.containedCount).to.equal(75);
  });

  it('sends nothing more once all machines have the same suspicions', () => {
    const world = new GossipWorld(13, 9);
    [1, 2, 3].forEach((crash) => world.recordCrash(`n${crash}`, crash));
    world.runFor(2_000);
    const { sentCount } = world;
    world.runFor(5_000);
    expect(world.sentCount).to.equal(sentCount);
  });

  it('limits the size of an answer if there are many suspicions', () => {
    const table = new SuspicionTable();
    for (let number = 0; number < 500; number += 1) {
      table.recordCrash(
        [number.toString(16).padStart(32, '0') + '00000000'],
        number.toString(16).padStart(12, '0'),
        0,
      );
    }
    const gossip = new SuspicionGossip({
      random: () => 0.5,
      digest: () => table.digest,
      list: () => table.list(0),
    });
    const [answer = expect.fail('no answer')] = gossip.handleDigest('p', 1, 0);
    const bytes = answer.suspicions.reduce((sum, one) => sum + suspicionLayout.size(one), 0);
    expect(bytes).to.be.within(800, 1_200);
    expect(gossip.handleDigest('p', 1, 100)).to.deep.equal([]);
    expect(limitToBytes(table.list(0), 100)).to.have.length(3);
  });
});

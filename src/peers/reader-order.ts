/**
 * Determines which nodes read the store and which peers the others follow. Each node computes this from the list of
 * machines by rendezvous hashing, without messages or consensus. The machines of a zone are ordered by a hash of their
 * addresses; the first one leads its zone. The leaders are ordered in the same way: the first ones read the store, and
 * the other leaders follow them. Every other machine follows a predecessor in its zone, so that all form trees without
 * cycles. Pure.
 */
import { hashFraction } from '../routing/hash-fraction.js';

/**
 * Readers of the whole fleet, so that the store's load is independent of its size. Their reads are current, which
 * costs ten times as much as one that may lag; the second one takes over when the first one fails.
 */
const FLEET_READERS = 2;
/** Planned number of followers per node. A tree of three levels covers a zone of 300 nodes. */
export const FOLLOWERS_PER_NODE = 8;

/** A machine that may read the store or be followed. */
export interface ReaderCandidate {
  /** IP address, which identifies the machine. */
  readonly address: string;
  readonly zone: string;
}

/** A node's position in the order of its zone, or of the leaders if it leads its zone. */
export interface ReaderPosition {
  /** Machines that precede this one, in order. */
  readonly predecessors: readonly string[];
  /** All other machines of the zone. */
  readonly neighbours: ReadonlySet<string>;
  /** Number of machines, from the first in the order, that read the store. */
  readonly readerCount: number;
  /** Number of machines in the zone, including this one. */
  readonly zoneSize: number;
  /** Number of machines of the zone that precede this one. */
  readonly zoneRank: number;
  /** Machines that a reader follows while the store does not serve it, in order: their state comes from other readers. */
  readonly alternates: readonly string[];
}

/** Computes a node's position and caches the hashes of the machines. */
export class ReaderOrder {
  private readonly hashes = new Map<string, number>();

  constructor(private readonly self: ReaderCandidate) {}

  /** Returns the position of this node among `machines`, which need not include it. */
  positionAmong(machines: Iterable<ReaderCandidate>): ReaderPosition {
    const zones = this.zonesOf(machines);
    this.retainOnly(new Set([...zones.values()].flat()));
    const members = this.inOrder(zones.get(this.self.zone) ?? []);
    const zoneRank = members.indexOf(this.self.address);
    const leaders = this.inOrder([...zones.values()].map((zone) => this.firstOf(zone)));
    const isOnlyZone = leaders.length < FLEET_READERS;
    const order = zoneRank === 0 && !isOnlyZone ? leaders : members;
    const others = isOnlyZone ? members.slice(0, FLEET_READERS + 1) : leaders;
    return {
      predecessors: order.slice(0, order.indexOf(this.self.address)),
      neighbours: new Set(members.filter((address) => address !== this.self.address)),
      readerCount: isOnlyZone || zoneRank === 0 ? FLEET_READERS : 1,
      zoneSize: members.length,
      zoneRank,
      alternates: others.filter((address) => address !== this.self.address),
    };
  }

  /** The addresses of each zone's machines, this one included. */
  private zonesOf(machines: Iterable<ReaderCandidate>): Map<string, string[]> {
    const { self } = this;
    const zones = new Map([[self.zone, [self.address]]]);
    for (const { address, zone } of machines) {
      if (address !== self.address) {
        const members = zones.get(zone);
        if (members === undefined) {
          zones.set(zone, [address]);
        } else {
          members.push(address);
        }
      }
    }
    return zones;
  }

  private inOrder(addresses: readonly string[]): string[] {
    return [...addresses].sort((left, right) => this.compare(left, right));
  }

  private firstOf(addresses: readonly string[]): string {
    return addresses.reduce((first, address) =>
      this.compare(address, first) < 0 ? address : first,
    );
  }

  private compare(left: string, right: string): number {
    return this.hashOf(left) - this.hashOf(right) || compareTexts(left, right);
  }

  private hashOf(address: string): number {
    let hash = this.hashes.get(address);
    if (hash === undefined) {
      hash = hashFraction(address);
      this.hashes.set(address, hash);
    }
    return hash;
  }

  private retainOnly(addresses: ReadonlySet<string>): void {
    for (const address of this.hashes.keys()) {
      if (!addresses.has(address)) {
        this.hashes.delete(address);
      }
    }
  }
}

function compareTexts(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}

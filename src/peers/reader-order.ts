/**
 * Determines which nodes of a zone read the store and which peers the others follow. Each node computes
 * this from the list of machines by rendezvous hashing, without messages or consensus. The machines of a
 * zone are ordered by a hash of their addresses. The first ones read the store, and each other one follows
 * a predecessor, so that the followers form a tree without cycles. Pure.
 */
import { hashFraction } from '../routing/hash-fraction.js';

/** Readers of the whole fleet, divided evenly among zones, so that the store's load is independent of its size. */
const FLEET_READERS = 12;
/** Minimum number of readers in a zone, so that one remains if another fails. */
const MIN_ZONE_READERS = 2;
/** Planned number of followers per node. A tree of three levels covers a zone of 300 nodes. */
export const FOLLOWERS_PER_NODE = 8;

/** A machine that may read the store or be followed. */
export interface ReaderCandidate {
  /** IP address, which identifies the machine. */
  readonly address: string;
  readonly zone: string;
}

/** A node's position in the reader order of its zone. */
export interface ReaderPosition {
  /** Machines of the zone that precede this one, in order. */
  readonly predecessors: readonly string[];
  /** All other machines of the zone. */
  readonly neighbours: ReadonlySet<string>;
  /** Number of machines, from the first in the order, that read the store. */
  readonly readerCount: number;
  /** Number of machines in the zone, including this one. */
  readonly zoneSize: number;
}

/** Computes a node's position in its zone and caches the hashes of the zone's machines. */
export class ReaderOrder {
  private readonly hashes = new Map<string, number>();
  private readonly ownHash: number;

  constructor(private readonly self: ReaderCandidate) {
    this.ownHash = hashFraction(self.address);
  }

  /** Returns the position of this node among `machines`, which need not include it. */
  positionAmong(machines: Iterable<ReaderCandidate>): ReaderPosition {
    const zones = new Set([this.self.zone]);
    const neighbours = new Set<string>();
    for (const { address, zone } of machines) {
      zones.add(zone);
      if (zone === this.self.zone && address !== this.self.address) {
        neighbours.add(address);
      }
    }
    this.retainOnly(neighbours);
    return {
      predecessors: this.predecessorsAmong([...neighbours]),
      neighbours,
      readerCount: Math.max(MIN_ZONE_READERS, Math.ceil(FLEET_READERS / zones.size)),
      zoneSize: neighbours.size + 1,
    };
  }

  private predecessorsAmong(neighbours: readonly string[]): string[] {
    return neighbours
      .filter((address) => this.precedes(address))
      .sort((left, right) => this.hashOf(left) - this.hashOf(right) || compareTexts(left, right));
  }

  private precedes(address: string): boolean {
    const hash = this.hashOf(address);
    return hash < this.ownHash || (hash === this.ownHash && address < this.self.address);
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
  return left < right ? -1 : 1;
}

/**
 * Which nodes of a zone read the store, and whom the others follow, worked out by each node for itself
 * from the list of machines (rendezvous hashing): no messages, no agreement. The machines of a zone
 * stand in the order of a hash of their names; the first ones read, and each other one follows one
 * that stands before it, so that followers form a tree and never a circle. Pure.
 */
import { hashFraction } from '../routing/hash-fraction.js';

/** Readers of the whole fleet, where zones share them evenly: the store's cost does not grow with it. */
const FLEET_READERS = 12;
/** Readers of a zone at least: the death of one leaves another. */
const MIN_ZONE_READERS = 2;
/** Followers that each node is meant to have. A tree of three levels holds a zone of 300 nodes. */
export const FOLLOWERS_PER_NODE = 8;

/** A machine that may read or be followed. */
export interface ReaderCandidate {
  /** IP number, the machine's identity. */
  readonly address: string;
  readonly zone: string;
}

/** One node's place in its zone. */
export interface ReaderPlace {
  /** Machines of the zone that stand before this one, in order. */
  readonly ahead: readonly string[];
  /** All other machines of the zone. */
  readonly neighbours: ReadonlySet<string>;
  /** How many of the first machines read. */
  readonly readers: number;
  /** Machines of the zone, this one among them. */
  readonly zoneSize: number;
}

/** Keeps the order of one node's zone as machines come and go. */
export class ReaderOrder {
  private readonly hashes = new Map<string, number>();
  private readonly ownHash: number;

  constructor(private readonly self: ReaderCandidate) {
    this.ownHash = hashFraction(self.address);
  }

  /** The place of this node among `machines`, whether it is one of them or not. */
  placeAmong(machines: Iterable<ReaderCandidate>): ReaderPlace {
    const zones = new Set([this.self.zone]);
    const neighbours = new Set<string>();
    for (const { address, zone } of machines) {
      zones.add(zone);
      if (zone === this.self.zone && address !== this.self.address) {
        neighbours.add(address);
      }
    }
    this.forgetExcept(neighbours);
    return {
      ahead: this.inOrder([...neighbours]),
      neighbours,
      readers: Math.max(MIN_ZONE_READERS, Math.ceil(FLEET_READERS / zones.size)),
      zoneSize: neighbours.size + 1,
    };
  }

  private inOrder(neighbours: readonly string[]): string[] {
    return neighbours
      .filter((address) => this.standsBefore(address))
      .sort((left, right) => this.hashOf(left) - this.hashOf(right) || compareTexts(left, right));
  }

  private standsBefore(address: string): boolean {
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

  private forgetExcept(addresses: ReadonlySet<string>): void {
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

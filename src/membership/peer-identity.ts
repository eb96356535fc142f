/** Who a node is to its peers. */

/** Identity that a peer proves when a link is set up; see {@link ../wire/} for the handshake. */
export interface PeerIdentity {
  /** Machine identity; unique among machines, kept by a process that restarts on the machine. */
  readonly id: string;
  /** Rises with each start of the process on this machine: start time in milliseconds since 1970. */
  readonly incarnation: number;
  readonly address: string;
  /** Port of the peer protocol. */
  readonly controlPort: number;
  /** Port for requests relayed by other nodes. */
  readonly relayPort: number;
  readonly zone: string;
  readonly region: string;
}

/** An address at which some peer listens, before its identity is known. */
export interface PeerAddress {
  readonly address: string;
  readonly controlPort: number;
}

/** Network distance of a neighbour: same zone, same region, or further. */
export type Distance = 'zone' | 'region' | 'remote';

/** How far `peer` is from `self`. */
export function distanceBetween(self: PeerIdentity, peer: PeerIdentity): Distance {
  if (self.region !== peer.region) {
    return 'remote';
  }
  return self.zone === peer.zone ? 'zone' : 'region';
}

/** Identity and address of a node, as peers know it. */

/** Identity that a peer proves during the handshake of a link; see {@link ../wire/}. */
export interface PeerIdentity {
  /** Machine id; unique among machines and unchanged when the process restarts on the machine. */
  readonly id: string;
  /** Increases with each start of the process on this machine: start time in ms since the epoch. */
  readonly incarnation: number;
  readonly address: string;
  /** Port of the peer protocol. */
  readonly controlPort: number;
  /** Port for requests relayed by other nodes. */
  readonly relayPort: number;
  readonly zone: string;
  readonly region: string;
}

/** Address of a peer whose identity may not be known yet. */
export interface PeerAddress {
  readonly address: string;
  readonly controlPort: number;
}

/** Network distance of a peer: same zone, same region, or another region. */
export type Distance = 'zone' | 'region' | 'remote';

export function distanceBetween(self: PeerIdentity, peer: PeerIdentity): Distance {
  if (self.region !== peer.region) {
    return 'remote';
  }
  return self.zone === peer.zone ? 'zone' : 'region';
}

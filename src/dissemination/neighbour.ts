/** What a node knows of the documents of one overlay neighbour. */
import { distanceBetween, type Distance, type PeerIdentity } from '../membership/peer-identity.js';
import type { HeldVersions } from '../wire/message.js';

/** One overlay neighbour. */
export interface Neighbour {
  readonly peer: PeerIdentity;
  readonly distance: Distance;
  /** What it is known, or about to, hold; undefined until it has said so. */
  knownVersions: HeldVersions | undefined;
  /** Heartbeats in a row whose digest differed from this node's. */
  differingHeartbeats: number;
  /** Earliest time of the next announcement that is not caused by a change, in milliseconds. */
  nextAnnouncementAt: number;
  /** Digest of this node's versions when it last announced them here. */
  announcedDigest: string;
}

/** A neighbour of which nothing is known yet. */
export function newNeighbour(self: PeerIdentity, peer: PeerIdentity): Neighbour {
  return {
    peer,
    distance: distanceBetween(self, peer),
    knownVersions: undefined,
    differingHeartbeats: 0,
    nextAnnouncementAt: 0,
    announcedDigest: '',
  };
}

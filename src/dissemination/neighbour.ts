/** Dissemination state of one overlay neighbour. */
import { distanceBetween, type Distance, type PeerIdentity } from '../membership/peer-identity.js';
import type { HeldVersions } from '../wire/message.js';

export interface Neighbour {
  readonly peer: PeerIdentity;
  readonly distance: Distance;
  /**
   * Versions that it holds or that were sent to it; undefined until it has announced its versions.
   */
  held: HeldVersions | undefined;
  /** Consecutive heartbeats whose digest differed from this node's. */
  differingHeartbeats: number;
  /** Earliest time of the next announcement that is not caused by a change, in milliseconds. */
  nextAnnouncementAt: number;
  /** Digest of this node's versions when they were last announced to the neighbour. */
  announcedDigest: string;
}

export function newNeighbour(self: PeerIdentity, peer: PeerIdentity): Neighbour {
  return {
    peer,
    distance: distanceBetween(self, peer),
    held: undefined,
    differingHeartbeats: 0,
    nextAnnouncementAt: 0,
    announcedDigest: '',
  };
}

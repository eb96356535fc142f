/** The links of a node to its peers, and what each is used for. */
import type { LinkScope } from './dial-candidates.js';
import type { PeerIdentity } from './peer-identity.js';

/**
 * - `outbound`: dialled for the overlay; confirmed by the peer's first heartbeat.
 * - `inbound`: the peer dialled it for the overlay, as its first heartbeat showed.
 * - `transient`: anything else, such as a probe or a lease request; closed when idle.
 */
export type LinkRole = 'outbound' | 'inbound' | 'transient';

/** One open link. */
export interface PeerLink {
  readonly peer: PeerIdentity;
  role: LinkRole;
  /** What an outbound link is for. */
  scope: LinkScope;
  /** Whether the peer is an overlay neighbour: it sent a heartbeat and was accepted. */
  isConfirmed: boolean;
  /** When the last message arrived, in milliseconds. */
  lastReceivedAt: number;
  /** When the link was last used for anything but the overlay, in milliseconds. */
  lastUsedAt: number;
  /** Neighbour that this link is to replace, once it is confirmed. */
  replaces: string | undefined;
}

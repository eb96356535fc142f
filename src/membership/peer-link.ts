/** Links of a node to its peers, and their roles. */
import type { LinkScope } from './dial-candidates.js';
import type { PeerIdentity } from './peer-identity.js';

/**
 * - `outbound`: dialled for the overlay; confirmed by the peer's first heartbeat.
 * - `inbound`: dialled by the peer for the overlay; recognized by the peer's first heartbeat.
 * - `transient`: anything else, such as a probe or a lease request; closed when idle.
 */
export type LinkRole = 'outbound' | 'inbound' | 'transient';

/** One open link. */
export interface PeerLink {
  readonly peer: PeerIdentity;
  role: LinkRole;
  /** Scope for which an outbound link was dialled. */
  scope: LinkScope;
  /** Whether the peer is an overlay neighbour: it sent a heartbeat and was accepted. */
  isConfirmed: boolean;
  /** Time of the last received message, in milliseconds. */
  lastReceivedAt: number;
  /** Time of the last use other than overlay traffic, in milliseconds. */
  lastUsedAt: number;
  /** Neighbour whose link is closed once this link is confirmed. */
  replaces: string | undefined;
}

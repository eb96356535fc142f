/**
 * Chooses which of two links between the same pair of nodes is kept. Both ends make the same choice from
 * shared knowledge, in whatever order each of them sees the two links open.
 */
import type { LinkRole } from './handshake-proof.js';

/** Attributes of a link that determine the choice. */
export interface LinkAttributes {
  readonly peerIncarnation: number;
  /** This node's side of the link. */
  readonly role: LinkRole;
}

/** Decision on the candidate: `replace` closes the held link, the others are the reason for a refusal. */
export type LinkChoice = 'replace' | 'duplicate' | 'stale-incarnation';

/**
 * The peer's newer incarnation is preferred. Within one incarnation, a second link from the same dialer
 * replaces the held one, since a dialer that still had that link would not dial. Of two links dialled in
 * opposite directions, the one from the node with the lower identity is kept.
 */
export function chooseLink(
  held: LinkAttributes,
  candidate: LinkAttributes,
  ownId: string,
  peerId: string,
): LinkChoice {
  if (candidate.peerIncarnation !== held.peerIncarnation) {
    return candidate.peerIncarnation > held.peerIncarnation ? 'replace' : 'stale-incarnation';
  }
  if (candidate.role === held.role) {
    return 'replace';
  }
  const dialerId = candidate.role === 'dialer' ? ownId : peerId;
  const acceptorId = candidate.role === 'dialer' ? peerId : ownId;
  return dialerId < acceptorId ? 'replace' : 'duplicate';
}

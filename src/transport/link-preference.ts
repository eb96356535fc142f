/**
 * Which of two links between the same pair of nodes is kept. Both ends come to the same choice from
 * what both know, in whatever order each of them sees the two links open.
 */
import type { LinkRole } from './handshake-proof.js';

/** What the choice depends on. */
export interface LinkFacts {
  readonly peerIncarnation: number;
  /** This node's side of the link. */
  readonly role: LinkRole;
}

/** What becomes of the candidate; `replace` closes the held link. */
export type LinkChoice = 'replace' | 'duplicate' | 'stale-incarnation';

/**
 * The peer's newer incarnation wins. Within one incarnation a link dialled the same way again
 * replaces the held one, since a dialer that still had it would not dial; of two links dialled
 * towards each other the one from the lower identity stays.
 */
export function chooseLink(
  held: LinkFacts,
  candidate: LinkFacts,
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

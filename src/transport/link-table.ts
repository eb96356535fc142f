/** Open links, at most one per peer. */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { WireRefusalReason } from './handshake-error.js';
import { chooseLink } from './link-preference.js';
import type { PeerLink } from './peer-link.js';

/** The links that carry messages, by the peer's identity. */
export class LinkTable {
  private readonly links = new Map<string, PeerLink>();

  /** `maxInboundLinks` limits the accepted links. */
  constructor(private readonly maxInboundLinks: number) {}

  get(peerId: string): PeerLink | undefined {
    return this.links.get(peerId);
  }

  set(peerId: string, link: PeerLink): void {
    this.links.set(peerId, link);
  }

  /** Removes `link`; false if the peer has another link or none. */
  remove(peerId: string, link: PeerLink): boolean {
    return this.links.get(peerId) === link && this.links.delete(peerId);
  }

  all(): PeerLink[] {
    return [...this.links.values()];
  }

  /** Returns the reason to refuse a link to the authenticated `peer`, or undefined if it is accepted. */
  refusalOf(link: PeerLink, peer: PeerIdentity, ownId: string): WireRefusalReason | undefined {
    const held = this.links.get(peer.id);
    if (held?.peer === undefined || !held.isUsable) {
      return this.hasCapacityFor(link) ? undefined : 'too-many-links';
    }
    const choice = chooseLink(
      { peerIncarnation: held.peer.incarnation, role: held.role },
      { peerIncarnation: peer.incarnation, role: link.role },
      ownId,
      peer.id,
    );
    return choice === 'replace' ? undefined : choice;
  }

  private hasCapacityFor(link: PeerLink): boolean {
    const inbound = this.all().filter((other) => other.role === 'acceptor').length;
    return link.role === 'dialer' || inbound < this.maxInboundLinks;
  }
}

/** Open links, at most one to each peer. */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { ToldRefusalReason } from './handshake-error.js';
import { chooseLink } from './link-preference.js';
import type { PeerLink } from './peer-link.js';

/** The links that messages travel on, by the peer's identity. */
export class LinkTable {
  private readonly links = new Map<string, PeerLink>();

  /** `maxInboundLinks` bounds the accepted links. */
  constructor(private readonly maxInboundLinks: number) {}

  get(peerId: string): PeerLink | undefined {
    return this.links.get(peerId);
  }

  set(peerId: string, link: PeerLink): void {
    this.links.set(peerId, link);
  }

  /** Takes out `link`; false when the peer has another link, or none. */
  remove(peerId: string, link: PeerLink): boolean {
    return this.links.get(peerId) === link && this.links.delete(peerId);
  }

  all(): PeerLink[] {
    return [...this.links.values()];
  }

  /** Why a link to `peer`, which proved itself, is not wanted; undefined when it is. */
  refusalOf(link: PeerLink, peer: PeerIdentity, ownId: string): ToldRefusalReason | undefined {
    const held = this.links.get(peer.id);
    if (held?.peer === undefined || !held.isUsable) {
      return this.hasRoomFor(link) ? undefined : 'too-many-links';
    }
    const choice = chooseLink(
      { peerIncarnation: held.peer.incarnation, role: held.role },
      { peerIncarnation: peer.incarnation, role: link.role },
      ownId,
      peer.id,
    );
    return choice === 'replace' ? undefined : choice;
  }

  private hasRoomFor(link: PeerLink): boolean {
    const inbound = this.all().filter((one) => one.role === 'acceptor').length;
    return link.role === 'dialer' || inbound < this.maxInboundLinks;
  }
}

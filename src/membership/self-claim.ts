/** What a node claims of itself: it refutes what others wrongly claim. */
import type { MemberUpdate } from '../wire/message.js';
import type { PeerIdentity } from './peer-identity.js';

/** The node's own claim. */
export class SelfClaim {
  private incarnation: number;
  private isLeaving = false;

  constructor(private readonly identity: PeerIdentity) {
    this.incarnation = identity.incarnation;
  }

  /** Whether the node stays or leaves. */
  get status(): 'alive' | 'leaving' {
    return this.isLeaving ? 'leaving' : 'alive';
  }

  /** The claim as it stands. */
  current(): MemberUpdate {
    return { member: { ...this.identity, incarnation: this.incarnation }, status: this.status };
  }

  /** A planned stop; returns the claim to flood. */
  leave(): MemberUpdate {
    this.isLeaving = true;
    return this.current();
  }

  /**
   * Answers a claim about this node. A wrong one under the current incarnation, or a later one, is
   * outranked by raising the incarnation by one; one about an earlier incarnation by the claim as it
   * stands. Returns the claim to flood, or undefined when `update` is right or does no harm.
   */
  refute(update: MemberUpdate): MemberUpdate | undefined {
    const claimed = update.member.incarnation;
    if (update.status === 'alive') {
      this.incarnation = Math.max(this.incarnation, claimed);
      return undefined;
    }
    if (this.isLeaving) {
      return undefined;
    }
    if (claimed >= this.incarnation) {
      this.incarnation = claimed + 1;
    }
    return this.current();
  }
}

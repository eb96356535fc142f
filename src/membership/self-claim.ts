/** Claim of a node about itself, and refutation of wrong claims by others. */
import type { MemberUpdate } from '../wire/message.js';
import type { PeerIdentity } from './peer-identity.js';

/** Current claim of the node about itself. */
export class SelfClaim {
  private incarnation: number;
  private isLeaving = false;

  constructor(private readonly identity: PeerIdentity) {
    this.incarnation = identity.incarnation;
  }

  get status(): 'alive' | 'leaving' {
    return this.isLeaving ? 'leaving' : 'alive';
  }

  current(): MemberUpdate {
    return { member: { ...this.identity, incarnation: this.incarnation }, status: this.status };
  }

  /** Marks the node as leaving, for a planned stop; returns the claim to flood. */
  leave(): MemberUpdate {
    this.isLeaving = true;
    return this.current();
  }

  /**
   * Handles a claim about this node. A wrong claim about the current or a later incarnation is
   * refuted by an incarnation that is one higher than the claimed one. A wrong claim about an
   * earlier incarnation is refuted by the current claim. Returns the claim to flood, or undefined
   * if `update` needs no refutation.
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

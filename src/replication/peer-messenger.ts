/** Sends replication messages to processes over their links, and collects the resulting effects. */
import type { ControlEffect } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { ReplicationMessage } from './replication-message.js';
import type { Voter } from './voter-configuration.js';

/** Open links of this node, and the effects of the event that is being handled. */
export class PeerMessenger {
  /** Peer processes with an open link, keyed by machine. */
  readonly links = new Map<string, PeerIdentity>();
  private effects: ControlEffect[] = [];

  constructor(private readonly selfId: string) {}

  /**
   * Sends to exactly this process, identified by its incarnation. If there is no link to its
   * machine, opens one and drops the message.
   */
  send(
    to: Pick<Voter, 'id' | 'incarnation' | 'address' | 'controlPort'>,
    body: ReplicationMessage,
  ): void {
    if (to.id === this.selfId) {
      return;
    }
    const link = this.links.get(to.id);
    if (link === undefined) {
      this.dial(to);
    } else if (link.incarnation === to.incarnation) {
      this.effects.push({ type: 'send', to: to.id, message: { type: 'replication', body } });
    }
  }

  dial(target: PeerAddress): void {
    const { address, controlPort } = target;
    this.effects.push({ type: 'dial', target: { address, controlPort } });
  }

  report(what: string, detail: string): void {
    this.effects.push({ type: 'state-change', what, detail });
  }

  /** Returns and clears the effects collected since the last call. */
  takeEffects(): ControlEffect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }

  addEffects(effects: readonly ControlEffect[]): void {
    this.effects.push(...effects);
  }
}

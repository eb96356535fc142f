/** Sends messages of the replication to processes over their links, and collects what is to be done. */
import type { ControlEffect } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { ReplicationMessage } from './replication-message.js';
import type { Voter } from './voter-configuration.js';

/** The links of this node, and the effects of the event that is being handled. */
export class PeerMessenger {
  /** Open links by machine. */
  readonly links = new Map<string, PeerIdentity>();
  private effects: ControlEffect[] = [];

  constructor(private readonly selfId: string) {}

  /** Sends to exactly this process; opens a link instead where there is none. */
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

  /** Opens a link. */
  dial(target: PeerAddress): void {
    const { address, controlPort } = target;
    this.effects.push({ type: 'dial', target: { address, controlPort } });
  }

  /** Reports a change of state. */
  report(what: string, detail: string): void {
    this.effects.push({ type: 'state-change', what, detail });
  }

  /** The effects since the last call. */
  takeEffects(): ControlEffect[] {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }

  /** Adds to what is to be done. */
  addEffects(effects: readonly ControlEffect[]): void {
    this.effects.push(...effects);
  }
}

/**
 * Links of one component to specific peers: sends on an open link, or dials if there is none. The
 * membership closes the dialled links when they are idle.
 */
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { PeerMessage } from '../wire/message.js';
import type { ControlEffect } from './control-event.js';

/** Maximum number of messages queued for one link; the oldest are dropped. */
const MAX_WAITING_MESSAGES = 1_024;

/** Peer to which messages are sent. */
export interface LinkTarget extends PeerAddress {
  /** Machine id; undefined if only the address is known. */
  readonly id: string | undefined;
}

/** How a message is queued until a link opens. */
export interface LinkWait {
  /** A newer message with the same key replaces the queued one. */
  readonly key: string;
  /** Time from which the message is dropped, in milliseconds. */
  readonly untilMs: number;
}

interface WaitingMessage {
  readonly message: PeerMessage;
  readonly untilMs: number;
}

/** Tracks open links by the peer events of the control plane and queues messages for others. */
export class TargetLinks {
  private readonly peers = new Map<string, PeerIdentity>();
  /** Queued messages, by address and then by key. */
  private readonly waiting = new Map<string, Map<string, WaitingMessage>>();

  /** Sends on an open link; else dials and queues the message, or drops it if `wait` is absent. */
  send(target: LinkTarget, message: PeerMessage, wait?: LinkWait): ControlEffect[] {
    const peer = this.find(target);
    if (peer !== undefined) {
      return [{ type: 'send', to: peer.id, message }];
    }
    if (wait === undefined) {
      return [];
    }
    const address = addressKey(target);
    const isDialling = this.waiting.has(address);
    const messages = this.waiting.get(address) ?? new Map<string, WaitingMessage>();
    this.waiting.set(address, messages.set(wait.key, { message, untilMs: wait.untilMs }));
    const [oldest] = messages.keys();
    if (messages.size > MAX_WAITING_MESSAGES && oldest !== undefined) {
      messages.delete(oldest);
    }
    const dialled = { address: target.address, controlPort: target.controlPort };
    return isDialling ? [] : [{ type: 'dial', target: dialled }];
  }

  /** Records an opened link and sends the messages queued for it. */
  peerUp(peer: PeerIdentity, nowMs: number): ControlEffect[] {
    this.peers.set(peer.id, peer);
    const messages = [...(this.waiting.get(addressKey(peer))?.values() ?? [])];
    this.waiting.delete(addressKey(peer));
    return messages
      .filter((waiting) => nowMs < waiting.untilMs)
      .map(({ message }) => ({ type: 'send', to: peer.id, message }));
  }

  /** Removes a closed link, unless a newer process of the same machine has replaced it. */
  peerDown(peer: PeerIdentity): void {
    if (this.peers.get(peer.id)?.incarnation === peer.incarnation) {
      this.peers.delete(peer.id);
    }
  }

  /** Drops the messages queued for a target that could not be dialled. */
  dialFailed(target: PeerAddress): void {
    this.waiting.delete(addressKey(target));
  }

  /**
   * Forgets the link to a target that did not answer, because the link may be dead without having
   * been closed; the next message dials again.
   */
  unanswered(target: LinkTarget): void {
    const peer = this.find(target);
    if (peer !== undefined) {
      this.peers.delete(peer.id);
    }
    this.waiting.delete(addressKey(target));
  }

  private find(target: LinkTarget): PeerIdentity | undefined {
    if (target.id !== undefined) {
      return this.peers.get(target.id);
    }
    for (const peer of this.peers.values()) {
      if (isTarget(target, peer)) {
        return peer;
      }
    }
    return undefined;
  }
}

/** Whether `peer` is the target: by machine identity where it is known, else by address. */
export function isTarget(target: LinkTarget, peer: PeerIdentity): boolean {
  if (target.id !== undefined) {
    return target.id === peer.id;
  }
  return target.address === peer.address && target.controlPort === peer.controlPort;
}

/** Address and port as a map key. */
export function addressKey(address: PeerAddress): string {
  return `${address.address}:${address.controlPort}`;
}

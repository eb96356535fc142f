/**
 * Links of one component to chosen peers: sends on the link that is open, dials where there is none.
 * Links that were dialled for this are closed by the membership when they have been idle.
 */
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { PeerMessage } from '../wire/message.js';
import type { ControlEffect } from './control-event.js';

/** Messages that wait for one link at most; the oldest are dropped. */
const MAX_WAITING_MESSAGES = 1_024;

/** A peer to send to. */
export interface LinkTarget extends PeerAddress {
  /** Identity of the machine; undefined where only the address is known. */
  readonly id: string | undefined;
}

/** How a message waits for a link that is not open. */
export interface LinkWait {
  /** A newer message with the same key replaces the one that waits. */
  readonly key: string;
  /** The message is of no use from then on. */
  readonly untilMs: number;
}

interface WaitingMessage {
  readonly message: PeerMessage;
  readonly untilMs: number;
}

/** Knows the open links by what the control plane tells of peers. */
export class TargetLinks {
  private readonly peers = new Map<string, PeerIdentity>();
  /** By address, then by key. */
  private readonly waiting = new Map<string, Map<string, WaitingMessage>>();

  /** Sends on an open link; else dials and keeps the message, or drops it where `wait` is absent. */
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

  /** A link is open: sends what waits for it. */
  peerUp(peer: PeerIdentity, nowMs: number): ControlEffect[] {
    this.peers.set(peer.id, peer);
    const messages = [...(this.waiting.get(addressKey(peer))?.values() ?? [])];
    this.waiting.delete(addressKey(peer));
    return messages
      .filter((waiting) => nowMs < waiting.untilMs)
      .map(({ message }) => ({ type: 'send', to: peer.id, message }));
  }

  /** A link closed; one to a later process of the same machine stays. */
  peerDown(peer: PeerIdentity): void {
    if (this.peers.get(peer.id)?.incarnation === peer.incarnation) {
      this.peers.delete(peer.id);
    }
  }

  /** Nothing listens there: what waits is dropped. */
  dialFailed(target: PeerAddress): void {
    this.waiting.delete(addressKey(target));
  }

  /** The target did not answer: its link may be gone without a word, so the next use dials. */
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

/** Text that names an address and port. */
export function addressKey(address: PeerAddress): string {
  return `${address.address}:${address.controlPort}`;
}

/**
 * Links to electors: sends on the link that is open, dials where there is none. Links that were
 * dialled for this are closed by the membership when they have been idle; see `peer-link.ts`.
 */
import type { ControlEffect } from '../control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { LeaseReleaseMessage, LeaseRequestMessage } from '../wire/message.js';
import { addressKey, isTarget, type ElectorTarget } from './electorate.js';

/** What is sent to electors. */
export type ElectorMessage = LeaseRequestMessage | LeaseReleaseMessage;

/** A request that waits for its link. */
interface WaitingRequest {
  readonly message: LeaseRequestMessage;
  /** The request is of no use from then on. */
  readonly untilMs: number;
}

/** Knows the open links by what the control plane tells of peers. */
export class ElectorLinks {
  private readonly peers = new Map<string, PeerIdentity>();
  /** By address; the newest request of a slot replaces the one before. */
  private readonly waiting = new Map<string, Map<string, WaitingRequest>>();

  /** Sends on an open link; else dials and keeps a request until `untilMs`. */
  send(target: ElectorTarget, message: ElectorMessage, untilMs: number): ControlEffect[] {
    const peer = this.find(target);
    if (peer !== undefined) {
      return [{ type: 'send', to: peer.id, message }];
    }
    if (message.type === 'lease-release') {
      return [];
    }
    const key = addressKey(target);
    const isDialling = this.waiting.has(key);
    const requests = this.waiting.get(key) ?? new Map<string, WaitingRequest>();
    this.waiting.set(key, requests.set(message.slot, { message, untilMs }));
    const { address, controlPort } = target;
    return isDialling ? [] : [{ type: 'dial', target: { address, controlPort } }];
  }

  /** A link is open: sends what waits for it. */
  peerUp(peer: PeerIdentity, nowMs: number): ControlEffect[] {
    this.peers.set(peer.id, peer);
    const requests = [...(this.waiting.get(addressKey(peer))?.values() ?? [])];
    this.waiting.delete(addressKey(peer));
    return requests
      .filter((request) => nowMs < request.untilMs)
      .map(({ message }) => ({ type: 'send', to: peer.id, message }));
  }

  peerDown(peer: PeerIdentity): void {
    this.peers.delete(peer.id);
  }

  /** Nothing listens there: what waits is dropped. */
  dialFailed(target: PeerAddress): void {
    this.waiting.delete(addressKey(target));
  }

  /** The target did not answer: its link may be gone without a word, so the next use dials. */
  unanswered(target: ElectorTarget): void {
    const peer = this.find(target);
    if (peer !== undefined) {
      this.peers.delete(peer.id);
    }
    this.waiting.delete(addressKey(target));
  }

  private find(target: ElectorTarget): PeerIdentity | undefined {
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

/** Dials that are under way, one for each address, and whether a `peer-up` has answered them. */
import { isIP } from 'node:net';
import type { PeerAddress } from '../membership/peer-identity.js';

const MAX_PORT = 65_535;

/** Whether this is an IP address with a port. */
export function isDialable(target: PeerAddress): boolean {
  return isIP(target.address) !== 0 && target.controlPort > 0 && target.controlPort <= MAX_PORT;
}

/** Whether both stand for the same listener. */
export function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
  return left.address === right.address && left.controlPort === right.controlPort;
}

/** What is known of dials between their start and their end. */
export class DialTable {
  /** Address and port to whether the dial is answered. */
  private readonly answered = new Map<string, boolean>();

  has(target: PeerAddress): boolean {
    return this.answered.has(keyOf(target));
  }

  add(target: PeerAddress): void {
    this.answered.set(keyOf(target), false);
  }

  /** A peer at this address came up, by whatever link. */
  answer(address: PeerAddress | undefined): void {
    if (address !== undefined && this.has(address)) {
      this.answered.set(keyOf(address), true);
    }
  }

  /** Ends a dial; `failed` when nothing has answered it, undefined when it is not under way. */
  conclude(target: PeerAddress): 'answered' | 'failed' | undefined {
    const answered = this.answered.get(keyOf(target));
    this.answered.delete(keyOf(target));
    if (answered === undefined) {
      return undefined;
    }
    return answered ? 'answered' : 'failed';
  }
}

function keyOf(target: PeerAddress): string {
  return `${target.address} ${target.controlPort}`;
}

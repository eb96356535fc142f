/** Pending dials, one per address, and whether a `peer-up` has answered them. */
import { isIP } from 'node:net';
import type { PeerAddress } from '../membership/peer-identity.js';

const MAX_PORT = 65_535;

/** Whether the target is an IP address with a valid port. */
export function isDialable(target: PeerAddress): boolean {
  return isIP(target.address) !== 0 && target.controlPort > 0 && target.controlPort <= MAX_PORT;
}

/** Whether both addresses refer to the same listener. */
export function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
  return left.address === right.address && left.controlPort === right.controlPort;
}

/** Tracks dials between their start and their end. */
export class DialTable {
  /** Whether the dial has been answered, by address and port. */
  private readonly answered = new Map<string, boolean>();

  has(target: PeerAddress): boolean {
    return this.answered.has(keyOf(target));
  }

  add(target: PeerAddress): void {
    this.answered.set(keyOf(target), false);
  }

  /** Marks a pending dial as answered, whichever link brought the peer at this address up. */
  markAnswered(address: PeerAddress | undefined): void {
    if (address !== undefined && this.has(address)) {
      this.answered.set(keyOf(address), true);
    }
  }

  /** Ends a dial. Returns `failed` if it was not answered, undefined if it was not pending. */
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

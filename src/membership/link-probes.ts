/** Dials to neighbours whose link closed, to tell a closed link from a dead peer. */
import { addressKey } from './dial-candidates.js';
import type { PeerAddress, PeerIdentity } from './peer-identity.js';

/** Time after which an unanswered probe counts as failed, in milliseconds. */
export const PROBE_TIMEOUT_MS = 2_000;

interface Probe {
  readonly peer: PeerIdentity;
  expiresAt: number;
}

/** Probes under way, by machine. */
export class LinkProbes {
  private readonly probes = new Map<string, Probe>();

  /** Whether the machine is being probed. */
  has(peerId: string): boolean {
    return this.probes.has(peerId);
  }

  /** A dial to the peer was asked for. */
  begin(peer: PeerIdentity, nowMs: number): void {
    this.probes.delete(peer.id);
    this.probes.set(peer.id, { peer, expiresAt: nowMs + PROBE_TIMEOUT_MS });
  }

  /** A link to the peer opened; returns whether it was being probed. */
  succeeded(peer: PeerIdentity): boolean {
    return this.probes.delete(peer.id);
  }

  /** A dial failed; returns the peer that was probed by it. */
  failed(target: PeerAddress): PeerIdentity | undefined {
    const key = addressKey(target);
    for (const { peer } of this.probes.values()) {
      if (addressKey(peer) === key) {
        this.probes.delete(peer.id);
        return peer;
      }
    }
    return undefined;
  }

  /** Time at which the oldest probe expires, in milliseconds. */
  nextExpiryAt(): number {
    for (const { expiresAt } of this.probes.values()) {
      return expiresAt;
    }
    return Infinity;
  }

  /** Removes and returns the peers whose probe went unanswered. */
  takeExpired(nowMs: number): PeerIdentity[] {
    const expired = [...this.probes.values()].filter((probe) => probe.expiresAt <= nowMs);
    for (const { peer } of expired) {
      this.probes.delete(peer.id);
    }
    return expired.map((probe) => probe.peer);
  }

  /** The node was paused: probes get their whole time again. */
  restartTimeouts(nowMs: number): void {
    for (const probe of this.probes.values()) {
      probe.expiresAt = nowMs + PROBE_TIMEOUT_MS;
    }
  }
}

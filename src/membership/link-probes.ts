/** Probe dials to neighbours whose link closed, to distinguish a closed link from a dead peer. */
import { addressKey } from './dial-candidates.js';
import type { PeerAddress, PeerIdentity } from './peer-identity.js';

/** Time after which an unanswered probe counts as failed, in milliseconds. */
export const PROBE_TIMEOUT_MS = 2_000;

interface Probe {
  readonly peer: PeerIdentity;
  expiresAt: number;
}

/** Probes in progress, by machine. */
export class LinkProbes {
  private readonly probes = new Map<string, Probe>();

  has(peerId: string): boolean {
    return this.probes.has(peerId);
  }

  /** Starts or restarts the timeout of a probe whose dial was requested. */
  begin(peer: PeerIdentity, nowMs: number): void {
    this.probes.delete(peer.id);
    this.probes.set(peer.id, { peer, expiresAt: nowMs + PROBE_TIMEOUT_MS });
  }

  /** Ends the probe of a peer to which a link opened; returns whether there was one. */
  succeeded(peer: PeerIdentity): boolean {
    return this.probes.delete(peer.id);
  }

  /** Ends the probe that used a failed dial; returns its peer, if any. */
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

  /** Expiry time of the oldest probe, in milliseconds. */
  nextExpiryAt(): number {
    for (const { expiresAt } of this.probes.values()) {
      return expiresAt;
    }
    return Infinity;
  }

  /** Removes the probes that timed out and returns their peers. */
  takeExpired(nowMs: number): PeerIdentity[] {
    const expired = [...this.probes.values()].filter((probe) => probe.expiresAt <= nowMs);
    for (const { peer } of expired) {
      this.probes.delete(peer.id);
    }
    return expired.map((probe) => probe.peer);
  }

  /** Restarts the timeout of every probe after a pause of this process. */
  restartTimeouts(nowMs: number): void {
    for (const probe of this.probes.values()) {
      probe.expiresAt = nowMs + PROBE_TIMEOUT_MS;
    }
  }
}

/**
 * The granting side of reader leases. A grant binds the elector for the lease duration, starting when it
 * answers; during that time it grants the slot to no other node. Grants are held in memory only, so a restarted
 * elector must wait until its earlier grants have expired (see `guardedUntilMs`).
 */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type {
  LeaseAnswerMessage,
  LeaseReleaseMessage,
  LeaseRequestMessage,
} from '../wire/message.js';
import { ROUND_TIMEOUT_MS } from './lease-terms.js';

/** A grant, in force until `expiresAtMs`. */
interface Grant {
  readonly holderId: string;
  readonly holderIncarnation: number;
  /** Start of the holder's uninterrupted sequence of grants. */
  readonly heldSinceMs: number;
  /** Highest round granted. */
  readonly round: number;
  readonly expiresAtMs: number;
  /** Rounds up to this one have been released; late requests from them are refused. */
  readonly releasedRound: number;
}

/** Grants leases on slots, each to one holder at a time. */
export class Elector {
  private readonly grants = new Map<string, Grant>();

  /** `durationMs` is the longest lease duration that is granted. */
  constructor(private readonly durationMs: number) {}

  /**
   * Grants or refuses a request. Before `guardedUntilMs`, only the holder of a grant in force may renew it;
   * Infinity means that this node is not an elector of the slot.
   */
  request(
    from: PeerIdentity,
    request: LeaseRequestMessage,
    guardedUntilMs: number,
    nowMs: number,
  ): LeaseAnswerMessage {
    const grant = this.grants.get(request.slot);
    const retryAfterMs = this.retryDelayMs(from, request, grant, guardedUntilMs, nowMs);
    if (retryAfterMs !== undefined) {
      return answer(request, false, Math.min(Math.ceil(retryAfterMs), 2 * this.durationMs));
    }
    this.grants.set(request.slot, grantFor(grant, from, request, nowMs));
    return answer(request, true, 0);
  }

  /** Frees the slot if `release` covers every grant that this elector has given its sender. */
  release(from: PeerIdentity, release: LeaseReleaseMessage, nowMs: number): void {
    const grant = this.grants.get(release.slot);
    if (grant === undefined || !isHeldBy(grant, from) || !coversGrant(release, grant)) {
      return;
    }
    this.grants.set(release.slot, {
      ...grant,
      expiresAtMs: Math.min(grant.expiresAtMs, nowMs),
      releasedRound: release.round,
    });
  }

  /** Extends all grants by `byMs`, after the clock was set forward by that amount. */
  postpone(byMs: number): void {
    for (const [slot, grant] of this.grants) {
      const { heldSinceMs, expiresAtMs } = grant;
      const postponed = { heldSinceMs: heldSinceMs + byMs, expiresAtMs: expiresAtMs + byMs };
      this.grants.set(slot, { ...grant, ...postponed });
    }
  }

  /** Expiry of this elector's grant of the slot; a time in the past if none is in force. */
  grantedUntilMs(slot: string): number {
    return this.grants.get(slot)?.expiresAtMs ?? -Infinity;
  }

  /** Whether a grant of the slot is in force and has been renewed, which shows that its holder won a majority. */
  isEstablished(slot: string, nowMs: number): boolean {
    const grant = this.grants.get(slot);
    return grant !== undefined && nowMs < grant.expiresAtMs && wasRenewed(grant, nowMs);
  }

  /** Time after which a refused request may be retried; undefined if the request is granted. */
  private retryDelayMs(
    from: PeerIdentity,
    request: LeaseRequestMessage,
    grant: Grant | undefined,
    guardedUntilMs: number,
    nowMs: number,
  ): number | undefined {
    if (request.durationMs > this.durationMs || guardedUntilMs === Infinity) {
      return ROUND_TIMEOUT_MS;
    }
    const isOwnGrant = grant !== undefined && isHeldBy(grant, from);
    if (isOwnGrant && request.round <= grant.releasedRound) {
      return ROUND_TIMEOUT_MS;
    }
    const isInForce = grant !== undefined && nowMs < grant.expiresAtMs;
    if (isInForce && !isOwnGrant) {
      // A grant that was never renewed may belong to a round that fails and is released soon.
      return wasRenewed(grant, nowMs) ? grant.expiresAtMs - nowMs : ROUND_TIMEOUT_MS;
    }
    return nowMs < guardedUntilMs && !isInForce ? guardedUntilMs - nowMs : undefined;
  }
}

/** Whether a release covers the latest grant to its sender; a delayed release does not. */
function coversGrant(release: LeaseReleaseMessage, grant: Grant): boolean {
  return release.round >= grant.round;
}

function isHeldBy(grant: Grant, peer: PeerIdentity): boolean {
  return grant.holderId === peer.id && grant.holderIncarnation === peer.incarnation;
}

function wasRenewed(grant: Grant, nowMs: number): boolean {
  return nowMs - grant.heldSinceMs > 2 * ROUND_TIMEOUT_MS;
}

function grantFor(
  grant: Grant | undefined,
  from: PeerIdentity,
  request: LeaseRequestMessage,
  nowMs: number,
): Grant {
  const expiresAtMs = nowMs + request.durationMs;
  const own = grant !== undefined && isHeldBy(grant, from) ? grant : undefined;
  const isContinuous = own !== undefined && nowMs < own.expiresAtMs;
  return {
    holderId: from.id,
    holderIncarnation: from.incarnation,
    heldSinceMs: isContinuous ? own.heldSinceMs : nowMs,
    round: Math.max(own?.round ?? 0, request.round),
    expiresAtMs: Math.max(isContinuous ? own.expiresAtMs : 0, expiresAtMs),
    releasedRound: own?.releasedRound ?? -1,
  };
}

function answer(
  request: LeaseRequestMessage,
  granted: boolean,
  retryAfterMs: number,
): LeaseAnswerMessage {
  const { slot, round } = request;
  return { type: 'lease-answer', slot, round, granted, retryAfterMs };
}

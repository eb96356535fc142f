/**
 * Divides the rate limit of an endpoint among the nodes that send to it without the node on its machine: the endpoint
 * has no such node, or that node is gone. No node counts the requests of the others. If every node had an equal share
 * of a low limit, each could still send one request at any time, together far more than the limit; therefore only as
 * many nodes send as get a rate of about one request per second each.
 */
import type { Endpoint } from '../model/resource.js';
import { hashFraction } from './hash-fraction.js';

/**
 * Share of the limit that all nodes together use for an endpoint whose own node is gone for them: it may still be
 * running, cut off from some of them, and use the full limit.
 */
const ORPHAN_RATE_SHARE = 0.25;
/** Minimum rate of one sender, in requests per second, unless the limit is lower. */
const MIN_SENDER_RATE_PER_S = 1;
/** Time for which a share is used before it is determined again, in milliseconds. */
const SHARE_LIFETIME_MS = 1_000;
/** Number of cached shares from which all are dropped. */
const MAX_CACHED_SHARES = 1_000;

/** Share of one node, with the limit that it was determined for. */
interface CachedShare {
  readonly maxRatePerS: number;
  readonly share: number;
  readonly untilMs: number;
}

/** The shares of one node. */
export class LimitedSenders {
  private readonly shares = new Map<string, CachedShare>();

  /** `machineIds` returns the machines of all nodes that may send, with or without this node. */
  constructor(
    private readonly machineId: string,
    private readonly machineIds: () => Iterable<string>,
  ) {}

  /** This node's share of the endpoint's limit, from 0 to 1; 0 if it may not send. */
  shareOf(endpoint: Endpoint, maxRatePerS: number, nowMs: number): number {
    if (endpoint.spec.machine === this.machineId) {
      return 1;
    }
    const cached = this.shares.get(endpoint.name);
    if (cached?.maxRatePerS === maxRatePerS && nowMs < cached.untilMs) {
      return cached.share;
    }
    if (this.shares.size >= MAX_CACHED_SHARES) {
      this.shares.clear();
    }
    const share = limitShare(endpoint, maxRatePerS, this.machineId, this.machineIds());
    this.shares.set(endpoint.name, { maxRatePerS, share, untilMs: nowMs + SHARE_LIFETIME_MS });
    return share;
  }
}

/**
 * Share of the limit for the node `machineId`, which is not on the endpoint's machine. All nodes with the same
 * `machineIds` choose the same senders, by rendezvous hashing.
 */
export function limitShare(
  { name, spec }: Endpoint,
  maxRatePerS: number,
  machineId: string,
  machineIds: Iterable<string>,
): number {
  const totalShare = spec.machine === undefined ? 1 : ORPHAN_RATE_SHARE;
  const senderCount = Math.max(1, Math.floor((maxRatePerS * totalShare) / MIN_SENDER_RATE_PER_S));
  const ownHash = hashFraction(`${machineId} ${name}`);
  let otherCount = 0;
  let aheadCount = 0;
  for (const other of machineIds) {
    if (other !== machineId && other !== spec.machine) {
      otherCount += 1;
      aheadCount += Number(hashFraction(`${other} ${name}`) > ownHash);
    }
  }
  const count = Math.min(senderCount, otherCount + 1);
  return aheadCount < count ? totalShare / count : 0;
}

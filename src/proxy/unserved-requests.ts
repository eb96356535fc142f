/**
 * Recognises callers that come back: remembers the requests that ended at this node without an answer from an endpoint.
 * A later request is a repeat of one of them if method and target are the same and its deadline falls on the same moment,
 * since a caller counts its deadline from its first try. The remaining time alone would not tell a repeat from a first
 * try with a short deadline. Pure: time is passed in.
 */

import { DecayingCount } from '../routing/decaying-count.js';

/** One request, as far as it has to match its repeats. */
export interface RequestIdentity {
  /** Name of the route. */
  readonly route: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** When the caller stops waiting, on the node's clock. */
  readonly deadlineAtMs: number;
}

/** A caller's earlier tries. */
export interface EarlierTries {
  readonly count: number;
  /** When the first of them arrived, on the node's clock. */
  readonly firstArrivedAtMs: number;
}

interface UnservedRequest extends EarlierTries {
  readonly deadlineAtMs: number;
}

/** Maximum number of requests that are remembered; beyond it, the oldest is forgotten. */
const MAX_REQUESTS = 2_048;
/** Maximum length of the target of a remembered request; bounds the memory that clients can make the node use. */
const MAX_TARGET_LENGTH = 512;
/** Half-life of the weight of a request in the share of repeats, in milliseconds. */
const SHARE_HALF_LIFE_MS = 5_000;
/** Repeats for each unserved request from which the callers of a route count as coming back. */
const MIN_REPEAT_SHARE = 0.2;
/** Maximum number of routes with known shares; beyond it, the first one is forgotten. */
const MAX_ROUTES = 1_000;
/** Maximum difference of the deadlines of two tries, in milliseconds: a busy node reads its sockets late. */
const DEADLINE_TOLERANCE_MS = 100;

/** Recent requests of one route. */
class RouteCounts {
  readonly unserved = new DecayingCount(SHARE_HALF_LIFE_MS);
  readonly repeats = new DecayingCount(SHARE_HALF_LIFE_MS);
}

export class UnservedRequests {
  /** By route, method and target; the oldest first. */
  private readonly requests = new Map<string, UnservedRequest>();
  /** By the name of the route. */
  private readonly routes = new Map<string, RouteCounts>();

  /** Remembers a request that has ended; `earlier` are the tries before it. */
  remember(
    identity: RequestIdentity,
    arrivedAtMs: number,
    earlier: EarlierTries | undefined,
    nowMs: number,
  ): void {
    if (identity.deadlineAtMs <= nowMs || identity.target.length > MAX_TARGET_LENGTH) {
      return;
    }
    const key = keyOf(identity);
    this.requests.delete(key);
    this.requests.set(key, {
      count: (earlier?.count ?? 0) + 1,
      firstArrivedAtMs: earlier?.firstArrivedAtMs ?? arrivedAtMs,
      deadlineAtMs: identity.deadlineAtMs,
    });
    this.countsOf(identity.route).unserved.add(nowMs);
    this.dropOldest(nowMs);
  }

  /** Returns the earlier tries of a request that has arrived, and forgets them; undefined for a first try. */
  takeEarlierTries(identity: RequestIdentity, nowMs: number): EarlierTries | undefined {
    const key = keyOf(identity);
    const request = this.requests.get(key);
    if (
      request === undefined ||
      Math.abs(request.deadlineAtMs - identity.deadlineAtMs) > DEADLINE_TOLERANCE_MS
    ) {
      return undefined;
    }
    this.requests.delete(key);
    this.countsOf(identity.route).repeats.add(nowMs);
    const { count, firstArrivedAtMs } = request;
    return { count, firstArrivedAtMs };
  }

  /**
   * Whether callers of the route usually come back. Callers such as endpoints that work on a request do not, but two of
   * their requests may be alike by chance.
   */
  hasRepeats(route: string, nowMs: number): boolean {
    const { unserved, repeats } = this.countsOf(route);
    return repeats.at(nowMs) > unserved.at(nowMs) * MIN_REPEAT_SHARE;
  }

  private countsOf(route: string): RouteCounts {
    const known = this.routes.get(route);
    if (known !== undefined) {
      return known;
    }
    const counts = new RouteCounts();
    this.routes.set(route, counts);
    if (this.routes.size > MAX_ROUTES) {
      const [first = ''] = this.routes.keys();
      this.routes.delete(first);
    }
    return counts;
  }

  private dropOldest(nowMs: number): void {
    for (const [key, { deadlineAtMs }] of this.requests) {
      if (deadlineAtMs > nowMs && this.requests.size <= MAX_REQUESTS) {
        return;
      }
      this.requests.delete(key);
    }
  }
}

function keyOf({ route, method, target }: RequestIdentity): string {
  return `${route} ${method} ${target}`;
}

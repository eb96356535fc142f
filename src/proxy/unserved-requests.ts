/**
 * Recognises callers that come back: remembers the requests that ended at this node without an answer from an endpoint.
 * A later request is a repeat of one of them if method and target are the same and its deadline falls on the same moment,
 * since a caller counts its deadline from its first try. The remaining time alone would not tell a repeat from a first
 * try with a short deadline. Pure: time is passed in.
 */

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
/** Time after a repeat for which callers of its route are expected to come back, in milliseconds. */
const REPEAT_MEMORY_MS = 10_000;
/** Maximum number of routes with known repeats; beyond it, the first one is forgotten. */
const MAX_ROUTES = 1_000;
/** Maximum difference of the deadlines of two tries, in milliseconds: a busy node reads its sockets late. */
const DEADLINE_TOLERANCE_MS = 100;

export class UnservedRequests {
  /** By route, method and target; the oldest first. */
  private readonly requests = new Map<string, UnservedRequest>();
  /** When the last repeat on each route arrived, by the name of the route. */
  private readonly lastRepeatsAtMs = new Map<string, number>();

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
    this.recordRepeat(identity.route, nowMs);
    const { count, firstArrivedAtMs } = request;
    return { count, firstArrivedAtMs };
  }

  /** Whether callers of the route have recently come back. Callers such as endpoints that work on a request never do. */
  hasRecentRepeats(route: string, nowMs: number): boolean {
    return nowMs < (this.lastRepeatsAtMs.get(route) ?? -Infinity) + REPEAT_MEMORY_MS;
  }

  private recordRepeat(route: string, nowMs: number): void {
    this.lastRepeatsAtMs.set(route, nowMs);
    if (this.lastRepeatsAtMs.size > MAX_ROUTES) {
      const [first = ''] = this.lastRepeatsAtMs.keys();
      this.lastRepeatsAtMs.delete(first);
    }
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

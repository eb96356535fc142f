/** The tries of one caller for the same request, as far as this node has received them. */
import type { RequestContext } from './request-context.js';
import type { EarlierTries, RequestIdentity } from './unserved-requests.js';

export class CallerTries {
  private readonly identity: RequestIdentity | undefined;
  private readonly earlier: EarlierTries | undefined;

  /** Begins a further try; `startedAtMs` is when it was started. */
  constructor(
    private readonly context: RequestContext,
    private readonly startedAtMs: number,
  ) {
    this.identity = identityOf(context);
    const { unserved, counters } = context.services;
    this.earlier = this.identity && unserved.takeEarlierTries(this.identity, startedAtMs);
    if (this.earlier !== undefined) {
      counters.add('ferryspool_repeated_requests_total');
    }
  }

  /** Number of tries, including this one. */
  get count(): number {
    return (this.earlier?.count ?? 0) + 1;
  }

  /** When the first known try arrived at this node. */
  get firstArrivedAtMs(): number {
    return this.earlier?.firstArrivedAtMs ?? this.startedAtMs - (this.context.unreadMs ?? 0);
  }

  /** Remembers that this try has ended without an answer that serves the caller, so that a further one is recognised. */
  endUnserved(): void {
    const { unserved, scheduler } = this.context.services;
    if (this.identity !== undefined) {
      unserved.remember(this.identity, this.firstArrivedAtMs, this.earlier, scheduler.now());
    }
  }
}

/** Undefined if the caller has not stated a deadline. */
function identityOf(context: RequestContext): RequestIdentity | undefined {
  const { callerDeadlineAtMs: deadlineAtMs, match, method, target } = context;
  return deadlineAtMs === undefined
    ? undefined
    : { route: match.route.name, method, target, deadlineAtMs };
}

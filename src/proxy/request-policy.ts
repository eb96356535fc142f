/** Limits on the attempts of a request, set by its route, its caller and its node. Pure. */
import type { RequestContext } from './request-context.js';
import { refusalClassOf } from './request-work.js';
import { refusalLeadMs } from './refusal-lead.js';

/** Retry and redirect limits of one request. */
export interface RequestPolicy {
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  readonly deadlineAtMs: number;
  /** Attempts after the first, including those of the receivers. */
  readonly retries: number;
  /** Share of a retry that the first attempt adds to the service's retry budget, in percent. */
  readonly retryBudgetPercent: number;
  /**
   * Further attempts after failures that did not reach an endpoint; they don't count towards the retries or the
   * retry budget.
   */
  readonly redirects: number;
  /** Redirects after attempts at absent endpoints, which don't indicate load; counted separately from `redirects`. */
  readonly absentRedirects?: number;
  /** Minimum number of redirects that remain once the request can't be answered within its target latency. */
  readonly lateRedirects?: number;
  /** Latest start of an attempt whose refusal would still arrive before the deadline; unlimited if absent. */
  readonly refusableUntilMs?: number;
}

/**
 * Share of refused attempts of a class of work from which a refused request is not redirected if its caller comes back:
 * the next endpoint would most likely refuse it as well, at the same cost to both nodes.
 */
const MAX_REDIRECT_REFUSED_SHARE = 0.2;
/**
 * Time that an attempt needs to be sent and its refusal to arrive, as a multiple of the lead before the deadline with
 * which the endpoint's node refuses requests: one lead for each direction.
 */
const REFUSAL_LEAD_FACTOR = 2;

export function requestPolicyOf(context: RequestContext): RequestPolicy {
  const { services, match, retries, deadlineAtMs } = context;
  const { maxAttempts = Infinity } = match.route.spec;
  const maxRedirects = mayRedirect(context) ? services.limits.maxRedirects : 0;
  const leadMs = REFUSAL_LEAD_FACTOR * refusalLeadMs(deadlineAtMs - services.scheduler.now());
  return {
    refusableUntilMs: deadlineAtMs - leadMs,
    repeatable: match.repeatable,
    deadlineAtMs,
    retries: Math.min(services.limits.maxRetries, retries ?? Infinity, maxAttempts - 1),
    retryBudgetPercent: match.retryBudgetPercent,
    redirects: maxRedirects,
    absentRedirects: services.limits.maxAbsentRedirects,
    lateRedirects: Math.min(maxRedirects, services.limits.maxLateRedirects),
  };
}

function mayRedirect({ services, match }: RequestContext): boolean {
  const nowMs = services.scheduler.now();
  const workClass = refusalClassOf(match.route, false);
  return (
    !services.unserved.hasRepeats(match.route.name, nowMs) ||
    services.throttle.refusedShare(workClass, nowMs) < MAX_REDIRECT_REFUSED_SHARE
  );
}

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

/** Share of refused attempts of a class of work from which a further attempt after a refusal counts as futile. */
const FUTILE_REFUSED_SHARE = 0.2;
/**
 * Time that an attempt needs to be sent and its refusal to arrive, as a multiple of the lead before the deadline with
 * which the endpoint's node refuses requests: one lead for each direction.
 */
const REFUSAL_LEAD_FACTOR = 2;

export function requestPolicyOf(context: RequestContext): RequestPolicy {
  const { services, match, retries, deadlineAtMs } = context;
  const { maxAttempts = Infinity } = match.route.spec;
  const isFutile = isFurtherAttemptFutile(context, refusalClassOf(match.route, false));
  const maxRedirects = isFutile ? 0 : services.limits.maxRedirects;
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

/**
 * Whether a request of the class that was refused for lack of capacity should ask no further endpoint: the next one would
 * most likely refuse it as well, at the same cost to both nodes, and the caller comes back.
 */
export function isFurtherAttemptFutile(
  { services, match }: RequestContext,
  workClass: string,
): boolean {
  const nowMs = services.scheduler.now();
  return (
    services.throttle.refusedShare(workClass, nowMs) >= FUTILE_REFUSED_SHARE &&
    services.unserved.hasRepeats(match.route.name, nowMs)
  );
}

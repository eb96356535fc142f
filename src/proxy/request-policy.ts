/** How often a request may be sent, by its route, its caller and its node. Pure. */
import type { RequestContext } from './request-context.js';
import { refusalLeadMs } from './refusal-lead.js';

/** What the route, the caller and the node allow. */
export interface RequestPolicy {
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  readonly deadlineAtMs: number;
  /** Attempts after the first, those of the receivers included. */
  readonly retries: number;
  /** What the first attempt earns for the service's retry budget, in percent. */
  readonly retryBudgetPercent: number;
  /**
   * Further attempts that take nothing from the retries and their budget, since the failed one did
   * not reach an endpoint.
   */
  readonly redirects: number;
  /** The same, after attempts at endpoints that are absent: these are no sign of load. */
  readonly absentRedirects?: number;
  /** The same, from when the request can only be answered late: so many at least are left then. */
  readonly lateRedirects?: number;
  /** Until when an attempt may begin whose refusal is still heard of before the deadline; no bound if absent. */
  readonly refusableUntilMs?: number;
}

/**
 * Time that an attempt needs for a refusal to be heard of, as a multiple of how long before the deadline
 * it comes: the way there and the way back.
 */
const REFUSAL_LEADS = 2;

/** The policy that a request's life goes by. */
export function requestPolicyOf(context: RequestContext): RequestPolicy {
  const { services, match, retries, deadlineAtMs } = context;
  const { maxAttempts = Infinity } = match.route.spec;
  const leadMs = REFUSAL_LEADS * refusalLeadMs(deadlineAtMs - services.scheduler.now());
  return {
    refusableUntilMs: deadlineAtMs - leadMs,
    repeatable: match.repeatable,
    deadlineAtMs,
    retries: Math.min(services.limits.maxRetries, retries ?? Infinity, maxAttempts - 1),
    retryBudgetPercent: match.retryBudgetPercent,
    redirects: services.limits.maxRedirects,
    absentRedirects: services.limits.maxAbsentRedirects,
    lateRedirects: Math.min(services.limits.maxRedirects, services.limits.maxLateRedirects),
  };
}

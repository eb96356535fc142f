/** How often a request may be sent, by its route, its caller and its node. Pure. */
import type { RequestContext } from './request-context.js';
import type { RequestPolicy } from './request-lifecycle.js';
import { refusalLeadMs } from './refusal-lead.js';

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

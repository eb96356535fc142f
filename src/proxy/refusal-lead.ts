/**
 * Time before its deadline at which a request that is still waiting is refused, in milliseconds,
 * limited to {@link REFUSAL_LEAD_SHARE} of its remaining time. The refusal must reach the caller's
 * node before the deadline; otherwise the caller is told that the request may have run.
 */
const REFUSAL_LEAD_MS = 60;
const REFUSAL_LEAD_SHARE = 0.15;

/**
 * Returns how long before its deadline a request with `remainingMs` left is refused, in
 * milliseconds.
 */
export function refusalLeadMs(remainingMs: number): number {
  return Math.min(REFUSAL_LEAD_MS, remainingMs * REFUSAL_LEAD_SHARE);
}

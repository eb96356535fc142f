/** How long before its deadline a request that has not reached an endpoint is refused. Pure. */

/**
 * Time before its deadline at which a request that is still waiting is refused, in milliseconds,
 * limited to {@link REFUSAL_LEAD_SHARE} of its remaining time. The refusal must reach the caller's
 * node before the deadline; otherwise the caller is told that the request may have run.
 */
const REFUSAL_LEAD_MS = 60;
const REFUSAL_LEAD_SHARE = 0.15;
/** Upper limit of the measured lateness that is added to the lead, in milliseconds. */
const MAX_LATENESS_MS = 150;
/**
 * Share of the lead with which the caller's node itself refuses a request: the refusal of the
 * endpoint's node, which says more, arrives before that.
 */
const UNSENT_LEAD_SHARE = 0.5;

/**
 * Returns how long before its deadline a request with `remainingMs` left is refused by the node of
 * the endpoint, in milliseconds. `latenessMs` is by how much the timers of that node and its
 * messages have been late recently.
 */
export function refusalLeadMs(remainingMs: number, latenessMs = 0): number {
  const leadMs = REFUSAL_LEAD_MS + Math.min(MAX_LATENESS_MS, latenessMs);
  return Math.min(leadMs, remainingMs * REFUSAL_LEAD_SHARE);
}

/**
 * Returns how long before its deadline a request with `remainingMs` left that has reached no
 * endpoint is refused by the caller's node, in milliseconds.
 */
export function unsentRefusalLeadMs(remainingMs: number): number {
  return refusalLeadMs(remainingMs) * UNSENT_LEAD_SHARE;
}

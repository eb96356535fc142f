/**
 * A request that still waits so long before its deadline is refused, in milliseconds, and at most in
 * {@link REFUSAL_LEAD_SHARE} of its time: the refusal must reach the caller's node before the deadline
 * does, or the caller is told that the request may have run.
 */
const REFUSAL_LEAD_MS = 60;
const REFUSAL_LEAD_SHARE = 0.15;

/** How long before its deadline a request that has `leftMs` is refused, in milliseconds. */
export function refusalLeadMs(remainingMs: number): number {
  return Math.min(REFUSAL_LEAD_MS, remainingMs * REFUSAL_LEAD_SHARE);
}

/** Terms of claims on idempotency keys: who holds them, for how long, how many. */

/** How long a holder keeps a claim, from its last step, in milliseconds. */
export const CLAIM_KEEP_MS = 300_000;
/** Time that a request with a key may be given: a claim must outlive its request. */
export const MAX_CLAIMED_REQUEST_MS = 60_000;
/** Time in which a claim must be granted by a majority, in milliseconds. */
export const CLAIM_ROUND_MS = 1_000;
/** Claims that a holder keeps; with more it grants none. */
export const MAX_CLAIMS = 50_000;
/** Claims under way at one node at most. */
export const MAX_OPEN_CLAIMS = 4_096;
/** Records in one part of a holder's answer to a newcomer. */
export const RECORDS_PER_PART = 500;
/**
 * Time that a new holder waits before it asks the others what they know, in milliseconds. It covers
 * a round that counted a grant of its former process, or of a machine that it replaces: the round is
 * over by then, and the other grants of it are recorded.
 */
export const SETTLE_MS = 2 * CLAIM_ROUND_MS;
/** Time between two requests of a new holder for the others' claims, in milliseconds. */
export const SYNC_INTERVAL_MS = 1_000;
/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 255;

/** Grants that make a majority of `holders`. */
export function majorityOf(holders: number): number {
  return Math.floor(holders / 2) + 1;
}

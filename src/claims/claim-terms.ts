/** Limits of claims on idempotency keys: retention, timeouts and sizes. */

/** Time for which a holder keeps a claim after its last step, in milliseconds. */
export const CLAIM_RETENTION_MS = 300_000;
/** Maximum timeout of a request with a key, in milliseconds: a claim must outlive its request. */
export const MAX_CLAIMED_REQUEST_MS = 60_000;
/** Time within which a majority must grant a claim, in milliseconds. */
export const CLAIM_ROUND_TIMEOUT_MS = 1_000;
/** Maximum number of claims that a holder stores; at the limit it grants no new ones. */
export const MAX_CLAIMS = 50_000;
/** Maximum number of claims in progress at one node. */
export const MAX_OPEN_CLAIMS = 4_096;
/** Records in one message of a holder's answer to a new holder. */
export const RECORDS_PER_SYNC_MESSAGE = 500;
/**
 * Delay before a new holder requests the claims of the other holders, in milliseconds. A round may
 * have counted a grant of this holder's former process, or of a machine that it replaces. After the
 * delay such a round is over, and the other holders have recorded their grants.
 */
export const SYNC_DELAY_MS = 2 * CLAIM_ROUND_TIMEOUT_MS;
/** Interval at which a new holder requests the claims of the other holders, in milliseconds. */
export const SYNC_INTERVAL_MS = 1_000;
/** Maximum length of an idempotency key, in characters. */
export const MAX_KEY_LENGTH = 255;

/** Number of grants that form a majority of `holders`. */
export function majorityOf(holders: number): number {
  return Math.floor(holders / 2) + 1;
}

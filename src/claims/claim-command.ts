/** What the request path asks of the claims, and what it is told. */

/**
 * - `won`: this attempt is the first of its key and may be sent on.
 * - `taken`: another attempt came first; `ran` tells whether it is known to have run.
 * - `unavailable`: no majority of holders could tell; nothing was claimed.
 */
export type ClaimOutcome =
  | { readonly outcome: 'won' }
  | { readonly outcome: 'taken'; readonly ran: boolean }
  | { readonly outcome: 'unavailable' };

/** One command; `attempt` names an attempt that no other node and no other request uses. */
export type ClaimCommand =
  | {
      readonly kind: 'open';
      /** Digest of service and key; see `claimDigest`. */
      readonly claim: string;
      readonly attempt: string;
      /** Told exactly once, within `CLAIM_ROUND_MS`. */
      readonly onOutcome: (outcome: ClaimOutcome) => void;
    }
  /** `finish`: the attempt ran. `release`: it provably did not and will not run. */
  | { readonly kind: 'finish' | 'release'; readonly claim: string; readonly attempt: string };

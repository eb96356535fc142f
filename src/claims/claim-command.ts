/** Commands that the request path sends to the claim component, and their outcomes. */

/**
 * - `won`: this attempt is the first of its key and may be sent on.
 * - `taken`: another attempt claimed the key first; `ran` is true if it is known to have run.
 * - `unavailable`: no majority of holders gave a usable answer; nothing was claimed.
 */
export type ClaimOutcome =
  | { readonly outcome: 'won' }
  | { readonly outcome: 'taken'; readonly ran: boolean }
  | { readonly outcome: 'unavailable' };

/** One command. `attempt` is an identifier that is unique across all nodes and requests. */
export type ClaimCommand =
  | {
      readonly kind: 'open';
      /** Digest of service and key; see `claimDigest`. */
      readonly claim: string;
      readonly attempt: string;
      /** Called exactly once, within `CLAIM_ROUND_TIMEOUT_MS`. */
      readonly onOutcome: (outcome: ClaimOutcome) => void;
    }
  /** `finish`: the attempt ran. `release`: the attempt provably did not run and never will. */
  | { readonly kind: 'finish' | 'release'; readonly claim: string; readonly attempt: string };

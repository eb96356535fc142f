/**
 * Claims that the request path makes before it forwards a non-repeatable request with an
 * idempotency key, to find out whether this is the key's first attempt.
 */
import type { ClaimOutcome } from '../claims/claim-command.js';

/** An attempt under one idempotency key of one service. */
export interface ClaimedAttempt {
  readonly service: string;
  readonly key: string;
  /** Unique in the fleet. */
  readonly attempt: string;
}

/** Claims on idempotency keys; see `docs/DESIGN.md`, _Idempotency keys_. */
export interface IdempotencyClaims {
  /** Resolves within `CLAIM_ROUND_MS`; never rejects. */
  open(attempt: ClaimedAttempt): Promise<ClaimOutcome>;
  /** Records that the attempt ran. */
  finish(attempt: ClaimedAttempt): void;
  /** Frees the key after an attempt that provably has not run and never will. */
  release(attempt: ClaimedAttempt): void;
}

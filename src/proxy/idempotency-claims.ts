/**
 * What the request path asks before it sends on a request that may not be repeated and has an
 * idempotency key: whether this is the key's first attempt.
 */
import type { ClaimOutcome } from '../claims/claim-command.js';

/** One attempt at one key of one service. */
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
  /** The attempt ran. */
  finish(attempt: ClaimedAttempt): void;
  /** The attempt is proved not to have run and never to run: the key is free again. */
  release(attempt: ClaimedAttempt): void;
}

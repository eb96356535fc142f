/** Lets a request with an idempotency key start only when its claim is won. */
import type { ClaimOutcome } from '../claims/claim-command.js';
import { ClaimedReply } from './claimed-reply.js';
import type { ClaimedAttempt, IdempotencyClaims } from './idempotency-claims.js';
import {
  ClaimUnavailableError,
  DuplicateRequestError,
  type RequestError,
} from './request-error.js';
import type { CallerReply } from './request-context.js';

/** When to come back after no majority could tell whether a key was used, in milliseconds. */
const UNAVAILABLE_RETRY_MS = 2_000;

/** Claims, then calls `start` with the reply to use, or reports why the request can not start. */
export async function startWhenClaimed(
  claims: IdempotencyClaims,
  attempt: ClaimedAttempt,
  reply: CallerReply,
  start: (reply: CallerReply) => void,
): Promise<void> {
  let isCallerGone = false;
  reply.onClose(() => {
    isCallerGone = true;
  });
  const outcome = await claims.open(attempt);
  if (outcome.outcome !== 'won') {
    const error = claimError(outcome);
    reply.fail(error, error.verdict, attempt.attempt);
    return;
  }
  if (isCallerGone) {
    claims.release(attempt);
    return;
  }
  start(new ClaimedReply(reply, claims, attempt));
}

function claimError(outcome: Exclude<ClaimOutcome, { outcome: 'won' }>): RequestError {
  switch (outcome.outcome) {
    case 'taken':
      return new DuplicateRequestError(
        'a request with this idempotency key came first',
        outcome.ran ? 'ran' : 'may-have-run',
      );
    case 'unavailable':
      return new ClaimUnavailableError(
        'no majority could tell whether this idempotency key was used',
        UNAVAILABLE_RETRY_MS,
      );
  }
}

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
import type { RequestLog } from './request-log.js';
import { stopFailure } from './stop-failure.js';

/** When to come back after no majority could tell whether a key was used, in milliseconds. */
const UNAVAILABLE_RETRY_MS = 2_000;

/** A request with an idempotency key, until its claim is decided: nothing of it has been sent on. */
export class ClaimGate {
  private state: 'waiting' | 'caller-gone' | 'given-up' | 'decided' = 'waiting';

  constructor(
    private readonly claims: IdempotencyClaims,
    private readonly attempt: ClaimedAttempt,
    private readonly reply: CallerReply,
  ) {
    reply.onClose(() => {
      this.leave('caller-gone');
    });
  }

  /** Claims, then calls `start` with the reply to use, or reports why the request can not start. */
  async startWhenClaimed(start: (reply: CallerReply) => void): Promise<void> {
    const { claims, attempt, reply } = this;
    const outcome = await claims.open(attempt);
    const isWaiting = this.leave('decided');
    if (outcome.outcome === 'won') {
      if (isWaiting) {
        start(new ClaimedReply(reply, claims, attempt));
      } else {
        claims.release(attempt);
      }
      return;
    }
    // A second answer would cut off the first.
    if (this.state !== 'given-up') {
      this.fail(claimError(outcome));
    }
  }

  /** The node stops: the caller is told so. False when the request does not wait any more. */
  giveUp(log: RequestLog): boolean {
    if (!this.leave('given-up')) {
      return false;
    }
    const error = stopFailure(true);
    const { service, attempt: request } = this.attempt;
    const { code, verdict } = error;
    log.record({ event: 'request-given-up', request, service, code, verdict, waitedFor: 'claim' });
    this.fail(error);
    return true;
  }

  /** False when it was left before. */
  private leave(state: 'caller-gone' | 'given-up' | 'decided'): boolean {
    const isWaiting = this.state === 'waiting';
    if (isWaiting) {
      this.state = state;
    }
    return isWaiting;
  }

  private fail(error: RequestError): void {
    this.reply.fail(error, error.verdict, this.attempt.attempt);
  }
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

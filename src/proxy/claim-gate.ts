/** Starts a request with an idempotency key only after its claim on the key succeeds. */
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

/** Retry delay when no majority could determine whether a key was used, in milliseconds. */
const UNAVAILABLE_RETRY_MS = 2_000;

/** A request with an idempotency key whose claim is undecided; no part of it has been forwarded. */
export class ClaimGate {
  private state: 'waiting' | 'caller-gone' | 'given-up' | 'decided' = 'waiting';

  constructor(
    private readonly claims: IdempotencyClaims,
    private readonly attempt: ClaimedAttempt,
    private readonly reply: CallerReply,
  ) {
    reply.onClose(() => {
      this.settle('caller-gone');
    });
  }

  /** Claims the key, then calls `start` with the reply to use, or reports why the request can't start. */
  async startWhenClaimed(start: (reply: CallerReply) => void): Promise<void> {
    const { claims, attempt, reply } = this;
    const outcome = await claims.open(attempt);
    const isWaiting = this.settle('decided');
    if (outcome.outcome === 'won') {
      if (isWaiting) {
        start(new ClaimedReply(reply, claims, attempt));
      } else {
        claims.release(attempt);
      }
      return;
    }
    // A request that was given up has its answer; a second one would truncate it.
    if (this.state !== 'given-up') {
      this.fail(claimError(outcome));
    }
  }

  /** Fails the request because the node is stopping; returns false if it is no longer waiting. */
  giveUp(log: RequestLog): boolean {
    if (!this.settle('given-up')) {
      return false;
    }
    const error = stopFailure(true);
    const { service, attempt: request } = this.attempt;
    const { code, verdict } = error;
    log.record({ event: 'request-given-up', request, service, code, verdict, waitedFor: 'claim' });
    this.fail(error);
    return true;
  }

  /** Leaves the `waiting` state; returns false if it was left before. */
  private settle(state: 'caller-gone' | 'given-up' | 'decided'): boolean {
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
        'another request with this idempotency key was received first',
        outcome.ran ? 'ran' : 'may-have-run',
      );
    case 'unavailable':
      return new ClaimUnavailableError(
        'no majority could determine whether this idempotency key was used',
        UNAVAILABLE_RETRY_MS,
      );
  }
}

/** The caller's side of a request with a claimed idempotency key: updates the claim with the request's outcome. */
import type { Verdict } from '../model/verdict.js';
import type { AnswerObserver } from './answer-forwarding.js';
import type { Answer } from './call.js';
import type { ClaimedAttempt, IdempotencyClaims } from './idempotency-claims.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { RequestError } from './request-error.js';
import type { CallerReply } from './request-context.js';

/**
 * Delegates to `reply`. An answer means that the attempt ran and finishes the claim; the verdict `not-run`
 * releases the key. In all other cases the claim is kept, since the attempt may have run.
 */
export class ClaimedReply implements CallerReply {
  constructor(
    private readonly reply: CallerReply,
    private readonly claims: IdempotencyClaims,
    private readonly attempt: ClaimedAttempt,
  ) {}

  answer(
    answer: Answer,
    requestId: string,
    maxBufferedBytes: number,
    observer: AnswerObserver,
  ): void {
    this.claims.finish(this.attempt);
    this.reply.answer(answer, requestId, maxBufferedBytes, observer);
  }

  hasBegun(): boolean {
    return this.reply.hasBegun();
  }

  fail(error: RequestError, verdict: Verdict, requestId: string): void {
    if (verdict === 'not-run') {
      this.claims.release(this.attempt);
    }
    this.reply.fail(error, verdict, requestId);
  }

  breakConnection(): void {
    this.reply.breakConnection();
  }

  onClose(action: (isComplete: boolean, reason?: ConnectionEndReason) => void): void {
    this.reply.onClose(action);
  }
}

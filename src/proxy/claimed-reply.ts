/** The caller's side of a request whose key is claimed: tells the claims what became of it. */
import type { Verdict } from '../model/verdict.js';
import type { AnswerObserver } from './answer-relay.js';
import type { Answer } from './call.js';
import type { ClaimedAttempt, IdempotencyClaims } from './idempotency-claims.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { RequestError } from './request-error.js';
import type { CallerReply } from './request-context.js';

/**
 * Passes everything to `reply`. An answer means that the attempt ran, `not-run` frees the key, and
 * where neither is known the claim stays: the key may have run.
 */
export class ClaimedReply implements CallerReply {
  constructor(
    private readonly reply: CallerReply,
    private readonly claims: IdempotencyClaims,
    private readonly attempt: ClaimedAttempt,
  ) {}

  answer(answer: Answer, requestId: string, holdBytes: number, observer: AnswerObserver): void {
    this.claims.finish(this.attempt);
    this.reply.answer(answer, requestId, holdBytes, observer);
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

  onClose(action: (isWhole: boolean, reason?: ConnectionEndReason) => void): void {
    this.reply.onClose(action);
  }
}

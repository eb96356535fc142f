/** The side of a request that waits for its answer: a caller, or the work on another request. */
import type { Verdict } from '../../src/model/verdict.js';
import type { AnswerObserver } from '../../src/proxy/answer-forwarding.js';
import type { Answer } from '../../src/proxy/call.js';
import type { CallerReply } from '../../src/proxy/request-context.js';
import { createCallerProtocol } from '../../platform/caller-protocol.js';
import { retryAfterOf } from '../../src/proxy/caller-protocol.js';
import type { RequestError } from '../../src/proxy/request-error.js';

/** What a request was told. */
export interface Told {
  readonly kind: 'answer' | 'error' | 'broken';
  readonly status: number;
  /** Whether the request has, by its error, provably not run. */
  readonly isNotRun: boolean;
  readonly retryAfterMs: number | undefined;
}

const CALLER_PROTOCOL = createCallerProtocol('emulated');
const BROKEN: Told = { kind: 'broken', status: 0, isNotRun: false, retryAfterMs: undefined };

/** Tells `onTold` once. */
export class EmulatedReply implements CallerReply {
  private readonly listeners: ((isWhole: boolean) => void)[] = [];
  private isTold = false;

  constructor(private readonly onTold: (told: Told) => void) {}

  /** An answer that does not end is never told; its request ends otherwise. */
  answer(
    { status, body }: Answer,
    _requestId: string,
    _holdBytes: number,
    observer: AnswerObserver,
  ): void {
    if (this.isTold) {
      observer.truncated(false);
      return;
    }
    if (body.kind === 'streamed') {
      return;
    }
    this.isTold = true;
    observer.completed();
    this.close(true);
    this.onTold({ kind: 'answer', status, isNotRun: false, retryAfterMs: undefined });
  }

  /** The status is the one that callers of the platform get. */
  fail(error: RequestError, verdict: Verdict, requestId: string): void {
    const { status } = CALLER_PROTOCOL.errorAnswer(error, verdict, requestId);
    const isNotRun = verdict === 'not-run';
    const retryAfterMs = isNotRun ? retryAfterOf(error) : undefined;
    this.tell({ kind: 'error', status, isNotRun, retryAfterMs });
  }

  hasBegun(): boolean {
    return this.isTold;
  }

  breakConnection(): void {
    this.tell(BROKEN);
  }

  onClose(action: (isWhole: boolean) => void): void {
    this.listeners.push(action);
  }

  /** Nobody waits any more. */
  leave(): void {
    if (!this.isTold) {
      this.isTold = true;
      this.close(false);
    }
  }

  private tell(told: Told): void {
    if (!this.isTold) {
      this.isTold = true;
      this.close(true);
      this.onTold(told);
    }
  }

  private close(isWhole: boolean): void {
    this.listeners.splice(0).forEach((listener) => listener(isWhole));
  }
}

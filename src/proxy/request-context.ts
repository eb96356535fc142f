/** Input of one caller's request, and the interface for replying to its caller. */
import type { Snapshot } from '../model/snapshot.js';
import type { Verdict } from '../model/verdict.js';
import type { RouteMatch } from '../routing/route-table.js';
import type { AnswerObserver } from './answer-forwarding.js';
import type { Answer } from './call.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { HeaderList } from './headers.js';
import type { RequestError } from './request-error.js';
import type { RequestServices } from './request-services.js';

/** Sends the reply to a request's caller. */
export interface CallerReply {
  /** Forwards an endpoint's answer; one of up to `maxBufferedBytes` is buffered in full first. */
  answer(
    answer: Answer,
    requestId: string,
    maxBufferedBytes: number,
    observer: AnswerObserver,
  ): void;
  /** Whether any part of an answer has been sent. */
  hasBegun(): boolean;
  /** Replies with an error. */
  fail(error: RequestError, verdict: Verdict, requestId: string): void;
  /** Breaks the connection, so that the caller can't mistake a partial answer for a complete one. */
  breakConnection(): void;
  /** Calls `action` once the exchange is over: `isComplete` if the answer was sent in full, `reason` says why not. */
  onClose(action: (isComplete: boolean, reason?: ConnectionEndReason) => void): void;
}

export interface RequestContext {
  readonly services: RequestServices;
  /** Configuration at the start of the request. Its routes stay in use, but see {@link RequestServices.endpointsOf}. */
  readonly snapshot: Snapshot;
  readonly match: RouteMatch;
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly target: string;
  /** Headers to forward, including the route's credential. */
  readonly headers: HeaderList;
  /** Maximum number of attempts after the first, as set by the caller; undefined if it sets none. */
  readonly retries: number | undefined;
  readonly response: CallerReply;
  /** Identifies the request to the caller. */
  readonly requestId: string;
  /** Unique in the fleet; prefix of the ids that identify the request's attempts between nodes. */
  readonly attemptPrefix: string;
  readonly deadlineAtMs: number;
  /** When the caller stops waiting by its own statement; undefined if it states no deadline. */
  readonly callerDeadlineAtMs?: number | undefined;
  /** Time for which the request waited on its connection before it was started, in milliseconds; 0 if absent. */
  readonly unreadMs?: number;
}

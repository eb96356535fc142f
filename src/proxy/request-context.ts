/** What one caller's request is run with, and the way back to its caller. */
import type { Snapshot } from '../model/snapshot.js';
import type { Verdict } from '../model/verdict.js';
import type { RouteMatch } from '../routing/route-table.js';
import type { AnswerObserver } from './answer-forwarding.js';
import type { Answer } from './call.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { HeaderList } from './headers.js';
import type { RequestError } from './request-error.js';
import type { RequestServices } from './request-services.js';

/** The caller's side of a request. */
export interface CallerReply {
  /** Passes an endpoint's answer on; holds it whole where it has up to `holdBytes`. */
  answer(answer: Answer, requestId: string, holdBytes: number, observer: AnswerObserver): void;
  /** Whether a part of an answer went out. */
  hasBegun(): boolean;
  /** Reports an error. */
  fail(error: RequestError, verdict: Verdict, requestId: string): void;
  /** Breaks the connection, so that the caller can't take the answer for a whole one. */
  breakConnection(): void;
  /** Calls `action` once the exchange is over; `isWhole` when the answer went out in full, `reason` says why not. */
  onClose(action: (isWhole: boolean, reason?: ConnectionEndReason) => void): void;
}

/** What one request is run with. */
export interface RequestContext {
  readonly services: RequestServices;
  /** The configuration that the request started with; it keeps the routes, see {@link RequestServices.endpointsOf}. */
  readonly snapshot: Snapshot;
  readonly match: RouteMatch;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Headers to send on, with the route's credential. */
  readonly headers: HeaderList;
  /** Attempts after the first by the caller's word; undefined when it names none. */
  readonly retries: number | undefined;
  readonly response: CallerReply;
  /** Names the request to the caller. */
  readonly requestId: string;
  /** Unique in the fleet; names the attempts of the request between nodes. */
  readonly attemptPrefix: string;
  readonly deadlineAtMs: number;
}

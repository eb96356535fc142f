/**
 * The protocol between callers and a node: header names and the format of error answers. The native
 * protocol is defined here; an adapter may provide another one. A protocol only names and formats, it
 * makes no decisions.
 */
import { VERDICT_HEADER, type Verdict } from '../model/verdict.js';
import type { HeaderList } from './headers.js';
import type { RequestError } from './request-error.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;
const REFUSED_STATUS = 503;
const REQUEST_ID_HEADER = 'ferryspool-request-id';

/** An answer that reports an error, as it is sent. */
export interface ErrorAnswer {
  readonly status: number;
  /** Names and values, alternating; without framing headers. */
  readonly headers: HeaderList;
  readonly body: string;
}

/** Header names and formats for one kind of caller. Header names are in lower case. */
export interface CallerProtocol {
  /** Header with the time left, in whole milliseconds. */
  readonly deadlineHeader: string;
  /** Header with the number of retries that may be made; undefined if the protocol has none. */
  readonly retriesHeader: string | undefined;
  /** Header with the idempotency key; undefined if the protocol has none. */
  readonly idempotencyKeyHeader: string | undefined;
  /** Header with the caller's request id; undefined if the node generates it. */
  readonly requestIdHeader: string | undefined;
  /** Headers that are not forwarded as the caller sent them. */
  readonly droppedHeaders: ReadonlySet<string>;
  /** Headers added to every forwarded request: names and values, alternating. */
  readonly addedHeaders: HeaderList;
  /** Header of a forwarded request that identifies its caller; undefined if the protocol has none. */
  readonly callerHeader: string | undefined;
  /** Headers added to an endpoint's answer. */
  answerHeaders(requestId: string): HeaderList;
  /** The answer that reports `error`; `verdict` covers all attempts. */
  errorAnswer(error: RequestError, verdict: Verdict, requestId: string): ErrorAnswer;
}

/** The native protocol. */
export const NATIVE_CALLER_PROTOCOL: CallerProtocol = {
  deadlineHeader: 'x-deadline-ms',
  retriesHeader: 'ferryspool-retries',
  idempotencyKeyHeader: 'idempotency-key',
  requestIdHeader: undefined,
  droppedHeaders: new Set(['x-deadline-ms', 'x-request-id']),
  addedHeaders: [],
  callerHeader: 'authorization',
  answerHeaders: (requestId) => [VERDICT_HEADER, 'ran', REQUEST_ID_HEADER, requestId],
  errorAnswer: (error, verdict, requestId) => ({
    status: error.status,
    headers: nativeErrorHeaders(error, verdict, [REQUEST_ID_HEADER, requestId]),
    body: errorBody(error.code, error.message, verdict),
  }),
};

/** Headers of an error answer in the native protocol, with `others` after the verdict. */
function nativeErrorHeaders(error: RequestError, verdict: Verdict, others: HeaderList): HeaderList {
  const list = [VERDICT_HEADER, verdict, 'Content-Type', 'application/json', ...others];
  const retryAfterMs = retryAfterOf(error);
  if (retryAfterMs !== undefined) {
    list.push('Retry-After', String(Math.max(1, Math.ceil(retryAfterMs / 1_000))));
  }
  return list;
}

export function errorBody(code: string, message: string, verdict: Verdict): string {
  return `${JSON.stringify({ code, message, verdict })}\n`;
}

/** When the caller may retry, in milliseconds; defined for every refusal. */
export function retryAfterOf(error: RequestError): number | undefined {
  const isRefusal = error.status === REFUSED_STATUS;
  return error.retryAfterMs ?? (isRefusal ? DEFAULT_RETRY_AFTER_MS : undefined);
}

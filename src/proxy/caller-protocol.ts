/**
 * How callers and a node speak to each other: header names and the form of error answers. The
 * product's own protocol stands here; an adapter may bring another one. A protocol only names and
 * formats, it decides nothing.
 */
import { VERDICT_HEADER, type Verdict } from '../model/verdict.js';
import type { HeaderList } from './headers.js';
import type { RequestError } from './request-error.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;
const REFUSED_STATUS = 503;
const REQUEST_ID_HEADER = 'ferryspool-request-id';

/** An answer that reports an error, as it goes out. */
export interface ErrorAnswer {
  readonly status: number;
  /** Names and values, alternating; without framing. */
  readonly headers: HeaderList;
  readonly body: string;
}

/** Names and forms of one kind of callers. Header names are in lower case. */
export interface CallerProtocol {
  /** Header with the time left, in whole milliseconds. */
  readonly deadlineHeader: string;
  /** Header with the attempts after the first that may be made; undefined where there is none. */
  readonly retriesHeader: string | undefined;
  /** Header with the idempotency key; undefined where there is none. */
  readonly idempotencyKeyHeader: string | undefined;
  /** Header in which the caller names its request; undefined where the node names it. */
  readonly requestIdHeader: string | undefined;
  /** Headers that are not passed on as the caller sent them. */
  readonly droppedHeaders: ReadonlySet<string>;
  /** Headers added to every request that is passed on: names and values, alternating. */
  readonly addedHeaders: HeaderList;
  /** Header of a request that is passed on which names its caller; undefined where none does. */
  readonly callerHeader: string | undefined;
  /** Headers added to an endpoint's answer. */
  answerHeaders(requestId: string): HeaderList;
  /** How `error` is told under `verdict`, which covers all attempts. */
  errorAnswer(error: RequestError, verdict: Verdict, requestId: string): ErrorAnswer;
}

/** The product's own protocol. */
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

/** Headers of an error answer in the product's own protocol, with `others` after the verdict. */
function nativeErrorHeaders(error: RequestError, verdict: Verdict, others: HeaderList): HeaderList {
  const list = [VERDICT_HEADER, verdict, 'Content-Type', 'application/json', ...others];
  const retryAfterMs = retryAfterOf(error);
  if (retryAfterMs !== undefined) {
    list.push('Retry-After', String(Math.max(1, Math.ceil(retryAfterMs / 1_000))));
  }
  return list;
}

/** The body of an error answer. */
export function errorBody(code: string, message: string, verdict: Verdict): string {
  return `${JSON.stringify({ code, message, verdict })}\n`;
}

/** When the caller may come back, in milliseconds; every refusal says so. */
export function retryAfterOf(error: RequestError): number | undefined {
  const isRefusal = error.status === REFUSED_STATUS;
  return error.retryAfterMs ?? (isRefusal ? DEFAULT_RETRY_AFTER_MS : undefined);
}

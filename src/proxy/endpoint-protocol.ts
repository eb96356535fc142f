/**
 * The protocol between a node and endpoints: header names, refusals, load reports and cancellation.
 * The native protocol is defined here; an adapter may provide another one. A protocol only names and
 * formats, it makes no decisions.
 */
import type { IncomingMessage } from 'node:http';
import type { Endpoint } from '../model/resource.js';
import { isSuccessStatus, readRateLimit, type AnswerStatement } from './answer-statement.js';
import type { Call, LoadReport } from './call.js';
import { messageHeaders, parseMilliseconds, type HeaderList } from './headers.js';

const REQUEST_ID_HEADER = 'x-request-id';
const DEADLINE_HEADER = 'x-deadline-ms';
const RETRIES_HEADER = 'ferryspool-retries';
const NOT_STARTED_HEADER = 'x-not-started';
const LOAD_HEADER = 'x-load';
const DRAINING_HEADER = 'x-draining';
const RATE_LIMIT_HEADER = 'x-rate-limit';
const RETRY_AFTER_HEADER = 'retry-after';
/** Headers of answers that are meant only for the node. */
const NODE_HEADERS: ReadonlySet<string> = new Set([
  REQUEST_ID_HEADER,
  NOT_STARTED_HEADER,
  LOAD_HEADER,
  DRAINING_HEADER,
]);
/** Statuses of refusals: 503 for no capacity or draining, 504 for a deadline that can't be met. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([503, 504]);

/** The parsed head of an answer. */
export type ParsedAnswer =
  /** An answer to the request, with the headers to forward. */
  | {
      readonly kind: 'answer';
      readonly headers: HeaderList;
      readonly load: LoadReport | undefined;
      readonly statement: AnswerStatement;
    }
  /** The endpoint refused the request before it started. */
  | {
      readonly kind: 'refused';
      readonly load: LoadReport | undefined;
      /** Undefined if a different process answers at the endpoint's address. */
      readonly statement: AnswerStatement | undefined;
      readonly retryAfterMs: number | undefined;
      /** Whether a different process answers at the endpoint's address: the endpoint no longer exists. */
      readonly isOtherEndpoint: boolean;
    }
  /** The message is not an answer to this request. */
  | { readonly kind: 'malformed' };

/** Header names and formats for one kind of endpoint. */
export interface EndpointProtocol {
  /** Headers added to a request; `remainingMs` is the time left for the endpoint. */
  requestHeaders(endpoint: Endpoint, call: Call, remainingMs: number): HeaderList;
  readAnswer(message: IncomingMessage, call: Call): ParsedAnswer;
  /** Path that cancels a request; undefined if only closing its connection cancels it. */
  cancelTarget(requestId: string): string | undefined;
  /** Path that reports whether the endpoint is draining; undefined if only the configuration does. */
  readonly drainProbeTarget: string | undefined;
  /** Parses the answer of the drain probe; undefined if it does not report draining. */
  readDraining(message: IncomingMessage): boolean | undefined;
  /** Whether an answer without framing may be terminated by the close of its connection. */
  readonly allowsUnframedAnswers: boolean;
  /**
   * Time after which a request whose connection was closed no longer occupies its slot, in
   * milliseconds; undefined if the slot is freed only by the request's deadline.
   */
  readonly slotFreedAfterCloseMs: number | undefined;
}

/** The native protocol. */
export const NATIVE_ENDPOINT_PROTOCOL: EndpointProtocol = {
  requestHeaders: (_endpoint, call, remainingMs) => [
    REQUEST_ID_HEADER,
    call.requestId,
    DEADLINE_HEADER,
    String(Math.max(1, Math.floor(remainingMs))),
    RETRIES_HEADER,
    String(call.retriesLeft),
  ],
  readAnswer: readNativeAnswer,
  cancelTarget: (requestId) => `/cancel/${encodeURIComponent(requestId)}`,
  drainProbeTarget: '/health',
  readDraining: (message) => readLoad(message)?.draining === true,
  allowsUnframedAnswers: false,
  slotFreedAfterCloseMs: undefined,
};

function readNativeAnswer(message: IncomingMessage, call: Call): ParsedAnswer {
  const { headers } = message;
  const answeredId = headers[REQUEST_ID_HEADER];
  if (answeredId !== undefined && answeredId !== call.requestId) {
    return { kind: 'malformed' };
  }
  const load = readLoad(message);
  const isSuccess = isSuccessStatus(message.statusCode);
  const rateLimit = readRateLimit(headers[RATE_LIMIT_HEADER], isSuccess);
  const statement = { rateLimit, isLeaving: false };
  if (REFUSED_STATUSES.has(message.statusCode ?? 0) && headers[NOT_STARTED_HEADER] === '1') {
    const retryAfterMs = parseRetryAfter(headers[RETRY_AFTER_HEADER]);
    return { kind: 'refused', load, statement, retryAfterMs, isOtherEndpoint: false };
  }
  return {
    kind: 'answer',
    headers: messageHeaders(message.rawHeaders, NODE_HEADERS),
    load,
    statement,
  };
}

/** `Retry-After` in milliseconds; dates are not supported. */
export function parseRetryAfter(text: string | undefined): number | undefined {
  const seconds = parseMilliseconds(text);
  return seconds === undefined ? undefined : seconds * 1_000;
}

function readLoad(message: IncomingMessage): LoadReport | undefined {
  const { headers } = message;
  const text = headers[LOAD_HEADER];
  const draining = headers[DRAINING_HEADER] === '1';
  const match = typeof text === 'string' ? /^([0-9]{1,9})\/([0-9]{1,9})$/.exec(text) : null;
  if (match === null) {
    return draining ? { inFlight: 0, slots: 0, draining } : undefined;
  }
  return { inFlight: Number(match[1]), slots: Number(match[2]), draining };
}

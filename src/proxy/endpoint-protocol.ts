/**
 * How a node and endpoints speak to each other: header names, refusals, load reports and
 * cancellation. The product's own protocol stands here; an adapter may bring another one. A protocol
 * only names and formats, it decides nothing.
 */
import type { IncomingMessage } from 'node:http';
import type { Endpoint } from '../model/resource.js';
import type { Call, LoadReport } from './call.js';
import { messageHeaders, parseMilliseconds, type HeaderList } from './headers.js';

const REQUEST_ID_HEADER = 'x-request-id';
const DEADLINE_HEADER = 'x-deadline-ms';
const RETRIES_HEADER = 'ferryspool-retries';
const NOT_STARTED_HEADER = 'x-not-started';
const LOAD_HEADER = 'x-load';
const DRAINING_HEADER = 'x-draining';
const RETRY_AFTER_HEADER = 'retry-after';
/** Headers of answers that are meant for the node alone. */
const NODE_HEADERS: ReadonlySet<string> = new Set([
  REQUEST_ID_HEADER,
  NOT_STARTED_HEADER,
  LOAD_HEADER,
  DRAINING_HEADER,
]);
/** Statuses of refusals: no room or a drain, and a deadline that is too near. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([503, 504]);

/** What the head of an answer says. */
export type AnswerReading =
  /** An answer to the request, with the headers to pass on. */
  | {
      readonly kind: 'answer';
      readonly headers: HeaderList;
      readonly load: LoadReport | undefined;
    }
  /** The endpoint refused the request before it started. */
  | {
      readonly kind: 'refused';
      readonly load: LoadReport | undefined;
      readonly retryAfterMs: number | undefined;
      /** Whether another process answers at the endpoint's address: the endpoint is gone. */
      readonly isOtherEndpoint: boolean;
    }
  /** Not an answer to this request. */
  | { readonly kind: 'malformed' };

/** Names and forms of one kind of endpoints. */
export interface EndpointProtocol {
  /** Headers added to a request; `remainingMs` is the time left to the endpoint. */
  requestHeaders(endpoint: Endpoint, call: Call, remainingMs: number): HeaderList;
  readAnswer(message: IncomingMessage, call: Call): AnswerReading;
  /** Path that cancels a request; undefined where only closing its connection does. */
  cancelTarget(requestId: string): string | undefined;
  /** Path that tells whether the endpoint drains; undefined where only the configuration does. */
  readonly drainProbeTarget: string | undefined;
  /** What an answer of the drain probe says; undefined when it says nothing. */
  readDraining(message: IncomingMessage): boolean | undefined;
  /** Whether an answer without a length may end with its connection. */
  readonly allowsUnframedAnswers: boolean;
  /**
   * Time after which a request whose connection was closed no longer occupies its slot, in
   * milliseconds; undefined where only the request's deadline frees it.
   */
  readonly slotFreedAfterCloseMs: number | undefined;
}

/** The product's own protocol. */
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

function readNativeAnswer(message: IncomingMessage, call: Call): AnswerReading {
  const { headers } = message;
  const answeredId = headers[REQUEST_ID_HEADER];
  if (answeredId !== undefined && answeredId !== call.requestId) {
    return { kind: 'malformed' };
  }
  const load = readLoad(message);
  if (REFUSED_STATUSES.has(message.statusCode ?? 0) && headers[NOT_STARTED_HEADER] === '1') {
    const retryAfterMs = parseRetryAfter(headers[RETRY_AFTER_HEADER]);
    return { kind: 'refused', load, retryAfterMs, isOtherEndpoint: false };
  }
  return { kind: 'answer', headers: messageHeaders(message.rawHeaders, NODE_HEADERS), load };
}

/** `Retry-After` in milliseconds; dates are not taken. */
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

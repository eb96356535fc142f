/**
 * Accepts requests from callers over a {@link CallerProtocol}. In the native protocol, a caller may
 * send `x-deadline-ms` (time left, in milliseconds), `ferryspool-retries` (retries that may still be
 * made) and `idempotency-key`; every answer carries `ferryspool-verdict` and `ferryspool-request-id`.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_KEY_LENGTH } from '../claims/claim-terms.js';
import type { Verdict } from '../model/verdict.js';
import type { ShutdownBuffering } from './answer-collection.js';
import { CallerConnections } from './caller-connections.js';
import type { CallerProtocol } from './caller-protocol.js';
import { forwardAnswer, type AnswerObserver } from './answer-forwarding.js';
import { ResponseSink } from './response-sink.js';
import type { Answer } from './call.js';
import { sendError } from './error-answer.js';
import { headerValue, messageHeaders, parseMilliseconds, type HeaderList } from './headers.js';
import { createMalformedRequestListener } from './malformed-request.js';
import type { ConnectionEndReason } from './connection-end.js';
import { areHeadersWritable, isTargetWritable } from './message-head.js';
import type { ProxyLimits } from './proxy-limits.js';
import { BadRequestError, type RequestError } from './request-error.js';
import { MACHINE_TIME } from './scheduler.js';
import type { CallerReply } from './request-context.js';

/** Interval at which connections are checked against their timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Timeout for receiving a complete request head, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Idle timeout of callers' connections, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** A caller's request, apart from its body. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly host: string;
  /** The caller's id for the request; undefined if the protocol has none. */
  readonly requestId: string | undefined;
  readonly headers: HeaderList;
  /** Time left as given by the caller, in milliseconds; undefined if it gives none. */
  readonly timeoutMs: number | undefined;
  /**
   * Time for which the request waited for earlier answers on its connection, in milliseconds; it reduces the time left.
   * If reading from the connection was paused, the longest time for which the request may have been unread is included.
   */
  readonly waitedMs: number;
  /** Retries allowed by the caller; undefined if it gives none. */
  readonly retries: number | undefined;
  /** The caller's idempotency key; undefined if it gives none. */
  readonly idempotencyKey: string | undefined;
  /** The message, from which the body is read. */
  readonly message: IncomingMessage;
}

/** The caller's side of one exchange. */
export class CallerResponse implements CallerReply {
  private sink: ResponseSink | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly request: IncomingMessage,
    private readonly options: CallerServerOptions,
    private readonly connections: CallerConnections,
  ) {}

  /** Forwards an endpoint's answer; buffers it in full if it has up to `maxBufferedBytes`. */
  answer(
    answer: Answer,
    requestId: string,
    maxBufferedBytes: number,
    observer: AnswerObserver,
  ): void {
    const headers = answer.headers.concat(this.options.protocol.answerHeaders(requestId));
    const { shutdownBuffering } = this.options;
    const buffering = { maxBufferedBytes, ...(shutdownBuffering && { shutdownBuffering }) };
    const sink = new ResponseSink(this.response, () => this.closeWhenStopping());
    this.sink = sink;
    this.connections.trackBufferedBytes(this.response, () => sink.bufferedBytes);
    forwardAnswer(answer, sink, headers, buffering, observer);
  }

  /** Reports an error. If the request body is still arriving, the connection is closed after the answer. */
  fail(error: RequestError, verdict: Verdict, requestId: string): void {
    if (this.hasBegun() || this.response.destroyed) {
      this.breakConnection();
      return;
    }
    this.closeWhenStopping();
    if (!this.request.complete) {
      this.closeAfterAnswer();
    }
    this.options.onError(error.code);
    const answer = this.options.protocol.errorAnswer(error, verdict, requestId);
    sendError(this.response, answer);
  }

  hasBegun(): boolean {
    return this.sink?.headersSent ?? this.response.headersSent;
  }

  /** Aborts the connection, so that the caller can't mistake the answer for a complete one. */
  breakConnection(): void {
    this.connections.abortAnswer(this.request.socket, this.response);
  }

  /**
   * Closes the connection after this answer during shutdown, so that the caller's next request goes to another node.
   * If later requests are pending on the connection, it stays open, since closing it would lose them.
   */
  private closeWhenStopping(): void {
    const { request, response, connections } = this;
    if (this.options.isStopping() && !connections.hasLaterRequest(request.socket, response)) {
      this.closeAfterAnswer();
    }
  }

  private closeAfterAnswer(): void {
    const { socket } = this.request;
    this.response.shouldKeepAlive = false;
    this.connections.markClosing(socket);
  }

  /** Calls `action` once the exchange has ended; `isComplete` if the answer was sent in full. */
  onClose(action: (isComplete: boolean, reason?: ConnectionEndReason) => void): void {
    this.connections.onClose(this.request.socket, this.response, action);
  }
}

/** Options of the server, provided by its node. */
export interface CallerServerOptions {
  readonly protocol: CallerProtocol;
  readonly limits: ProxyLimits;
  /** Whether connections should be closed after their answer. */
  readonly isStopping: () => boolean;
  /** Buffers answers during shutdown; they are not buffered for that reason when absent. */
  readonly shutdownBuffering?: ShutdownBuffering;
  /** Called with the code of every error answer. */
  readonly onError: (code: string) => void;
  /** The connections of the server; their owner may close them. */
  readonly connections?: CallerConnections;
  readonly handle: (request: CallerRequest, response: CallerResponse) => void;
  /** Generates the id of a request that is refused before it reaches `handle`. */
  readonly nextRequestId: () => string;
}

/** Creates the server; the caller of this function calls `listen`. */
export function createCallerServer(options: CallerServerOptions): http.Server {
  const server = http.createServer({
    maxHeaderSize: options.limits.maxHeaderBytes,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    // Checked in `validateRequest`, so that the answer carries a verdict.
    requireHostHeader: false,
  });
  const { connections = new CallerConnections() } = options;
  server.on('connection', (socket) => connections.opened(socket));
  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    if (connections.isClosing(request.socket)) {
      // It must not run, since it could not be answered.
      request.resume();
      return;
    }
    connections.exchangeStarted(request.socket, response);
    const { socket } = request;
    const unreadMs = connections.unreadMs(socket);
    const readAtMs = MACHINE_TIME.now();
    connections.whenBelowBufferLimit(socket, () => {
      if (connections.isClosing(socket)) {
        request.resume();
        return;
      }
      const waitedMs = unreadMs + MACHINE_TIME.now() - readAtMs;
      handleRequest(options, connections, request, response, waitedMs);
    });
  };
  server.on('request', onRequest);
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    if (!connections.isClosing(request.socket)) {
      response.writeContinue();
    }
    onRequest(request, response);
  });
  server.on('checkExpectation', onRequest);
  server.on('timeout', (socket: Socket) => void connections.closeIfIdle(socket));
  server.on('clientError', createMalformedRequestListener(connections));
  return server;
}

function handleRequest(
  options: CallerServerOptions,
  connections: CallerConnections,
  request: IncomingMessage,
  response: ServerResponse,
  waitedMs: number,
): void {
  response.on('error', () => response.destroy());
  const callerResponse = new CallerResponse(response, request, options, connections);
  const error = validateRequest(request, options.protocol);
  if (error !== undefined) {
    request.resume();
    callerResponse.fail(error, error.verdict, options.nextRequestId());
    return;
  }
  options.handle(readRequest(request, options.protocol, waitedMs), callerResponse);
}

/** The error for a request that can't be forwarded; undefined for a valid one. */
function validateRequest(
  request: IncomingMessage,
  protocol: CallerProtocol,
): BadRequestError | undefined {
  if (request.httpVersion !== '1.1') {
    return new BadRequestError('expected HTTP/1.1', 505);
  }
  if (request.headers.host === undefined) {
    return new BadRequestError('expected a Host header');
  }
  const { expect } = request.headers;
  if (expect !== undefined && expect.toLowerCase() !== '100-continue') {
    return new BadRequestError('expected 100-continue as the only expectation', 417);
  }
  if (!isTargetWritable(request.url ?? '')) {
    return new BadRequestError('expected a request target that is a path');
  }
  if (!areHeadersWritable(request.rawHeaders)) {
    return new BadRequestError('expected header names without spaces');
  }
  const deadline = headerValue(request.rawHeaders, protocol.deadlineHeader);
  if (deadline !== undefined && parseMilliseconds(deadline) === undefined) {
    return new BadRequestError(`expected whole milliseconds in ${protocol.deadlineHeader}`);
  }
  const keyLength = optionalHeader(request, protocol.idempotencyKeyHeader)?.length ?? 1;
  if (keyLength < 1 || keyLength > MAX_KEY_LENGTH) {
    return new BadRequestError(`expected 1 to ${MAX_KEY_LENGTH} characters in idempotency-key`);
  }
  return undefined;
}

function readRequest(
  request: IncomingMessage,
  protocol: CallerProtocol,
  waitedMs: number,
): CallerRequest {
  const { rawHeaders } = request;
  const target = request.url ?? '/';
  const queryIndex = target.indexOf('?');
  return {
    method: request.method ?? '',
    target,
    path: queryIndex < 0 ? target : target.slice(0, queryIndex),
    host: request.headers.host ?? '',
    requestId: optionalHeader(request, protocol.requestIdHeader),
    headers: messageHeaders(rawHeaders, protocol.droppedHeaders).concat(protocol.addedHeaders),
    timeoutMs: parseMilliseconds(headerValue(rawHeaders, protocol.deadlineHeader)),
    waitedMs,
    retries: parseMilliseconds(optionalHeader(request, protocol.retriesHeader)),
    idempotencyKey: optionalHeader(request, protocol.idempotencyKeyHeader),
    message: request,
  };
}

function optionalHeader(request: IncomingMessage, name: string | undefined): string | undefined {
  return name === undefined ? undefined : headerValue(request.rawHeaders, name);
}

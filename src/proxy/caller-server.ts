/**
 * Takes requests from callers, in the words of a {@link CallerProtocol}. In the product's own, a
 * caller may send `x-deadline-ms` (time left, in milliseconds), `ferryspool-retries` (attempts after
 * the first that may still be made) and `idempotency-key`; every answer carries `ferryspool-verdict`
 * and `ferryspool-request-id`.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_KEY_LENGTH } from '../claims/claim-terms.js';
import type { Verdict } from '../model/verdict.js';
import type { AnswerCollection } from './answer-collection.js';
import { CallerConnections } from './caller-connections.js';
import type { CallerProtocol } from './caller-protocol.js';
import { passAnswer, type AnswerObserver } from './answer-relay.js';
import { ResponseSink } from './response-sink.js';
import type { Answer } from './call.js';
import { sendError } from './error-answer.js';
import { headerValue, messageHeaders, parseMilliseconds, type HeaderList } from './headers.js';
import { createMalformedRequestListener } from './malformed-request.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { ProxyLimits } from './proxy-limits.js';
import { BadRequestError, type RequestError } from './request-error.js';
import { MACHINE_TIME } from './scheduler.js';
import type { CallerReply } from './request-context.js';

/** Most time between two looks for connections that are over a time limit, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Time for a whole request head, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Idle connections of callers are kept for this time, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** A caller's request, apart from its body. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly host: string;
  /** The caller's name for the request; undefined where the protocol has none. */
  readonly requestId: string | undefined;
  readonly headers: HeaderList;
  /** Time left by the caller's word, in milliseconds; undefined when it names none. */
  readonly timeoutMs: number | undefined;
  /**
   * Time for which it waited behind answers of its connection, in milliseconds: it has that much less left. Where the
   * connection was not read, the longest time for which it may have lain there.
   */
  readonly waitedMs: number;
  /** Attempts after the first by the caller's word; undefined when it names none. */
  readonly retries: number | undefined;
  /** The caller's idempotency key; undefined when it names none. */
  readonly idempotencyKey: string | undefined;
  /** The message, for its body. */
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

  /** Passes an endpoint's answer on; holds it whole where it has up to `holdBytes`. */
  answer(answer: Answer, requestId: string, holdBytes: number, observer: AnswerObserver): void {
    const headers = answer.headers.concat(this.options.protocol.answerHeaders(requestId));
    const { collection } = this.options;
    const holding = { holdBytes, ...(collection && { collection }) };
    const sink = new ResponseSink(this.response, () => this.closeWhenStopping());
    this.sink = sink;
    this.connections.answerWaits(this.response, () => sink.bufferedBytes);
    passAnswer(answer, sink, headers, holding, observer);
  }

  /** Reports an error. A body that is still arriving ends with the connection. */
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

  /** Breaks the connection, so that the caller can't take the answer for a whole one. */
  breakConnection(): void {
    this.connections.breakOff(this.request.socket, this.response);
  }

  /**
   * Hands the caller over: its next request goes to another node. Requests that came behind this one
   * are answered first: the connection would close under them.
   */
  private closeWhenStopping(): void {
    const { request, response, connections } = this;
    if (this.options.isStopping() && !connections.hasRequestBehind(request.socket, response)) {
      this.closeAfterAnswer();
    }
  }

  private closeAfterAnswer(): void {
    const { socket } = this.request;
    this.response.shouldKeepAlive = false;
    this.connections.closesAfterAnswer(socket);
  }

  /** Calls `action` once the exchange is over; `isWhole` when the answer went out in full. */
  onClose(action: (isWhole: boolean, reason?: ConnectionEndReason) => void): void {
    this.connections.onClose(this.request.socket, this.response, action);
  }
}

/** What the server needs of its node. */
export interface CallerServerOptions {
  readonly protocol: CallerProtocol;
  readonly limits: ProxyLimits;
  /** Whether connections should be closed after their answer. */
  readonly isStopping: () => boolean;
  /** Reads answers to their ends while the node stops; none does when absent. */
  readonly collection?: AnswerCollection;
  /** Told the code of every error answer. */
  readonly onError: (code: string) => void;
  /** The connections of the server; its owner may end them. */
  readonly connections?: CallerConnections;
  readonly handle: (request: CallerRequest, response: CallerResponse) => void;
  /** The identity of a request that is refused before it reaches `handle`. */
  readonly nextRequestId: () => string;
}

/** Makes the server; the caller listens on it. */
export function createCallerServer(options: CallerServerOptions): http.Server {
  const server = http.createServer({
    maxHeaderSize: options.limits.maxHeaderBytes,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    // Checked in `faultOf`, so that the answer carries a verdict.
    requireHostHeader: false,
  });
  const { connections = new CallerConnections() } = options;
  server.on('connection', (socket) => connections.opened(socket));
  const take = (request: IncomingMessage, response: ServerResponse): void => {
    if (connections.isClosing(request.socket)) {
      // It must not run: nobody could be told.
      request.resume();
      return;
    }
    connections.began(request.socket, response);
    const { socket } = request;
    const unreadMs = connections.unreadMs(socket);
    const readAtMs = MACHINE_TIME.now();
    connections.whenRoom(socket, () => {
      if (connections.isClosing(socket)) {
        request.resume();
        return;
      }
      const waitedMs = unreadMs + MACHINE_TIME.now() - readAtMs;
      handleRequest(options, connections, request, response, waitedMs);
    });
  };
  server.on('request', take);
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    if (!connections.isClosing(request.socket)) {
      response.writeContinue();
    }
    take(request, response);
  });
  server.on('checkExpectation', take);
  server.on('timeout', (socket: Socket) => void connections.closeUnused(socket));
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
  const fault = faultOf(request, options.protocol);
  if (fault !== undefined) {
    request.resume();
    callerResponse.fail(fault, fault.verdict, options.nextRequestId());
    return;
  }
  options.handle(readRequest(request, options.protocol, waitedMs), callerResponse);
}

/** What makes the request unfit to be passed on. */
function faultOf(request: IncomingMessage, protocol: CallerProtocol): BadRequestError | undefined {
  if (request.httpVersion !== '1.1') {
    return new BadRequestError('expected HTTP/1.1', 505);
  }
  if (request.headers.host === undefined) {
    return new BadRequestError('expected a Host header');
  }
  const { expect } = request.headers;
  if (expect !== undefined && expect.toLowerCase() !== '100-continue') {
    return new BadRequestError('expected no expectation but 100-continue', 417);
  }
  if (request.url?.startsWith('/') !== true) {
    return new BadRequestError('expected a request target that is a path');
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
  const queryAt = target.indexOf('?');
  return {
    method: request.method ?? '',
    target,
    path: queryAt < 0 ? target : target.slice(0, queryAt),
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

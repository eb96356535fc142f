/** Takes requests from other nodes for the endpoints that this node owns. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { CounterSink } from '../control/control-event.js';
import type { Endpoint } from '../model/resource.js';
import type { Snapshot } from '../model/snapshot.js';
import { VERDICT_HEADER } from '../model/verdict.js';
import { passAnswer } from './answer-relay.js';
import type { Answer, Attempt, Call, EndpointPath, LoadReport } from './call.js';
import { errorBody, nativeErrorHeaders } from './caller-protocol.js';
import { sendError } from './error-answer.js';
import { headerValue, messageHeaders, parseMilliseconds } from './headers.js';
import type { ProxyLimits } from './proxy-limits.js';
import {
  RELAY_CODE_HEADER,
  RELAY_DEADLINE_HEADER,
  RELAY_DRAINING_HEADER,
  RELAY_ENDPOINT_HEADER,
  RELAY_FAILURES_HEADER,
  RELAY_LOAD_HEADER,
  RELAY_REQUEST_ID_HEADER,
  RELAY_RETRIES_HEADER,
  RELAY_RETRY_AFTER_HEADER,
  RELAY_RETRYABLE_HEADER,
  RELAY_STOPPING_HEADER,
  RELAY_TOKEN_HEADER,
  RELAY_WORK_HEADER,
} from './relay-protocol.js';
import { parseWork } from './relay-work.js';
import { EMPTY_BODY, StreamedBody, type RequestBody } from './request-body.js';
import {
  BadRequestError,
  NodeStoppingError,
  TruncatedAnswerError,
  UnknownEndpointError,
  type RequestError,
} from './request-error.js';
import type { Scheduler } from './scheduler.js';

const FORBIDDEN_STATUS = 403;
const MAX_REQUEST_ID_LENGTH = 256;
/** Room for the headers between nodes, above those of the caller, in bytes. */
const RELAY_HEADER_BYTES = 4 * 1024;
/** Idle connections of peers are kept for this time, longer than peers keep them, in milliseconds. */
const KEEP_ALIVE_MS = 10_000;
/** Time after a pause in which the closing of old connections is read, in milliseconds. */
const WAKE_SETTLE_MS = 10;
/** What a node that takes no new work says of its endpoint. */
const NO_LOAD: LoadReport = { inFlight: 0, slots: 0, draining: false };
const PERCENT = 100;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** What the server needs of its node. */
export interface RelayServerOptions {
  readonly machineId: string;
  readonly limits: ProxyLimits;
  readonly counters: CounterSink;
  readonly scheduler: Scheduler;
  /** The machine identity that a token proves, or undefined. */
  readonly verifyToken: (token: string | undefined) => string | undefined;
  readonly snapshot: () => Snapshot | undefined;
  readonly endpoints: EndpointPath;
  /** Whether the process was paused until just now; see {@link ./pause-detector.ts}. */
  readonly hasJustWoken: () => boolean;
  /** Whether connections should be closed after their answer. */
  readonly isStopping: () => boolean;
  /** Whether new requests are refused, since the node is about to stop. */
  readonly refusesNewWork: () => boolean;
}

/** Makes the server; the caller listens on it. */
export function createRelayServer(options: RelayServerOptions): http.Server {
  const server = http.createServer(
    {
      maxHeaderSize: options.limits.maxHeaderBytes + RELAY_HEADER_BYTES,
      keepAliveTimeout: KEEP_ALIVE_MS,
      requestTimeout: 0,
    },
    (request, response) => takeRelayed(options, request, response),
  );
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    takeRelayed(options, request, response);
  });
  server.on('clientError', (_error, socket) => socket.destroy());
  return server;
}

/** After a pause of the process, requests wait until the closing of their connections would show. */
function takeRelayed(
  options: RelayServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (!options.hasJustWoken()) {
    handleRelayed(options, request, response);
    return;
  }
  options.scheduler.schedule(WAKE_SETTLE_MS, () => {
    if (!request.destroyed && !response.destroyed) {
      handleRelayed(options, request, response);
    }
  });
}

function handleRelayed(
  options: RelayServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.on('error', () => response.destroy());
  const sender = options.verifyToken(headerValue(request.rawHeaders, RELAY_TOKEN_HEADER));
  if (sender === undefined) {
    options.counters.add('ferryspool_relay_forbidden_total');
    response.writeHead(FORBIDDEN_STATUS, { Connection: 'close', 'Content-Length': 0 });
    response.end();
    return;
  }
  options.counters.add('ferryspool_relayed_requests_total');
  if (options.refusesNewWork()) {
    sendRelayError(response, new NodeStoppingError('the node is about to stop'), NO_LOAD, true);
    return;
  }
  const call = readCall(options, request, sender);
  if (call === undefined) {
    sendRelayError(response, new BadRequestError('malformed relay headers'));
    return;
  }
  const endpoint = ownedEndpoint(options, headerValue(request.rawHeaders, RELAY_ENDPOINT_HEADER));
  if (endpoint === undefined) {
    sendRelayError(response, new UnknownEndpointError('the endpoint is not of this node'));
    return;
  }
  submit(options, endpoint, call, response);
}

function submit(
  options: RelayServerOptions,
  endpoint: Endpoint,
  call: Call,
  response: ServerResponse,
): void {
  let isOver = false;
  const attempt: Attempt = options.endpoints.submit(endpoint, call, {
    answered: (answer) => {
      response.shouldKeepAlive &&= !options.isStopping();
      passAnswer(answer, response, answerHeaders(answer, options.isStopping()), 0, {
        whole: () => {
          isOver = true;
        },
        broken: (wasPassedOn) => {
          isOver = true;
          if (wasPassedOn) {
            response.destroy();
          } else {
            const error = new TruncatedAnswerError('the answer broke off');
            sendRelayError(response, error, answer.load, options.isStopping());
          }
        },
      });
    },
    failed: (error, load) => {
      isOver = true;
      response.shouldKeepAlive &&= !options.isStopping();
      sendRelayError(response, error, load, options.isStopping());
    },
  });
  response.once('close', () => {
    if (!isOver) {
      attempt.abort();
    }
  });
}

function readCall(
  options: RelayServerOptions,
  request: IncomingMessage,
  sender: string,
): Call | undefined {
  const { rawHeaders } = request;
  const requestId = headerValue(rawHeaders, RELAY_REQUEST_ID_HEADER);
  const remainingMs = parseMilliseconds(headerValue(rawHeaders, RELAY_DEADLINE_HEADER));
  const retries = parseMilliseconds(headerValue(rawHeaders, RELAY_RETRIES_HEADER));
  const isValidId = requestId !== undefined && requestId.length <= MAX_REQUEST_ID_LENGTH;
  if (!isValidId || remainingMs === undefined || retries === undefined) {
    return undefined;
  }
  const nowMs = options.scheduler.now();
  return {
    ...parseWork(headerValue(rawHeaders, RELAY_WORK_HEADER), nowMs),
    requestId,
    method: request.method ?? '',
    target: request.url ?? '',
    headers: messageHeaders(rawHeaders, NO_HEADERS),
    body: relayedBody(request, options.limits.maxBodyBytes),
    deadlineAtMs: nowMs + remainingMs,
    callerNode: sender,
    retriesLeft: Math.min(retries, options.limits.maxRetries),
  };
}

function relayedBody(request: IncomingMessage, maxBytes: number): RequestBody {
  const lengthText = request.headers['content-length'];
  if (lengthText !== undefined) {
    return new StreamedBody(request, Number(lengthText), [], maxBytes);
  }
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  return isChunked ? new StreamedBody(request, undefined, [], maxBytes) : EMPTY_BODY;
}

function ownedEndpoint(
  options: RelayServerOptions,
  reference: string | undefined,
): Endpoint | undefined {
  const [service = '', name = ''] = (reference ?? '').split('/');
  const endpoints = options.snapshot()?.endpointsByService.get(service);
  return endpoints?.find(
    (endpoint) => endpoint.name === name && endpoint.spec.machine === options.machineId,
  );
}

function answerHeaders(answer: Answer, isStopping: boolean): string[] {
  return answer.headers.concat(VERDICT_HEADER, 'ran', loadHeaders(answer.load, isStopping));
}

function sendRelayError(
  response: ServerResponse,
  error: RequestError,
  load?: LoadReport,
  isStopping = false,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const headers = [RELAY_CODE_HEADER, error.code, ...loadHeaders(load, isStopping)];
  if (error.retryable) {
    headers.push(RELAY_RETRYABLE_HEADER, '1');
  }
  if (error.retryAfterMs !== undefined) {
    headers.push(RELAY_RETRY_AFTER_HEADER, String(Math.ceil(error.retryAfterMs)));
  }
  sendError(response, {
    status: error.status,
    headers: nativeErrorHeaders(error, error.verdict, headers),
    body: errorBody(error.code, error.message, error.verdict),
  });
}

function loadHeaders(load: LoadReport | undefined, isStopping: boolean): string[] {
  if (load === undefined) {
    return [];
  }
  const headers = [RELAY_LOAD_HEADER, `${load.inFlight}/${load.slots}`];
  const draining = load.draining ? [RELAY_DRAINING_HEADER, '1'] : [];
  const stopping = isStopping ? [RELAY_STOPPING_HEADER, '1'] : [];
  const failedPercent = Math.round((load.failureShare ?? 0) * PERCENT);
  const failures = failedPercent > 0 ? [RELAY_FAILURES_HEADER, String(failedPercent)] : [];
  return headers.concat(draining, stopping, failures);
}

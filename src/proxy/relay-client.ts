/** Sends an attempt to the node beside the endpoint. */
import type { IncomingMessage } from 'node:http';
import type { Endpoint } from '../model/resource.js';
import { isVerdict, VERDICT_HEADER } from '../model/verdict.js';
import type { Attempt, AttemptObserver, Call, EndpointPath, LoadReport } from './call.js';
import { contentLengthOf } from './endpoint-client.js';
import { messageHeaders, parseMilliseconds } from './headers.js';
import {
  ExchangeAgent,
  startExchange,
  type ExchangeFailure,
  type ExchangeLimits,
} from './http-exchange.js';
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
import { formatWork } from './relay-work.js';
import {
  ConnectionLostError,
  MalformedAnswerError,
  RelayedError,
  UnreachableError,
  type RequestError,
} from './request-error.js';
import type { Scheduler } from './scheduler.js';

const NO_HEADERS: ReadonlySet<string> = new Set();
const PERCENT = 100;

/** Where a peer takes relayed requests. */
export interface RelayAddress {
  readonly address: string;
  readonly port: number;
}

/** What the client needs of its node. */
export interface RelayClientOptions {
  readonly limits: ExchangeLimits;
  readonly scheduler: Scheduler;
  /** A token that is valid now; undefined where the fleet has no key. */
  readonly token: () => string | undefined;
  readonly addressOf: (endpoint: Endpoint) => RelayAddress | undefined;
}

/** Connections to the relay ports of peers. */
export class RelayClient implements EndpointPath {
  private readonly agent = new ExchangeAgent();

  constructor(private readonly options: RelayClientOptions) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const address = this.options.addressOf(endpoint);
    if (address === undefined) {
      observer.failed(new UnreachableError(`the node of endpoint ${endpoint.name} is unknown`));
      return { abort: () => undefined };
    }
    const request = {
      host: address.address,
      port: address.port,
      method: call.method,
      target: call.target,
      headers: this.headersOf(endpoint, call),
      body: call.body,
      limits: this.options.limits,
    };
    return startExchange(this.agent, request, {
      answered: (message, isWhole) => takeAnswer(message, isWhole, observer),
      failed: (failure) => observer.failed(errorOf(failure, endpoint)),
    });
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private headersOf(endpoint: Endpoint, call: Call): string[] {
    const remainingMs = Math.max(0, Math.floor(call.deadlineAtMs - this.options.scheduler.now()));
    const token = this.options.token();
    return call.headers.concat(
      token === undefined ? [] : [RELAY_TOKEN_HEADER, token],
      RELAY_ENDPOINT_HEADER,
      `${endpoint.spec.service}/${endpoint.name}`,
      RELAY_REQUEST_ID_HEADER,
      call.requestId,
      RELAY_DEADLINE_HEADER,
      String(remainingMs),
      RELAY_RETRIES_HEADER,
      String(call.retriesLeft),
      RELAY_WORK_HEADER,
      formatWork(call, this.options.scheduler.now()),
    );
  }
}

function takeAnswer(
  message: IncomingMessage,
  isWhole: () => boolean,
  observer: AttemptObserver,
): void {
  const verdict = message.headers[VERDICT_HEADER];
  const load = parseLoad(message);
  if (!isVerdict(verdict)) {
    message.destroy();
    observer.failed(new MalformedAnswerError('the peer answered without a verdict'));
    return;
  }
  const code = message.headers[RELAY_CODE_HEADER];
  const status = message.statusCode ?? 0;
  if (typeof code === 'string') {
    message.resume();
    const retryAfterMs = parseMilliseconds(headerText(message, RELAY_RETRY_AFTER_HEADER));
    const retryable = message.headers[RELAY_RETRYABLE_HEADER] === '1';
    const failure = {
      code,
      verdict,
      retryable,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    };
    observer.failed(new RelayedError(failure, status, `the endpoint's node reports ${code}`), load);
    return;
  }
  observer.answered({
    status,
    headers: messageHeaders(message.rawHeaders, NO_HEADERS),
    stream: message,
    isWhole,
    contentLength: contentLengthOf(message),
    load,
  });
}

function errorOf(failure: ExchangeFailure, endpoint: Endpoint): RequestError {
  const node = `the node of endpoint ${endpoint.name}`;
  switch (failure) {
    case 'never-sent':
      return new UnreachableError(`no connection to ${node}`);
    case 'lost':
      return new ConnectionLostError(`the connection to ${node} was lost`);
    case 'malformed':
      return new MalformedAnswerError(`the answer of ${node} is malformed`);
  }
}

function parseLoad(message: IncomingMessage): LoadReport | undefined {
  const match = /^([0-9]{1,9})\/([0-9]{1,9})$/.exec(headerText(message, RELAY_LOAD_HEADER) ?? '');
  if (match === null) {
    return undefined;
  }
  const draining = message.headers[RELAY_DRAINING_HEADER] === '1';
  const isNodeStopping = message.headers[RELAY_STOPPING_HEADER] === '1';
  const failedPercent = Number(headerText(message, RELAY_FAILURES_HEADER) ?? 0);
  const failureShare = failedPercent >= 0 ? Math.min(1, failedPercent / PERCENT) : 0;
  const [, inFlight, slots] = match.map(Number);
  return { inFlight: inFlight ?? 0, slots: slots ?? 0, draining, isNodeStopping, failureShare };
}

function headerText(message: IncomingMessage, lowerName: string): string | undefined {
  const value = message.headers[lowerName];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Client of endpoints: the only place that knows their header names, their refusal before a start
 * and their cancellation.
 */
import type { IncomingMessage } from 'node:http';
import type { Endpoint } from '../model/resource.js';
import type { Answer, Call, LoadReport } from './call.js';
import { messageHeaders, parseMilliseconds } from './headers.js';
import {
  ExchangeAgent,
  startExchange,
  type Exchange,
  type ExchangeFailure,
  type ExchangeLimits,
} from './http-exchange.js';
import { EMPTY_BODY } from './request-body.js';

const REQUEST_ID_HEADER = 'x-request-id';
const DEADLINE_HEADER = 'x-deadline-ms';
const HEALTH_TARGET = '/health';
const RETRIES_HEADER = 'ferryspool-retries';
const NOT_STARTED_HEADER = 'x-not-started';
const LOAD_HEADER = 'x-load';
const DRAINING_HEADER = 'x-draining';
/** Headers of answers that are meant for the node alone. */
const NODE_HEADERS: ReadonlySet<string> = new Set([
  REQUEST_ID_HEADER,
  NOT_STARTED_HEADER,
  LOAD_HEADER,
  DRAINING_HEADER,
]);
/** Statuses of refusals: no room or a drain, and a deadline that is too near. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([503, 504]);
/** Connections to one endpoint for cancellations and health, besides those for requests. */
const MAX_CONTROL_CONNECTIONS = 4;
const MAX_CANCEL_ANSWER_BYTES = 1_024;

/** What an endpoint says of a cancelled request. */
export type CancelOutcome =
  /** It had not started and never will. */
  | 'not-started'
  /** It had started and was stopped without effect. */
  | 'cancelled'
  /** It had run to its end. */
  | 'finished'
  /** The endpoint does not know it; it will never start from now on. */
  | 'unknown'
  /** No confirmation could be had. */
  | 'unconfirmed';

/** Gets the endpoint's reaction: exactly one of the three, once, unless the exchange is aborted. */
export interface EndpointObserver {
  answered(answer: Answer): void;
  /** The endpoint refused the request before it started. */
  refused(load: LoadReport | undefined, retryAfterMs: number | undefined): void;
  failed(failure: ExchangeFailure): void;
}

/** What a node needs of endpoints. */
export interface EndpointPort {
  /** Sends `call`; `remainingMs` is the time left to the endpoint. */
  send(endpoint: Endpoint, call: Call, remainingMs: number, observer: EndpointObserver): Exchange;
  /** Asks the endpoint to cancel; reports once, with `unconfirmed` after `timeoutMs`. */
  cancel(
    endpoint: Endpoint,
    requestId: string,
    timeoutMs: number,
    report: (outcome: CancelOutcome) => void,
  ): void;
  /**
   * Asks whether the endpoint still says that it drains; reports undefined without an answer. What
   * it says of its health is not considered: requests show that.
   */
  probeDraining(endpoint: Endpoint, report: (isDraining: boolean | undefined) => void): void;
}

/** Connections to the endpoints that a node reaches itself. */
export class EndpointClient implements EndpointPort {
  private readonly agent = new ExchangeAgent();
  /** Cancellations must not wait behind the requests that they cancel. */
  private readonly controlAgent = new ExchangeAgent(MAX_CONTROL_CONNECTIONS);

  constructor(private readonly limits: ExchangeLimits) {}

  send(endpoint: Endpoint, call: Call, remainingMs: number, observer: EndpointObserver): Exchange {
    const headers = call.headers.concat(
      REQUEST_ID_HEADER,
      call.requestId,
      DEADLINE_HEADER,
      String(Math.max(1, Math.floor(remainingMs))),
      RETRIES_HEADER,
      String(call.retriesLeft),
    );
    const request = {
      host: endpoint.spec.address,
      port: endpoint.spec.port,
      method: call.method,
      target: call.target,
      headers,
      body: call.body,
      limits: this.limits,
    };
    return startExchange(this.agent, request, {
      answered: (message) => this.takeAnswer(message, call, observer),
      failed: (failure) => observer.failed(failure),
    });
  }

  cancel(
    endpoint: Endpoint,
    requestId: string,
    timeoutMs: number,
    report: (outcome: CancelOutcome) => void,
  ): void {
    const { address, port } = endpoint.spec;
    const request = {
      host: address,
      port,
      method: 'POST',
      target: `/cancel/${encodeURIComponent(requestId)}`,
      headers: ['Host', `${address}:${port}`, 'Content-Length', '0'],
      body: EMPTY_BODY,
      limits: { ...this.limits, connectTimeoutMs: timeoutMs },
    };
    const settle = once((outcome: CancelOutcome) => {
      clearTimeout(timer);
      report(outcome);
    });
    const timer = setTimeout(() => {
      exchange.abort();
      settle('unconfirmed');
    }, timeoutMs);
    const exchange = startExchange(this.controlAgent, request, {
      answered: (message) => readCancelAnswer(message, settle),
      failed: () => settle('unconfirmed'),
    });
  }

  probeDraining(endpoint: Endpoint, report: (isDraining: boolean | undefined) => void): void {
    const { address, port } = endpoint.spec;
    const request = {
      host: address,
      port,
      method: 'GET',
      target: HEALTH_TARGET,
      headers: ['Host', `${address}:${port}`],
      body: EMPTY_BODY,
      limits: this.limits,
    };
    const exchange = startExchange(this.controlAgent, request, {
      answered: (message) => {
        clearTimeout(timer);
        message.resume();
        report(parseLoad(message)?.draining === true);
      },
      failed: () => {
        clearTimeout(timer);
        report(undefined);
      },
    });
    const timer = setTimeout(() => {
      exchange.abort();
      report(undefined);
    }, this.limits.connectTimeoutMs);
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
    this.controlAgent.destroy();
  }

  private takeAnswer(message: IncomingMessage, call: Call, observer: EndpointObserver): void {
    const { headers } = message;
    const answeredId = headers[REQUEST_ID_HEADER];
    if (answeredId !== undefined && answeredId !== call.requestId) {
      message.destroy();
      observer.failed('malformed');
      return;
    }
    const status = message.statusCode ?? 0;
    const load = parseLoad(message);
    if (REFUSED_STATUSES.has(status) && headers[NOT_STARTED_HEADER] === '1') {
      message.resume();
      observer.refused(load, parseRetryAfter(headers['retry-after']));
      return;
    }
    observer.answered({
      status,
      headers: messageHeaders(message.rawHeaders, NODE_HEADERS),
      stream: message,
      contentLength: contentLengthOf(message),
      load,
    });
  }
}

/** The declared length of an answer; undefined for a chunked one. */
export function contentLengthOf(message: IncomingMessage): number | undefined {
  const text = message.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** `Retry-After` in milliseconds; dates are not taken. */
export function parseRetryAfter(text: string | undefined): number | undefined {
  const seconds = parseMilliseconds(text);
  return seconds === undefined ? undefined : seconds * 1_000;
}

function parseLoad(message: IncomingMessage): LoadReport | undefined {
  const { headers } = message;
  const text = headers[LOAD_HEADER];
  const draining = headers[DRAINING_HEADER] === '1';
  const match = typeof text === 'string' ? /^([0-9]{1,9})\/([0-9]{1,9})$/.exec(text) : null;
  if (match === null) {
    return draining ? { inFlight: 0, slots: 0, draining } : undefined;
  }
  return { inFlight: Number(match[1]), slots: Number(match[2]), draining };
}

function readCancelAnswer(
  message: IncomingMessage,
  report: (outcome: CancelOutcome) => void,
): void {
  let text = '';
  message.setEncoding('utf8');
  message.on('data', (chunk: string) => {
    text += chunk;
    if (text.length > MAX_CANCEL_ANSWER_BYTES) {
      message.destroy();
    }
  });
  message.on('close', () => {
    const isWhole = message.complete && message.statusCode === 200;
    report(isWhole ? parseCancelOutcome(text) : 'unconfirmed');
  });
  message.on('error', () => report('unconfirmed'));
}

function parseCancelOutcome(text: string): CancelOutcome {
  try {
    const value = JSON.parse(text) as { outcome?: unknown } | null;
    const outcome = value?.outcome;
    const isKnown =
      outcome === 'not-started' ||
      outcome === 'cancelled' ||
      outcome === 'finished' ||
      outcome === 'unknown';
    return isKnown ? outcome : 'unconfirmed';
  } catch {
    return 'unconfirmed';
  }
}

function once<Argument>(action: (argument: Argument) => void): (argument: Argument) => void {
  let isDone = false;
  return (argument) => {
    if (!isDone) {
      isDone = true;
      action(argument);
    }
  };
}

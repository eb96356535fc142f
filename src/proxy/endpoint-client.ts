/** Client of endpoints, in the words of an {@link EndpointProtocol}. */
import http, { type IncomingMessage } from 'node:http';
import net from 'node:net';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { Answer, Call, LoadReport } from './call.js';
import type { AnswerReading, EndpointProtocol } from './endpoint-protocol.js';
import {
  ExchangeAgent,
  startExchange,
  type Exchange,
  type ExchangeFailure,
  type ExchangeLimits,
  type ExchangeRequest,
} from './http-exchange.js';
import { EMPTY_BODY } from './request-body.js';

/** How long the kept connections of an endpoint are distrusted after a fault of one, in milliseconds. */
const DISTRUST_MS = 3_000;
/** Connections to one endpoint for cancellations and health, besides those for requests. */
const MAX_CONTROL_CONNECTIONS = 4;
const MAX_CANCEL_ANSWER_BYTES = 1_024;
/** Longest answer that can be told to another node; a longer one is malformed. */
const MAX_ANSWER_BYTES = 2 ** 50;

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
  refused(
    load: LoadReport | undefined,
    retryAfterMs: number | undefined,
    isOtherEndpoint: boolean,
  ): void;
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
  /**
   * Asks whether a process listens at the endpoint's address, by a connection on which nothing is said;
   * reports undefined where that can't be told in time.
   */
  probeListening(endpoint: Endpoint, report: (isListening: boolean | undefined) => void): void;
}

/** Bounds of the exchanges with endpoints, in milliseconds. */
export interface EndpointClientLimits extends ExchangeLimits {
  /** Time for which an idle connection is kept for another request. */
  readonly maxIdleEndpointConnectionMs: number;
}

/** Connections to the endpoints that a node reaches itself. */
export class EndpointClient implements EndpointPort {
  /** Until when each incarnation gets a new connection for each request, on the monotonic clock. */
  private readonly distrustedUntilMs = new Map<string, number>();
  private readonly unsharedAgent = new http.Agent({ keepAlive: false });
  private readonly agent: ExchangeAgent;
  /** Cancellations must not wait behind the requests that they cancel. */
  private readonly controlAgent = new ExchangeAgent(MAX_CONTROL_CONNECTIONS);

  constructor(
    private readonly limits: EndpointClientLimits,
    private readonly protocol: EndpointProtocol,
  ) {
    this.agent = new ExchangeAgent(Infinity, limits.maxIdleEndpointConnectionMs);
  }

  send(endpoint: Endpoint, call: Call, remainingMs: number, observer: EndpointObserver): Exchange {
    const added = this.protocol.requestHeaders(endpoint, call, remainingMs);
    const request = {
      ...placeOf(endpoint),
      method: call.method,
      target: call.target,
      headers: call.headers.concat(added),
      body: call.body,
      limits: this.limits,
      allowsUnframedAnswer: this.protocol.allowsUnframedAnswers,
    };
    return startExchange(this.agentFor(endpoint), request, {
      answered: (message, isWhole) => this.takeAnswer(message, isWhole, endpoint, call, observer),
      failed: (failure, wasReused) => {
        if (failure === 'lost' && wasReused) {
          this.distrust(endpoint);
        }
        observer.failed(failure);
      },
    });
  }

  cancel(
    endpoint: Endpoint,
    requestId: string,
    timeoutMs: number,
    report: (outcome: CancelOutcome) => void,
  ): void {
    const target = this.protocol.cancelTarget(requestId);
    if (target === undefined) {
      report('unconfirmed');
      return;
    }
    const { address, port } = endpoint.spec;
    const request = {
      ...placeOf(endpoint),
      method: 'POST',
      target,
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
    const target = this.protocol.drainProbeTarget;
    if (target === undefined) {
      report(undefined);
      return;
    }
    const { address, port } = endpoint.spec;
    const request = {
      ...placeOf(endpoint),
      method: 'GET',
      target,
      headers: ['Host', `${address}:${port}`],
      body: EMPTY_BODY,
      limits: this.limits,
    };
    const exchange = startExchange(this.controlAgent, request, {
      answered: (message) => {
        clearTimeout(timer);
        message.resume();
        report(this.protocol.readDraining(message));
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

  probeListening({ spec }: Endpoint, report: (isListening: boolean | undefined) => void): void {
    const settle = once((isListening: boolean | undefined) => {
      clearTimeout(timer);
      socket.destroy();
      report(isListening);
    });
    const socket = net.connect({ host: spec.address, port: spec.port });
    const timer = setTimeout(() => settle(undefined), this.limits.connectTimeoutMs);
    socket.once('connect', () => settle(true));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      settle(code === 'ECONNREFUSED' ? false : undefined);
    });
  }

  /**
   * An endpoint that gave an answer to another request may have more of them on the way, and one that
   * dropped a kept connection may have dropped others: for a while, each of its requests gets a
   * connection of its own.
   */
  private distrust(endpoint: Endpoint): void {
    const nowMs = MACHINE_CLOCK.now();
    for (const [incarnation, untilMs] of this.distrustedUntilMs) {
      if (untilMs <= nowMs) {
        this.distrustedUntilMs.delete(incarnation);
      }
    }
    this.distrustedUntilMs.set(incarnationOf(endpoint), nowMs + DISTRUST_MS);
  }

  private agentFor(endpoint: Endpoint): http.Agent {
    const untilMs = this.distrustedUntilMs.get(incarnationOf(endpoint)) ?? -Infinity;
    return MACHINE_CLOCK.now() < untilMs ? this.unsharedAgent : this.agent;
  }

  /** Closes all connections. */
  close(): void {
    this.unsharedAgent.destroy();
    this.agent.destroy();
    this.controlAgent.destroy();
  }

  private takeAnswer(
    message: IncomingMessage,
    isWhole: () => boolean,
    endpoint: Endpoint,
    call: Call,
    observer: EndpointObserver,
  ): void {
    const contentLength = contentLengthOf(message);
    const isTooLong = contentLength !== undefined && contentLength > MAX_ANSWER_BYTES;
    const reading: AnswerReading = isTooLong
      ? { kind: 'malformed' }
      : this.protocol.readAnswer(message, call);
    switch (reading.kind) {
      case 'malformed':
        this.distrust(endpoint);
        message.destroy();
        observer.failed('malformed');
        return;
      case 'refused':
        message.resume();
        observer.refused(reading.load, reading.retryAfterMs, reading.isOtherEndpoint);
        return;
      case 'answer':
        observer.answered({
          status: message.statusCode ?? 0,
          headers: reading.headers,
          body: { kind: 'streamed', stream: message, isWhole },
          contentLength,
          load: reading.load,
        });
    }
  }
}

/** Where an endpoint is reached; connections to an incarnation before are not used for it. */
function placeOf(endpoint: Endpoint): Pick<ExchangeRequest, 'host' | 'port' | 'peerProcess'> {
  const { address: host, port } = endpoint.spec;
  return { host, port, peerProcess: incarnationOf(endpoint) };
}

/** The declared length of an answer; undefined for a chunked one. */
function contentLengthOf(message: IncomingMessage): number | undefined {
  const text = message.headers['content-length'];
  return text === undefined ? undefined : Number(text);
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

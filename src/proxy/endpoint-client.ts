/** HTTP client for endpoints, over an {@link EndpointProtocol}. */
import http, { type IncomingMessage } from 'node:http';
import net from 'node:net';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import { discardBody } from '../wire/bounded-response.js';
import type { OverheadFault } from '../wire/response-overhead.js';
import type { AnswerStatement } from './answer-statement.js';
import type { Answer, Call, LoadReport } from './call.js';
import type { ParsedAnswer, EndpointProtocol } from './endpoint-protocol.js';
import {
  ExchangeAgent,
  startExchange,
  type BeforeSend,
  type Exchange,
  type ExchangeFailure,
  type ExchangeLimits,
  type ExchangeRequest,
} from './http-exchange.js';
import { answerHeadFault, type HeadFault } from './message-head.js';
import { EMPTY_BODY } from './request-body.js';

/** How long pooled connections to an endpoint are not reused after a fault on one of them, in milliseconds. */
const REUSE_SUSPENSION_MS = 3_000;
/** Connections to one endpoint for cancellations and health checks, in addition to those for requests. */
const MAX_CONTROL_CONNECTIONS = 4;
const MAX_CANCEL_ANSWER_BYTES = 1_024;
/** Largest answer length that can be announced to another node; a longer answer is treated as malformed. */
const MAX_ANSWER_BYTES = 2 ** 50;

/** The outcome of a cancellation, as reported by the endpoint. */
export type CancelOutcome =
  /** The request had not started and never will. */
  | 'not-started'
  /** The request had started and was stopped without effect. */
  | 'cancelled'
  /** The request had run to completion. */
  | 'finished'
  /** The endpoint does not know the request and will never start it. */
  | 'unknown'
  /** The endpoint did not confirm any outcome. */
  | 'unconfirmed';

/** Receives exactly one of `answered`, `refused` and `failed`, once, unless the exchange is aborted. */
export interface EndpointObserver {
  /** Called when the request is written to its connection. */
  sent?(): void;
  /** Called before `answered` or `refused` with what the answer states about the endpoint. */
  stated?(statement: AnswerStatement): void;
  answered(answer: Answer): void;
  /** The endpoint refused the request before it started. */
  refused(
    load: LoadReport | undefined,
    retryAfterMs: number | undefined,
    isOtherEndpoint: boolean,
  ): void;
  failed(failure: ExchangeFailure): void;
}

/** The operations that a node performs on endpoints. */
export interface EndpointConnector {
  /** Sends `call`; `remainingMs` is the time left for the endpoint. */
  send(endpoint: Endpoint, call: Call, remainingMs: number, observer: EndpointObserver): Exchange;
  /** Asks the endpoint to cancel the request; reports once, with `unconfirmed` after `timeoutMs`. */
  cancel(
    endpoint: Endpoint,
    requestId: string,
    timeoutMs: number,
    report: (outcome: CancelOutcome) => void,
  ): void;
  /**
   * Asks whether the endpoint still reports that it is draining; reports undefined without an answer. Its
   * reported health is ignored, since the outcome of requests shows it.
   */
  probeDraining(endpoint: Endpoint, report: (isDraining: boolean | undefined) => void): void;
  /**
   * Checks whether a process listens at the endpoint's address by opening a connection without sending data;
   * reports undefined if that can't be determined in time.
   */
  probeListening(endpoint: Endpoint, report: (isListening: boolean | undefined) => void): void;
}

/** Timeouts of the exchanges with endpoints, in milliseconds. */
export interface EndpointClientLimits extends ExchangeLimits {
  /** Idle timeout of a pooled connection. */
  readonly maxIdleEndpointConnectionMs: number;
}

/** Optional behaviour of the client. */
export interface EndpointClientOptions {
  /** See {@link ExchangeRequest.beforeSend}. */
  readonly beforeSend?: BeforeSend;
  /** Called when an answer is cut off because of bytes that are not part of its body. */
  readonly onOverhead?: (endpoint: Endpoint, fault: OverheadFault) => void;
  /** Called when the head of an answer is not one that can be passed on. */
  readonly onUnusableHead?: (endpoint: Endpoint, fault: HeadFault) => void;
}

/** Connections to the endpoints that a node reaches directly. */
export class EndpointClient implements EndpointConnector {
  /** By incarnation, until when each request gets a new connection, on the monotonic clock. */
  private readonly reuseSuspendedUntilMs = new Map<string, number>();
  private readonly singleUseAgent = new http.Agent({ keepAlive: false });
  private readonly agent: ExchangeAgent;
  /** Separate from the request connections: a cancellation must not be queued behind the request that it cancels. */
  private readonly controlAgent = new ExchangeAgent(MAX_CONTROL_CONNECTIONS);

  constructor(
    private readonly limits: EndpointClientLimits,
    private readonly protocol: EndpointProtocol,
    private readonly options: EndpointClientOptions = {},
  ) {
    this.agent = new ExchangeAgent(Infinity, limits.maxIdleEndpointConnectionMs);
  }

  send(endpoint: Endpoint, call: Call, remainingMs: number, observer: EndpointObserver): Exchange {
    const added = this.protocol.requestHeaders(endpoint, call, remainingMs);
    const { beforeSend, onOverhead } = this.options;
    const request = {
      ...destinationOf(endpoint),
      method: call.method,
      target: call.target,
      headers: call.headers.concat(added),
      body: call.body,
      limits: this.limits,
      remainingMs,
      onOverhead: (fault: OverheadFault) => onOverhead?.(endpoint, fault),
      allowsUnframedAnswer: this.protocol.allowsUnframedAnswers,
      ...(beforeSend && { beforeSend }),
    };
    return startExchange(this.agentFor(endpoint), request, {
      sent: () => observer.sent?.(),
      answered: (message, isComplete) =>
        this.handleAnswer(message, isComplete, endpoint, call, observer),
      failed: (failure, wasReused) => {
        if (failure === 'lost' && wasReused) {
          this.suspendReuse(endpoint);
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
      ...destinationOf(endpoint),
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
      ...destinationOf(endpoint),
      method: 'GET',
      target,
      headers: ['Host', `${address}:${port}`],
      body: EMPTY_BODY,
      limits: this.limits,
    };
    const exchange = startExchange(this.controlAgent, request, {
      answered: (message) => {
        clearTimeout(timer);
        discardBody(message);
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
   * Suspends connection reuse for a while, so that each request gets its own connection. An endpoint that sent an
   * answer to a different request may send more of them, and one that dropped a pooled connection may have dropped
   * others.
   */
  private suspendReuse(endpoint: Endpoint): void {
    const nowMs = MACHINE_CLOCK.now();
    for (const [incarnation, untilMs] of this.reuseSuspendedUntilMs) {
      if (untilMs <= nowMs) {
        this.reuseSuspendedUntilMs.delete(incarnation);
      }
    }
    this.reuseSuspendedUntilMs.set(incarnationOf(endpoint), nowMs + REUSE_SUSPENSION_MS);
  }

  private agentFor(endpoint: Endpoint): http.Agent {
    const untilMs = this.reuseSuspendedUntilMs.get(incarnationOf(endpoint)) ?? -Infinity;
    return MACHINE_CLOCK.now() < untilMs ? this.singleUseAgent : this.agent;
  }

  close(): void {
    this.singleUseAgent.destroy();
    this.agent.destroy();
    this.controlAgent.destroy();
  }

  private handleAnswer(
    message: IncomingMessage,
    isComplete: () => boolean,
    endpoint: Endpoint,
    call: Call,
    observer: EndpointObserver,
  ): void {
    const contentLength = contentLengthOf(message);
    const isTooLarge = contentLength !== undefined && contentLength > MAX_ANSWER_BYTES;
    const isUnusable = isTooLarge || this.hasUnusableHead(message, endpoint);
    const parsed: ParsedAnswer = isUnusable
      ? { kind: 'malformed' }
      : this.protocol.readAnswer(message, call);
    switch (parsed.kind) {
      case 'malformed':
        this.suspendReuse(endpoint);
        message.destroy();
        observer.failed('malformed');
        return;
      case 'refused':
        discardBody(message);
        if (parsed.statement !== undefined) {
          observer.stated?.(parsed.statement);
        }
        observer.refused(parsed.load, parsed.retryAfterMs, parsed.isOtherEndpoint);
        return;
      case 'answer':
        observer.stated?.(parsed.statement);
        observer.answered({
          status: message.statusCode ?? 0,
          headers: parsed.headers,
          body: { kind: 'streamed', stream: message, isComplete },
          contentLength,
          load: parsed.load,
        });
    }
  }

  private hasUnusableHead(message: IncomingMessage, endpoint: Endpoint): boolean {
    const fault = answerHeadFault(message.statusCode ?? 0, message.rawHeaders);
    if (fault !== undefined) {
      this.options.onUnusableHead?.(endpoint, fault);
    }
    return fault !== undefined;
  }
}

/** The network destination of an endpoint; connections to earlier incarnations are not reused for it. */
function destinationOf(endpoint: Endpoint): Pick<ExchangeRequest, 'host' | 'port' | 'peerProcess'> {
  const { address: host, port } = endpoint.spec;
  return { host, port, peerProcess: incarnationOf(endpoint) };
}

/** The declared length of an answer; undefined for a chunked answer. */
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
    const isComplete = message.complete && message.statusCode === 200;
    report(isComplete ? parseCancelOutcome(text) : 'unconfirmed');
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

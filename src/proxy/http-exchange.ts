/**
 * One HTTP/1.1 request to an endpoint and its response, over a pooled connection. Distinguishes a
 * request of which nothing was sent from one that may have arrived.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { MACHINE_CLOCK } from '../clock/machine-clock.js';
import { boundResponse } from '../wire/bounded-response.js';
import type { OverheadFault, ResponseTimes } from '../wire/response-overhead.js';
import type { RequestBody } from './request-body.js';

/**
 * Time after which idle connections are closed, in milliseconds: shorter than the idle timeouts of
 * common servers.
 */
export const DEFAULT_IDLE_CONNECTION_MS = 4_000;
/** Maximum number of idle connections kept per destination. */
const MAX_IDLE_CONNECTIONS = 32;
const MAX_ANSWER_HEADER_BYTES = 32 * 1024;

/** How an exchange failed before its response. */
export type ExchangeFailure =
  /** No connection was established, so no byte was sent. */
  | 'never-sent'
  /** The connection failed after it was established. */
  | 'lost'
  /** The response can't be parsed, or its completeness can't be verified. */
  | 'malformed';

/** Receives the outcome: exactly one of `answered` and `failed` is called, once. */
export interface ExchangeObserver {
  /** Called when the request is written to its connection. */
  sent?(): void;
  /** `isComplete` returns, once the message has closed, whether its body arrived in full. */
  answered(message: http.IncomingMessage, isComplete: () => boolean): void;
  /** `wasReused` is true when the connection had carried a request before. */
  failed(failure: ExchangeFailure, wasReused: boolean): void;
}

/** Time limits of an exchange, in milliseconds. */
export interface ExchangeLimits {
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs: number;
  /** Time without a byte of the response body after which the exchange is aborted. */
  readonly answerIdleTimeoutMs: number;
}

/** A request and its destination. */
export interface ExchangeRequest {
  readonly host: string;
  readonly port: number;
  /**
   * Identifies the process at the address; pooled connections to another process are not reused.
   */
  readonly peerProcess?: string;
  readonly method: string;
  readonly target: string;
  /** Names and values, alternating; framing headers are appended to this list. */
  readonly headers: string[];
  readonly body: RequestBody;
  readonly limits: ExchangeLimits;
  /** Time left for the response, in milliseconds; unlimited when absent. */
  readonly remainingMs?: number;
  /** Called when the response is cut off because of bytes that are not part of its body. */
  readonly onOverhead?: (fault: OverheadFault) => void;
  /**
   * Whether a response without a length may be delimited by the end of its connection; false when
   * absent.
   */
  readonly allowsUnframedAnswer?: boolean;
  /**
   * Runs its action, which sends the request over an open connection, at once or later; at once when
   * absent.
   */
  readonly beforeSend?: BeforeSend;
}

/** Runs `send` at once, or once nothing that has arrived can make it unnecessary. */
export type BeforeSend = (send: () => void) => void;

/** An exchange in progress. */
export interface Exchange {
  /** Whether the connection was established, so that bytes may have been sent. */
  wasSent(): boolean;
  /** Closes the connection; no outcome is reported afterwards. */
  abort(): void;
}

/** Request options extended by the process that the agent pools connections by. */
interface PeerOptions extends http.RequestOptions {
  readonly peerProcess?: string | undefined;
}

/**
 * Pools connections by the process that they lead to. A process that ended without closing its
 * connections leaves some that look usable; requests sent on them to the next process at its
 * address would be lost. An idle connection on which bytes arrive is closed: the bytes could only
 * be mistaken for the response to a later request.
 */
export class ExchangeAgent extends http.Agent {
  /**
   * `maxConnections` limits the connections per destination; requests beyond it wait. A connection
   * is closed after `idleMs` without a request.
   */
  constructor(maxConnections = Infinity, idleMs = DEFAULT_IDLE_CONNECTION_MS) {
    super({
      keepAlive: true,
      maxSockets: maxConnections,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      timeout: idleMs,
    });
  }

  override getName(options?: PeerOptions): string {
    return `${super.getName(options)}:${options?.peerProcess ?? ''}`;
  }

  override keepSocketAlive(socket: Duplex): void {
    socket.on('data', destroyConnection);
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    socket.off('data', destroyConnection);
    super.reuseSocket(socket, request);
  }
}

export function startExchange(
  agent: http.Agent,
  exchange: ExchangeRequest,
  observer: ExchangeObserver,
): Exchange {
  return new RunningExchange(agent, exchange, observer);
}

class RunningExchange implements Exchange {
  private readonly request: http.ClientRequest;
  private connected = false;
  private settled = false;
  /**
   * Whether the connection failed at any time; a response delimited by its end is then incomplete.
   */
  private hasConnectionFailed = false;
  private connectTimer: NodeJS.Timeout | undefined;

  constructor(
    agent: http.Agent,
    private readonly exchange: ExchangeRequest,
    private readonly observer: ExchangeObserver,
  ) {
    addFraming(exchange.headers, exchange.body);
    const options: PeerOptions = {
      agent,
      host: exchange.host,
      port: exchange.port,
      peerProcess: exchange.peerProcess,
      method: exchange.method,
      path: exchange.target,
      headers: exchange.headers,
      maxHeaderSize: MAX_ANSWER_HEADER_BYTES,
      setHost: false,
    };
    this.request = http.request(options);
    boundResponse(this.request, this.responseTimes(), (fault) => this.handleOverhead(fault));
    this.request.once('socket', (socket) => this.sendWhenConnected(socket, exchange));
    this.request.on('response', (message) => this.handleResponse(message));
    this.request.on('error', (error) => this.fail(error));
    this.request.on('upgrade', (_message, socket) => {
      socket.destroy();
      this.settle('malformed');
    });
    this.request.once('close', () => {
      clearTimeout(this.connectTimer);
      this.settle(this.connected ? 'lost' : 'never-sent');
    });
  }

  wasSent(): boolean {
    return this.connected;
  }

  abort(): void {
    this.settled = true;
    this.request.destroy();
  }

  private responseTimes(): ResponseTimes {
    const { remainingMs = Infinity, limits } = this.exchange;
    return {
      deadlineAtMs: MACHINE_CLOCK.now() + remainingMs,
      bodyIdleTimeoutMs: limits.answerIdleTimeoutMs,
    };
  }

  private handleOverhead(fault: OverheadFault): void {
    this.exchange.onOverhead?.(fault);
    this.settle('malformed');
  }

  private sendWhenConnected(socket: Socket, exchange: ExchangeRequest): void {
    if (!socket.connecting) {
      this.passBarrier(exchange);
      return;
    }
    const { connectTimeoutMs } = exchange.limits;
    // After a pause of the process, the timer may fire before the event of an established
    // connection has been handled.
    this.connectTimer = setTimeout(
      () => setImmediate(() => this.handleConnectTimeout()),
      connectTimeoutMs,
    );
    socket.once('connect', () => {
      clearTimeout(this.connectTimer);
      this.passBarrier(exchange);
    });
  }

  private passBarrier({ beforeSend, body }: ExchangeRequest): void {
    const send = (): void => this.send(body);
    if (beforeSend === undefined) {
      send();
    } else {
      beforeSend(send);
    }
  }

  private handleConnectTimeout(): void {
    if (!this.connected) {
      this.request.destroy();
    }
  }

  private send(body: RequestBody): void {
    if (!this.request.destroyed) {
      this.connected = true;
      this.observer.sent?.();
      if (!body.isComplete()) {
        // The head tells the endpoint how much time is left. If it waited for the first bytes of
        // the body, a part of that time would have passed when it is sent.
        this.request.flushHeaders();
      }
      body.sendTo(this.request);
    }
  }

  private handleResponse(message: http.IncomingMessage): void {
    if (this.settled) {
      message.destroy();
      return;
    }
    const isFramed = hasVerifiableEnd(this.request.method, message);
    if (!isFramed && this.exchange.allowsUnframedAnswer !== true) {
      this.settle('malformed');
      message.destroy();
      return;
    }
    this.settled = true;
    if (!isFramed) {
      this.detectReset(message.socket);
    }
    message.setTimeout(this.exchange.limits.answerIdleTimeoutMs, () => message.destroy());
    message.once('end', () => {
      if (!this.request.writableFinished) {
        this.request.destroy();
      }
    });
    this.observer.answered(
      message,
      () => message.complete && (isFramed || !this.hasConnectionFailed),
    );
  }

  /**
   * Detects a reset that arrives together with the last bytes and is reported as an orderly end:
   * unlike after an orderly end, the socket no longer has a remote address.
   */
  private detectReset(socket: Socket): void {
    socket.prependOnceListener('end', () => {
      this.hasConnectionFailed ||= socket.remoteAddress === undefined;
    });
  }

  private fail(error: Error & { code?: string }): void {
    this.hasConnectionFailed = true;
    if (!this.connected) {
      this.settle('never-sent');
    } else {
      this.settle(error.code?.startsWith('HPE_') === true ? 'malformed' : 'lost');
    }
  }

  private settle(failure: ExchangeFailure): void {
    if (!this.settled) {
      this.settled = true;
      this.observer.failed(failure, this.request.reusedSocket);
    }
  }
}

/**
 * Whether truncation can be detected: a response delimited by the end of its connection can't be
 * distinguished from a truncated one.
 */
function hasVerifiableEnd(method: string, message: http.IncomingMessage): boolean {
  const status = message.statusCode ?? 0;
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  const isFramed =
    message.headers['content-length'] !== undefined ||
    message.headers['transfer-encoding'] !== undefined;
  return hasNoBody || isFramed;
}

function addFraming(headers: string[], body: RequestBody): void {
  if (body.length === undefined) {
    headers.push('Transfer-Encoding', 'chunked');
  } else if (body.isDeclared) {
    headers.push('Content-Length', String(body.length));
  }
}

function destroyConnection(this: Duplex): void {
  this.destroy();
}

/**
 * One HTTP/1.1 request to an endpoint and its answer, over a pooled connection. Tells apart a request of which nothing was sent from one that may have arrived.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { RequestBody } from './request-body.js';

/** Idle connections are closed after this time, before usual servers close them, in milliseconds. */
export const DEFAULT_IDLE_CONNECTION_MS = 4_000;
/** Idle connections kept to one destination at most. */
const MAX_IDLE_CONNECTIONS = 32;
const MAX_ANSWER_HEADER_BYTES = 32 * 1024;

/** How an exchange failed before its answer. */
export type ExchangeFailure =
  /** No connection was opened: not a byte was sent. */
  | 'never-sent'
  /** The connection died after it was opened. */
  | 'lost'
  /** The answer can't be parsed, or its end can't be checked. */
  | 'malformed';

/** Gets the outcome: one of the two, once. */
export interface ExchangeObserver {
  /** `isWhole` tells, once the message has closed, whether its body arrived in full. */
  answered(message: http.IncomingMessage, isWhole: () => boolean): void;
  /** `wasReused` tells whether the connection had carried a request before. */
  failed(failure: ExchangeFailure, wasReused: boolean): void;
}

/** Bounds of an exchange, in milliseconds. */
export interface ExchangeLimits {
  /** Time to open a connection. */
  readonly connectTimeoutMs: number;
  /** Time without a byte of the answer's body after which it is given up. */
  readonly answerIdleTimeoutMs: number;
}

/** What is sent, and where. */
export interface ExchangeRequest {
  readonly host: string;
  readonly port: number;
  /** Names the process there: connections that are kept to another one are not used. */
  readonly peerProcess?: string;
  readonly method: string;
  readonly target: string;
  /** Names and values, alternating; framing headers are added here. */
  readonly headers: string[];
  readonly body: RequestBody;
  readonly limits: ExchangeLimits;
  /** Whether an answer without a length may end with its connection; false when absent. */
  readonly allowsUnframedAnswer?: boolean;
}

/** An exchange under way. */
export interface Exchange {
  /** Whether the connection was open, so that bytes may have been sent. */
  wasSent(): boolean;
  /** Closes the connection; nothing more is reported. */
  abort(): void;
}

/** What the agent is told of a request, besides what Node's own agent uses. */
interface PeerOptions extends http.RequestOptions {
  readonly peerProcess?: string | undefined;
}

/**
 * Keeps connections for reuse, by the process that they lead to: one that ended without a word leaves
 * connections that look sound, and what is sent on them to the next one at its address would be lost. A
 * connection on which bytes arrive while it is idle is closed: they
 * could only be taken for the answer to a later request.
 */
export class ExchangeAgent extends http.Agent {
  /**
   * `maxConnections` bounds the connections to each destination; requests over it wait. A connection
   * is kept for `idleMs` without a request.
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

/** Starts an exchange. */
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
  /** Whether the connection failed, at any time: an answer that ends with it is not whole. */
  private hasFailed = false;
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
    this.request.once('socket', (socket) => this.watchConnection(socket, exchange));
    this.request.on('response', (message) => this.takeAnswer(message));
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

  private watchConnection(socket: Socket, exchange: ExchangeRequest): void {
    if (!socket.connecting) {
      this.send(exchange.body);
      return;
    }
    const { connectTimeoutMs } = exchange.limits;
    // After a pause of the process the connection may be open, and the timer come before that is read.
    this.connectTimer = setTimeout(
      () => setImmediate(() => this.endUnconnected()),
      connectTimeoutMs,
    );
    socket.once('connect', () => {
      clearTimeout(this.connectTimer);
      this.send(exchange.body);
    });
  }

  private endUnconnected(): void {
    if (!this.connected) {
      this.request.destroy();
    }
  }

  private send(body: RequestBody): void {
    if (!this.request.destroyed) {
      this.connected = true;
      if (!body.isComplete()) {
        // A head that waits for the body's first bytes would promise the endpoint time that is over by then.
        this.request.flushHeaders();
      }
      body.sendTo(this.request);
    }
  }

  private takeAnswer(message: http.IncomingMessage): void {
    if (this.settled) {
      message.destroy();
      return;
    }
    const isFramed = isEndCheckable(this.request.method, message);
    if (!isFramed && this.exchange.allowsUnframedAnswer !== true) {
      this.settle('malformed');
      message.destroy();
      return;
    }
    this.settled = true;
    if (!isFramed) {
      this.watchForReset(message.socket);
    }
    message.setTimeout(this.exchange.limits.answerIdleTimeoutMs, () => message.destroy());
    message.once('end', () => {
      if (!this.request.writableFinished) {
        this.request.destroy();
      }
    });
    this.observer.answered(message, () => message.complete && (isFramed || !this.hasFailed));
  }

  /**
   * A reset that arrives together with the last bytes is reported as an orderly end. The two are told
   * apart by the peer's address, which a socket that was reset no longer has.
   */
  private watchForReset(socket: Socket): void {
    socket.prependOnceListener('end', () => {
      this.hasFailed ||= socket.remoteAddress === undefined;
    });
  }

  private fail(error: Error & { code?: string }): void {
    this.hasFailed = true;
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

/** An answer that ends with its connection can't be told from a truncated one. */
function isEndCheckable(method: string, message: http.IncomingMessage): boolean {
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

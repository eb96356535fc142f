/** A stand-in for a back end of the platform: signs its answers, counts its runs, and misbehaves. */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

/** One request that reached the back end. */
export interface Arrival {
  readonly requestId: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly method: string;
  readonly target: string;
  /** As text of one byte a character. */
  readonly body: string;
  /** Time from its head to the end of its body, in milliseconds. */
  readonly readForMs: number;
  /** When its head arrived, on the process's monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Whether its connection was closed before the answer. */
  isCut: boolean;
}

/** One request runs, none waits, four slots. */
const DEFAULT_LOAD = '1,0,4';

/** What becomes of a request; the stand-in answers it when this is left out. */
export type BackendBehaviour = (
  request: IncomingMessage,
  response: ServerResponse,
  arrival: Arrival,
) => void;

/** The back end. */
export class BackendStandIn {
  readonly arrivals: Arrival[] = [];
  behaviour: BackendBehaviour = (_request, response, arrival) => {
    answer(response, arrival.requestId, undefined, this.load);
  };
  /** Value of the `Server-Load` header of its usual answers. */
  load = DEFAULT_LOAD;
  /** Value of the `Server-Limit` header of its answers; undefined if it names no rate limit. */
  rateLimit: string | undefined;
  /** Whether its answers say that it leaves. */
  isLeaving = false;
  /** A connection that rested longer is forgotten: what is next sent on it is reset. */
  forgetsIdleAfterMs = Infinity;
  private readonly restingSinceMs = new WeakMap<object, number>();
  private readonly server = http.createServer((request, response) => {
    const { socket } = request;
    const restedMs = performance.now() - (this.restingSinceMs.get(socket) ?? Infinity);
    if (restedMs > this.forgetsIdleAfterMs) {
      socket.resetAndDestroy();
      return;
    }
    response.once('finish', () => this.restingSinceMs.set(socket, performance.now()));
    const headAtMs = performance.now();
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString('latin1');
    });
    response.on('error', () => undefined);
    request.once('end', () => this.take(request, response, body, headAtMs));
  });

  private constructor(
    /** Identity of this start of the back end. */
    readonly id: string,
  ) {}

  /** Starts a back end. */
  static async start(id: string, address: string, port: number): Promise<BackendStandIn> {
    const backend = new BackendStandIn(id);
    backend.server.listen(port, address);
    await once(backend.server, 'listening');
    return backend;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Ends as with a loss of power: nothing listens, and who is connected hears nothing of it. */
  vanish(): void {
    this.server.close();
    this.behaviour = () => undefined;
  }

  private take(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
    headAtMs: number,
  ): void {
    const arrival: Arrival = {
      requestId: String(request.headers['request-id']),
      headers: request.headers,
      method: request.method ?? '',
      target: request.url ?? '',
      body,
      readForMs: performance.now() - headAtMs,
      arrivedAtMs: headAtMs,
      isCut: response.destroyed,
    };
    response.on('close', () => {
      arrival.isCut = !response.writableFinished;
    });
    this.arrivals.push(arrival);
    if (this.rateLimit !== undefined) {
      response.setHeader('Server-Limit', this.rateLimit);
    }
    if (this.isLeaving) {
      response.setHeader('Server-Leaving', '1');
    }
    this.behaviour(request, response, arrival);
  }
}

/** A whole, signed answer. */
export function answer(
  response: ServerResponse,
  requestId: string,
  body = `body ${requestId}`,
  load = DEFAULT_LOAD,
): void {
  response.writeHead(200, {
    'Request-Id': requestId,
    'Server-Signature': `signature ${requestId}`,
    'Server-Load': load,
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** The head and half of a signed answer, whose rest does not come. */
export function beginAnswer(response: ServerResponse, requestId: string, sizeBytes: number): void {
  response.writeHead(200, {
    'Request-Id': requestId,
    'Server-Signature': `signature ${requestId}`,
    'Content-Length': sizeBytes,
  });
  response.write('x'.repeat(sizeBytes / 2));
}

/** Says that the request was not run. */
export function refuse(response: ServerResponse, requestId: string, status = 503): void {
  response.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', 'Content-Length': 0 });
  response.end();
}

/** The bytes of a whole, signed answer. */
export function rawAnswer(requestId: string): string {
  const body = `body ${requestId}`;
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Signature: s\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
}

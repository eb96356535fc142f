/** A caller's connection without a socket; it handles requests and responses in the order in which Node does. */
import { EventEmitter } from 'node:events';
import type http from 'node:http';

/** Length of the body of each request, in bytes. */
const BODY_BYTES = 2;

/** One request on a connection, and its response. */
export class FakeExchange {
  readonly message: FakeMessage;
  readonly response: FakeResponse;

  constructor(
    readonly id: string,
    readonly connection: FakeConnection,
    /** Whether the request arrived after a response with which the connection ends (`Connection: close`). */
    readonly followsLastAnswer: boolean,
    readonly arrivedAtMs: number,
  ) {
    this.message = new FakeMessage(connection, id);
    this.response = new FakeResponse(connection);
  }
}

/** A connection that sends its responses in the order of the requests. */
export class FakeConnection extends EventEmitter {
  readonly exchanges: FakeExchange[] = [];
  isClosed = false;
  hasCallerDisconnected = false;

  constructor(
    private readonly server: http.Server,
    private readonly nowMs: () => number,
    private readonly name: string,
  ) {
    super();
  }

  /** Receives the head of a request, whose body follows later. */
  receiveHead(): void {
    const previous = this.exchanges.at(-1);
    if (this.isClosed || (previous !== undefined && !previous.message.complete)) {
      return;
    }
    const isLast = this.exchanges.some(({ response }) => !response.shouldKeepAlive);
    const id = `${this.name}.${this.exchanges.length}`;
    const exchange = new FakeExchange(id, this, isLast, this.nowMs());
    this.exchanges.push(exchange);
    this.server.emit('request', exchange.message, exchange.response);
  }

  /** Receives the body of the last request. */
  receiveBody(): void {
    const message = this.exchanges.at(-1)?.message;
    if (!this.isClosed && message !== undefined && !message.complete) {
      message.finish();
    }
  }

  disconnectCaller(): void {
    this.hasCallerDisconnected ||= !this.isClosed;
    this.destroy();
  }

  /** Sends or destroys the responses that were ended or destroyed, once all earlier ones have been sent. */
  flush(): void {
    for (const { response } of this.exchanges) {
      response.assignSocket();
      if (response.isBroken) {
        this.destroy();
      }
      if (!response.isEnded) {
        return;
      }
      if (!response.writableFinished && !this.isClosed) {
        response.finishWriting();
        if (!response.shouldKeepAlive) {
          this.destroy();
        }
      }
    }
  }

  get destroyed(): boolean {
    return this.isClosed;
  }

  get writable(): boolean {
    return !this.isClosed;
  }

  /** Closes at once: the caller closes its side as soon as it has read everything. */
  end(): void {
    this.destroy();
  }

  /** Whether this is the first response that has not been sent yet. */
  isNextToSend(response: FakeResponse): boolean {
    return this.exchanges.find((next) => !next.response.writableFinished)?.response === response;
  }

  destroy(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    for (const { response } of this.exchanges) {
      response.destroyed = true;
    }
    this.emit('close');
    for (const { response } of this.exchanges) {
      if (!response.writableFinished) {
        response.emit('close');
      }
    }
  }
}

/** Replaces `http.IncomingMessage`. */
export class FakeMessage extends EventEmitter {
  readonly method = 'POST';
  readonly url = '/';
  readonly httpVersion = '1.1';
  readonly headers = { host: 'h', 'content-length': String(BODY_BYTES) };
  readonly rawHeaders: string[];
  complete = false;

  constructor(
    readonly socket: FakeConnection,
    id: string,
  ) {
    super();
    this.rawHeaders = ['Host', 'h', 'Content-Length', String(BODY_BYTES), 'x-test-id', id];
  }

  finish(): void {
    this.complete = true;
    this.emit('data', Buffer.alloc(BODY_BYTES));
    this.emit('end');
  }

  resume(): this {
    return this;
  }

  pause(): this {
    return this;
  }
}

/** Replaces `http.ServerResponse`. */
export class FakeResponse extends EventEmitter {
  headersSent = false;
  destroyed = false;
  writableFinished = false;
  shouldKeepAlive = true;
  isEnded = false;
  isBroken = false;
  headCount = 0;
  private hasSocket = false;
  status = 0;

  constructor(private readonly connection: FakeConnection) {
    super();
  }

  /** As in Node, a response that is queued behind others has no socket yet. */
  get socket(): FakeConnection | null {
    return this.connection.isNextToSend(this) ? this.connection : null;
  }

  /** Called once all earlier responses have been sent. */
  assignSocket(): void {
    if (!this.hasSocket) {
      this.hasSocket = true;
      this.emit('socket', this.connection);
    }
  }

  writeHead(status: number): void {
    this.headersSent = true;
    this.headCount += 1;
    this.status = status;
  }

  write(): boolean {
    return true;
  }

  end(): void {
    if (!this.isEnded && !this.destroyed) {
      this.isEnded = true;
      this.connection.flush();
    }
  }

  finishWriting(): void {
    this.writableFinished = true;
    this.emit('close');
  }

  /** A response that is queued behind others has no socket yet: its connection ends once the others have been sent. */
  destroy(): void {
    this.destroyed = true;
    this.isBroken = true;
    this.connection.flush();
  }
}

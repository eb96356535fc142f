/** A caller's connection without a socket: requests and answers in the order in which Node handles them. */
import { EventEmitter } from 'node:events';
import type http from 'node:http';

/** Length of the body of each request, in bytes. */
const BODY_BYTES = 2;

/** One request on a connection, and its answer. */
export class FakeExchange {
  readonly message: FakeMessage;
  readonly response: FakeResponse;

  constructor(
    readonly id: string,
    readonly connection: FakeConnection,
    /** Whether an answer that says that the connection ends was given before the request came. */
    readonly cameBehindLast: boolean,
    readonly arrivedAtMs: number,
  ) {
    this.message = new FakeMessage(connection, id);
    this.response = new FakeResponse(connection);
  }
}

/** A connection; its exchanges are answered in order. */
export class FakeConnection extends EventEmitter {
  readonly exchanges: FakeExchange[] = [];
  isClosed = false;
  isCallerGone = false;

  constructor(
    private readonly server: http.Server,
    private readonly nowMs: () => number,
    private readonly name: string,
  ) {
    super();
  }

  /** A request's head arrives; its body is still to come. */
  head(): void {
    const before = this.exchanges.at(-1);
    if (this.isClosed || (before !== undefined && !before.message.complete)) {
      return;
    }
    const isLast = this.exchanges.some(({ response }) => !response.shouldKeepAlive);
    const id = `${this.name}.${this.exchanges.length}`;
    const exchange = new FakeExchange(id, this, isLast, this.nowMs());
    this.exchanges.push(exchange);
    this.server.emit('request', exchange.message, exchange.response);
  }

  /** The rest of the last request arrives. */
  body(): void {
    const message = this.exchanges.at(-1)?.message;
    if (!this.isClosed && message !== undefined && !message.complete) {
      message.finish();
    }
  }

  callerLeaves(): void {
    this.isCallerGone ||= !this.isClosed;
    this.destroy();
  }

  /** Answers that were ended, or destroyed, take effect as soon as those before them have gone out. */
  flush(): void {
    for (const { response } of this.exchanges) {
      response.takeTurn();
      if (response.isBroken) {
        this.destroy();
      }
      if (!response.isEnded) {
        return;
      }
      if (!response.writableFinished && !this.isClosed) {
        response.goOut();
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

  /** Its caller closes as soon as it has read all. */
  end(): void {
    this.destroy();
  }

  /** Whether all answers before this one have gone out. */
  isTurnOf(response: FakeResponse): boolean {
    return this.exchanges.find((one) => !one.response.writableFinished)?.response === response;
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

/** Stands for `http.IncomingMessage`. */
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

/** Stands for `http.ServerResponse`. */
export class FakeResponse extends EventEmitter {
  headersSent = false;
  destroyed = false;
  writableFinished = false;
  shouldKeepAlive = true;
  isEnded = false;
  isBroken = false;
  headCount = 0;
  private hasTurn = false;
  status = 0;

  constructor(private readonly connection: FakeConnection) {
    super();
  }

  /** As with Node, one behind others has no connection yet. */
  get socket(): FakeConnection | null {
    return this.connection.isTurnOf(this) ? this.connection : null;
  }

  /** The answers before it have gone out. */
  takeTurn(): void {
    if (!this.hasTurn) {
      this.hasTurn = true;
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

  goOut(): void {
    this.writableFinished = true;
    this.emit('close');
  }

  /** One behind others has no socket yet: its connection ends in its turn. */
  destroy(): void {
    this.destroyed = true;
    this.isBroken = true;
    this.connection.flush();
  }
}

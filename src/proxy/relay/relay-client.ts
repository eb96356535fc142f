/** Sends attempts to the nodes beside endpoints, over one connection to each. */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../../model/resource.js';
import type { Answer, AnswerBody, Attempt, AttemptObserver, Call, EndpointPath } from '../call.js';
import { HeldBody, type RequestBody } from '../request-body.js';
import {
  ConnectionLostError,
  MalformedAnswerError,
  RelayedError,
  TruncatedAnswerError,
  UnreachableError,
  type RequestError,
} from '../request-error.js';
import type { Scheduler } from '../scheduler.js';
import { RelayBodyReader, RelayBodyWriter } from './relay-body.js';
import { RelayConnection } from './relay-connection.js';
import type { AnswerFrame, BodyForm, FailureFrame, RelayFrame } from './relay-frame.js';
import { loadOf } from './relay-load.js';
import { RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from './relay-protocol.js';

/** A connection on which nothing is awaited is closed after this time, in milliseconds. */
const IDLE_CONNECTION_MS = 30_000;

/** Where a peer takes relayed requests. */
export interface RelayAddress {
  readonly address: string;
  readonly port: number;
}

/** What the client needs of its node. */
export interface RelayClientOptions {
  /** Time to open a connection. */
  readonly connectTimeoutMs: number;
  readonly scheduler: Scheduler;
  /** A token that is valid now; undefined where the fleet has no key. */
  readonly token: () => string | undefined;
  readonly addressOf: (endpoint: Endpoint) => RelayAddress | undefined;
}

/** Connections to the relay ports of peers. */
export class RelayClient implements EndpointPath {
  /** The connection that new attempts to an address take. */
  private readonly links = new Map<string, RelayLink>();
  /** All connections, also those that get no new attempts any more. */
  private readonly open = new Set<RelayLink>();

  constructor(private readonly options: RelayClientOptions) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const address = this.options.addressOf(endpoint);
    if (address === undefined) {
      observer.failed(new UnreachableError(`the node of endpoint ${endpoint.name} is unknown`));
      return { abort: () => undefined };
    }
    return this.linkTo(address).submit(endpoint, call, observer);
  }

  /** New attempts get a new connection; what is awaited on the one there is goes on. */
  forget({ address, port }: RelayAddress): void {
    this.links.delete(`${address}:${port}`);
  }

  /** Closes all connections. */
  close(): void {
    this.open.forEach((link) => link.destroy());
  }

  private retire(key: string, link: RelayLink): void {
    if (this.links.get(key) === link) {
      this.links.delete(key);
    }
  }

  private linkTo(address: RelayAddress): RelayLink {
    const key = `${address.address}:${address.port}`;
    const known = this.links.get(key);
    if (known !== undefined) {
      return known;
    }
    const link = new RelayLink(address, this.options, {
      retired: () => this.retire(key, link),
      closed: () => this.open.delete(link),
    });
    this.links.set(key, link);
    this.open.add(link);
    return link;
  }
}

/** Told of the end of a link. */
interface LinkObserver {
  /** It takes no new attempts. */
  readonly retired: () => void;
  readonly closed: () => void;
}

/** The connection to one peer, and the attempts on it. */
class RelayLink {
  private readonly streams = new Map<number, RelayedAttempt>();
  private readonly request: http.ClientRequest;
  private connection: RelayConnection | undefined;
  private lastStreamId = 0;
  private isOver = false;

  constructor(
    address: RelayAddress,
    private readonly options: RelayClientOptions,
    private readonly observer: LinkObserver,
  ) {
    this.request = http.request({
      host: address.address,
      port: address.port,
      agent: false,
      headers: this.upgradeHeaders(),
    });
    const timer = setTimeout(() => this.request.destroy(), options.connectTimeoutMs);
    this.request.once('upgrade', (_message, socket, head) => {
      clearTimeout(timer);
      this.open(socket, head);
    });
    this.request.once('response', () => this.request.destroy());
    this.request.on('error', () => undefined);
    this.request.once('close', () => {
      clearTimeout(timer);
      if (this.connection === undefined) {
        this.end('never-sent');
      }
    });
    this.request.end();
  }

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    this.lastStreamId += 1;
    const streamId = this.lastStreamId;
    const attempt = new RelayedAttempt(streamId, endpoint, call, observer, this.options.scheduler, {
      send: (frame) => this.connection?.send(frame),
      over: () => this.streams.delete(streamId),
    });
    this.streams.set(streamId, attempt);
    if (this.connection !== undefined) {
      attempt.send();
    }
    return attempt;
  }

  destroy(): void {
    this.request.destroy();
    this.connection?.destroy();
  }

  private upgradeHeaders(): http.OutgoingHttpHeaders {
    const token = this.options.token();
    return {
      Connection: 'Upgrade',
      Upgrade: RELAY_PROTOCOL,
      ...(token !== undefined && { [RELAY_TOKEN_HEADER]: token }),
    };
  }

  private open(socket: Socket, head: Buffer): void {
    socket.setNoDelay();
    socket.setTimeout(IDLE_CONNECTION_MS, () => this.closeIdle());
    this.connection = new RelayConnection(socket, head, {
      received: (frames) => frames.forEach((frame) => this.take(frame)),
      closed: () => this.end('lost'),
    });
    this.streams.forEach((attempt) => attempt.send());
  }

  private closeIdle(): void {
    if (this.streams.size === 0) {
      this.observer.retired();
      this.connection?.end();
    }
  }

  private take(frame: RelayFrame): void {
    this.streams.get(frame.streamId)?.take(frame);
  }

  private end(cause: 'never-sent' | 'lost'): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    this.observer.retired();
    this.observer.closed();
    for (const attempt of [...this.streams.values()]) {
      attempt.connectionClosed(cause);
    }
  }
}

/** What an attempt needs of its link. */
interface AttemptLink {
  readonly send: (frame: RelayFrame) => void;
  /** Nothing more is awaited. */
  readonly over: () => void;
}

/** One attempt on a link. */
class RelayedAttempt implements Attempt {
  private isSent = false;
  private isOver = false;
  private writer: RelayBodyWriter | undefined;
  private reader: RelayBodyReader | undefined;

  constructor(
    private readonly streamId: number,
    private readonly endpoint: Endpoint,
    private readonly call: Call,
    private readonly observer: AttemptObserver,
    private readonly scheduler: Scheduler,
    private readonly link: AttemptLink,
  ) {}

  abort(): void {
    if (!this.isOver) {
      this.cancel();
      this.end();
      this.reader?.destroy();
    }
  }

  /** Sends the request; the connection is open. */
  send(): void {
    this.isSent = true;
    const { call, endpoint } = this;
    const nowMs = this.scheduler.now();
    const held = call.body instanceof HeldBody ? call.body.bytes : undefined;
    this.link.send({
      kind: 'request',
      streamId: this.streamId,
      sentAtMs: Math.floor(nowMs),
      requestId: call.requestId,
      service: endpoint.spec.service,
      endpoint: endpoint.name,
      method: call.method,
      target: call.target,
      headers: call.headers,
      remainingMs: Math.max(0, Math.floor(call.deadlineAtMs - nowMs)),
      retriesLeft: call.retriesLeft,
      priority: call.priority,
      workClass: call.workClass,
      targetLeftMs: leftMs(call.targetAtMs, nowMs),
      startLeftMs: leftMs(call.startByMs, nowMs),
      bodyForm: formOf(call.body),
      bodyBytes: held === undefined ? (call.body.length ?? 0) : 0,
      bytes: held ?? Buffer.alloc(0),
    });
    if (held === undefined && call.body.isDeclared) {
      this.streamBody();
    }
  }

  take(frame: RelayFrame): void {
    switch (frame.kind) {
      case 'answer':
        return this.takeAnswer(frame);
      case 'failure':
        return this.takeFailure(frame);
      case 'body':
        return this.takeBody(frame.bytes, frame.isLast);
      case 'credit':
        return this.writer?.addCredit(frame.creditBytes);
      case 'cancel':
        return this.breakAnswer();
      case 'request':
        return;
    }
  }

  connectionClosed(cause: 'never-sent' | 'lost'): void {
    if (this.reader !== undefined) {
      this.breakAnswer();
      return;
    }
    const node = `the node of endpoint ${this.endpoint.name}`;
    this.fail(
      cause === 'never-sent' || !this.isSent
        ? new UnreachableError(`no connection to ${node}`)
        : new ConnectionLostError(`the connection to ${node} was lost`),
    );
  }

  /** A sender that breaks off leaves a request that can't be completed. */
  private streamBody(): void {
    const writer = new RelayBodyWriter((bytes, isLast) => {
      this.link.send({ kind: 'body', streamId: this.streamId, bytes, isLast });
    });
    this.writer = writer;
    writer.on('error', () => undefined);
    writer.once('close', () => {
      if (!writer.writableFinished && !this.isOver) {
        this.cancel();
        this.fail(new ConnectionLostError('the body broke off'));
      }
    });
    this.call.body.sendTo(writer);
  }

  private takeAnswer(frame: AnswerFrame): void {
    if (this.reader !== undefined) {
      return;
    }
    const { status, headers, isHeld, bytes, contentLengthBytes: contentLength } = frame;
    const body: AnswerBody = isHeld ? { kind: 'held', bytes } : this.openReader();
    const answer: Answer = { status, headers, body, contentLength, load: loadOf(frame) };
    if (isHeld) {
      this.end();
    }
    this.observer.answered(answer);
  }

  private openReader(): AnswerBody {
    const reader = new RelayBodyReader((creditBytes) => {
      this.link.send({ kind: 'credit', streamId: this.streamId, creditBytes });
    });
    this.reader = reader;
    return { kind: 'streamed', stream: reader, isWhole: () => reader.complete };
  }

  private takeBody(bytes: Buffer, isLast: boolean): void {
    this.reader?.receive(bytes, isLast);
    if (isLast) {
      this.end();
    }
  }

  private takeFailure(frame: FailureFrame): void {
    const { code, verdict, isRetryable: retryable, retryAfterMs, status } = frame;
    const failure = {
      code,
      verdict,
      retryable,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    };
    const error = new RelayedError(failure, status, `the endpoint's node reports ${code}`);
    this.end();
    this.observer.failed(error, loadOf(frame));
  }

  /** The rest of the answer will not come. */
  private breakAnswer(): void {
    if (this.reader === undefined) {
      this.fail(new MalformedAnswerError('the peer gave the request up'));
      return;
    }
    this.end();
    this.reader.destroy(new TruncatedAnswerError('the answer broke off'));
  }

  private fail(error: RequestError): void {
    if (!this.isOver) {
      this.end();
      this.observer.failed(error);
    }
  }

  private cancel(): void {
    if (this.isSent) {
      this.link.send({ kind: 'cancel', streamId: this.streamId });
    }
  }

  private end(): void {
    this.isOver = true;
    this.writer?.destroy();
    this.link.over();
  }
}

function formOf(body: RequestBody): BodyForm {
  if (!body.isDeclared) {
    return 'none';
  }
  if (body instanceof HeldBody) {
    return 'held';
  }
  return body.length === undefined ? 'chunked' : 'sized';
}

function leftMs(atMs: number | undefined, nowMs: number): number | undefined {
  return atMs === undefined ? undefined : Math.round(atMs - nowMs);
}

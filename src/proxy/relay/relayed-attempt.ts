/** One attempt of this node at the node of an endpoint. */
import type { Endpoint } from '../../model/resource.js';
import type { Answer, AnswerBody, Attempt, AttemptObserver, Call } from '../call.js';
import { HeldBody, type RequestBody } from '../request-body.js';
import {
  BadRequestError,
  ConnectionLostError,
  MalformedAnswerError,
  RelayedError,
  TruncatedAnswerError,
  UnreachableError,
  type RequestError,
} from '../request-error.js';
import type { Scheduler } from '../scheduler.js';
import { isCollected } from './collected-body.js';
import { RelayBodyReader, RelayBodyWriter } from './relay-body.js';
import type { AnswerFrame, BodyForm, FailureFrame, StreamFrame } from './relay-frame.js';
import { loadOf } from './relay-load.js';

const HEAD_TOO_LARGE_STATUS = 431;
/** A body of up to this length, in bytes, goes with the head of its request: some three packets. */
const MAX_INLINE_BODY_BYTES = 4 * 1024;

/** Bytes beyond the usual window that a peer may send at once which is about to stop. */
const MAX_LAST_BYTES = 512 * 1024;

/** What an attempt needs of its link. */
export interface AttemptLink {
  /** False when the frame can't be built, or there is no connection. */
  readonly send: (frame: StreamFrame) => boolean;
  /** Nothing more is awaited. */
  readonly over: () => void;
}

/** The attempt. */
export class RelayedAttempt implements Attempt {
  private isSent = false;
  private isOver = false;
  /** Whether everything of the request has gone out, its body included. */
  private isWholeSent = false;
  private writer: RelayBodyWriter | undefined;
  private reader: RelayBodyReader | undefined;

  constructor(
    private readonly streamId: number,
    readonly endpoint: Endpoint,
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

  isUnsent(): boolean {
    return !this.mayHaveReachedEndpoint;
  }

  /** Sends the request; the connection is open. */
  send(): void {
    const { call, endpoint } = this;
    const nowMs = this.scheduler.now();
    const inline = inlineBytesOf(call.body);
    this.isSent = this.link.send({
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
      bodyBytes: inline === undefined ? (call.body.length ?? 0) : 0,
      bytes: inline ?? Buffer.alloc(0),
    });
    this.isWholeSent = inline !== undefined || !call.body.isDeclared;
    if (!this.isSent) {
      this.fail(new BadRequestError('the head of the request is too large', HEAD_TOO_LARGE_STATUS));
    }
  }

  take(frame: StreamFrame): void {
    switch (frame.kind) {
      case 'answer':
        return this.takeAnswer(frame);
      case 'failure':
        return this.takeFailure(frame);
      case 'body':
        return this.takeBody(frame.bytes, frame.isLast);
      case 'credit':
        return this.takeCredit(frame.creditBytes);
      case 'cancel':
        return this.breakAnswer();
      case 'request':
        return;
    }
  }

  /** Nothing has arrived on the connection for `quietMs`, while a new one works. */
  connectionIsSilent(quietMs: number): void {
    if (this.reader === undefined && !this.isOver) {
      this.observer.suspected?.({ silent: 'connection', quietMs });
    }
  }

  /**
   * The peer's machine is dark, or nothing is heard of it and its endpoint is not listed any more. What may run
   * again is ended, for its caller to ask again, and so is what has provably not reached the endpoint; the rest
   * waits until its deadline.
   */
  peerIsGone(): void {
    const isSafe = this.call.isRepeatable === true || !this.mayHaveReachedEndpoint;
    if (this.reader === undefined && isSafe && !this.isOver) {
      this.cancel();
      this.connectionClosed('lost');
    }
  }

  connectionClosed(cause: 'never-sent' | 'lost'): void {
    if (this.reader !== undefined) {
      this.breakAnswer();
      return;
    }
    const node = `the node of endpoint ${this.endpoint.name}`;
    this.fail(
      cause === 'never-sent' || !this.mayHaveReachedEndpoint
        ? new UnreachableError(`no connection to ${node}`)
        : new ConnectionLostError(`the connection to ${node} was lost`),
    );
  }

  /** The endpoint's node hands a body that it collects on only once it has all of it. */
  private get mayHaveReachedEndpoint(): boolean {
    return this.isSent && (this.isWholeSent || !isCollected(this.call.body.length));
  }

  /** The first credit says that the endpoint's node has not refused the request by its head. */
  private takeCredit(creditBytes: number): void {
    if (!this.isOver) {
      this.writer ??= this.streamBody();
      this.writer.addCredit(creditBytes);
    }
  }

  /** A sender that breaks off leaves a request that can't be completed. */
  private streamBody(): RelayBodyWriter {
    const writer = new RelayBodyWriter((bytes, isLast) => {
      this.isWholeSent ||= isLast;
      this.link.send({ kind: 'body', streamId: this.streamId, bytes, isLast });
    }, 0);
    writer.on('error', () => undefined);
    writer.once('close', () => {
      if (!writer.writableFinished && !this.isOver) {
        this.cancel();
        this.fail(new ConnectionLostError('the body broke off'));
      }
    });
    this.call.body.sendTo(writer);
    return writer;
  }

  private takeAnswer(frame: AnswerFrame): void {
    if (this.reader !== undefined) {
      return;
    }
    const { status, headers, isHeld, bytes, contentLengthBytes: contentLength } = frame;
    const body: AnswerBody = isHeld ? { kind: 'held', bytes } : this.openReader();
    if (body.kind === 'streamed' && frame.isNodeStopping) {
      body.extendWindow?.(Math.min(contentLength ?? MAX_LAST_BYTES, MAX_LAST_BYTES));
    }
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
    return {
      kind: 'streamed',
      stream: reader,
      isComplete: () => reader.complete,
      extendWindow: (bytes) => reader.widen(bytes),
    };
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

/** The body, where it goes with the head; undefined where it waits for credit. */
function inlineBytesOf(body: RequestBody): Buffer | undefined {
  const isInline = body instanceof HeldBody && body.length <= MAX_INLINE_BODY_BYTES;
  return isInline ? body.bytes : undefined;
}

function formOf(body: RequestBody): BodyForm {
  if (!body.isDeclared) {
    return 'none';
  }
  if (inlineBytesOf(body) !== undefined) {
    return 'held';
  }
  return body.length === undefined ? 'chunked' : 'sized';
}

function leftMs(atMs: number | undefined, nowMs: number): number | undefined {
  return atMs === undefined ? undefined : Math.round(atMs - nowMs);
}

/** One attempt that this node sends to the node of an endpoint. */
import type { Endpoint } from '../../model/resource.js';
import type { BodyBufferBudget } from '../body-receiver.js';
import type { Answer, AnswerBody, Attempt, AttemptObserver, Call } from '../call.js';
import { isFinalStatus, relayedAnswerFault } from '../message-head.js';
import { BufferedBody, type RequestBody } from '../request-body.js';
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
import { isBuffered } from './collected-body.js';
import { RelayBodyReader, RelayBodyWriter } from './relay-body.js';
import type { AnswerFrame, BodyForm, FailureFrame, StreamFrame } from './relay-frame.js';
import { loadOf, ratePerKsOf } from './relay-load.js';

const HEAD_TOO_LARGE_STATUS = 431;
/** Codes are part of the names of counters. */
const FAILURE_CODE_FORMAT = /^[A-Z][A-Z_]{0,63}$/;
/** Maximum length of a body sent in the request frame, in bytes: about three packets. */
const MAX_INLINE_BODY_BYTES = 4 * 1024;

/** Maximum extension of the window of a peer that is about to stop, in bytes. */
const MAX_STOPPING_WINDOW_BYTES = 512 * 1024;

/** Interface of an attempt to its link. */
export interface AttemptLink {
  /** Returns false if the frame cannot be encoded or there is no connection. */
  readonly send: (frame: StreamFrame) => boolean;
  /** The attempt's request was cancelled after it had been sent. */
  readonly cancelled: (requestId: string) => void;
  /** The attempt has ended and expects no more frames. */
  readonly ended: () => void;
  /** Memory for extended windows, shared by all attempts of the node; no window is extended if absent. */
  readonly windowBudget?: BodyBufferBudget | undefined;
}

/** An attempt sent over a relay connection. */
export class RelayedAttempt implements Attempt {
  private isSent = false;
  private isEnded = false;
  /** Whether the request has been sent completely, including its body. */
  private isFullySent = false;
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
    if (!this.isEnded) {
      this.cancel();
      this.end();
      this.reader?.destroy();
    }
  }

  /** Whether the head of the request was sent. */
  get wasSent(): boolean {
    return this.isSent;
  }

  /** Identifies the attempt on other connections to the same node. */
  get requestId(): string {
    return this.call.requestId;
  }

  isUnsent(): boolean {
    return !this.mayHaveReachedEndpoint;
  }

  /** Sends the request; the connection must be open. */
  send(): void {
    const { call, endpoint } = this;
    const nowMs = this.scheduler.now();
    const inline = inlineBodyOf(call.body);
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
      targetLeftMs: remainingMs(call.targetAtMs, nowMs),
      startLeftMs: remainingMs(call.startByMs, nowMs),
      knownMaxRatePerKs: ratePerKsOf(call.knownMaxRatePerS),
      bodyForm: bodyFormOf(call.body),
      bodyBytes: inline === undefined ? (call.body.length ?? 0) : 0,
      slotWishLeftMs: remainingMs(call.slotWish?.untilMs, nowMs),
      offerId: call.offerId,
      bytes: inline ?? Buffer.alloc(0),
    });
    this.isFullySent = inline !== undefined || !call.body.isDeclared;
    if (!this.isSent) {
      this.fail(new BadRequestError('the head of the request is too large', HEAD_TOO_LARGE_STATUS));
    }
  }

  handleFrame(frame: StreamFrame): void {
    switch (frame.kind) {
      case 'answer':
        return this.handleAnswer(frame);
      case 'failure':
        return this.handleFailure(frame);
      case 'body':
        return this.handleBody(frame.bytes, frame.isLast);
      case 'credit':
        return this.handleCredit(frame.creditBytes);
      case 'cancel':
        return this.abortAnswer();
      case 'request':
        return;
    }
  }

  /** Nothing has arrived on the connection for `quietMs` although a new one works. */
  connectionUnresponsive(quietMs: number): void {
    if (this.reader === undefined && !this.isEnded) {
      this.observer.suspected?.({ silent: 'connection', quietMs });
    }
  }

  /**
   * The peer's machine is unreachable, or the connection is lost and the endpoint is no longer listed. Ends the
   * attempt if the request is repeatable or has provably not reached the endpoint, so that its caller can retry;
   * otherwise the attempt waits until its deadline.
   */
  peerIsGone(): void {
    const isSafe = this.call.isRepeatable === true || !this.mayHaveReachedEndpoint;
    if (this.reader === undefined && isSafe && !this.isEnded) {
      this.cancel();
      this.connectionClosed('lost');
    }
  }

  connectionClosed(cause: 'never-sent' | 'lost'): void {
    if (this.reader !== undefined) {
      this.abortAnswer();
      return;
    }
    const node = `the node of endpoint ${this.endpoint.name}`;
    this.fail(
      cause === 'never-sent' || !this.mayHaveReachedEndpoint
        ? new UnreachableError(`no connection to ${node}`)
        : new ConnectionLostError(`the connection to ${node} was lost`),
    );
  }

  /** The endpoint's node forwards a request whose body it buffers only once the body is complete. */
  private get mayHaveReachedEndpoint(): boolean {
    return this.isSent && (this.isFullySent || !isBuffered(this.call.body.length));
  }

  /** The first credit means that the endpoint's node has not refused the request based on its head. */
  private handleCredit(creditBytes: number): void {
    if (!this.isEnded) {
      this.writer ??= this.streamBody();
      this.writer.addCredit(creditBytes);
    }
  }

  /** If the body is aborted the request cannot be completed and is cancelled. */
  private streamBody(): RelayBodyWriter {
    const writer = new RelayBodyWriter((bytes, isLast) => {
      this.isFullySent ||= isLast;
      this.link.send({ kind: 'body', streamId: this.streamId, bytes, isLast });
    }, 0);
    writer.on('error', () => undefined);
    writer.once('close', () => {
      if (!writer.writableFinished && !this.isEnded) {
        this.cancel();
        this.fail(new ConnectionLostError('the body broke off'));
      }
    });
    this.call.body.sendTo(writer);
    return writer;
  }

  private handleAnswer(frame: AnswerFrame): void {
    if (this.reader !== undefined) {
      return;
    }
    const { status, headers, isHeld, bytes, contentLengthBytes: contentLength } = frame;
    const fault = relayedAnswerFault(status, headers);
    if (fault !== undefined || (contentLength ?? 0) < 0) {
      this.cancel();
      this.fail(new MalformedAnswerError(`unusable answer head: ${fault ?? 'length'}`));
      return;
    }
    const body: AnswerBody = isHeld ? { kind: 'held', bytes } : this.openReader();
    if (frame.isNodeStopping) {
      this.extendWindow(contentLength);
    }
    const { bodyMs, queueMs, endpointMs } = frame;
    const nodeTimes = { bodyMs, queueMs, endpointMs };
    const load = loadOf(frame);
    const answer: Answer = { status, headers, body, contentLength, load, nodeTimes };
    if (isHeld) {
      this.end();
    }
    this.observer.answered(answer);
  }

  /** Lets a stopping peer send a short answer at once, if there is memory for it. */
  private extendWindow(contentLength: number | undefined): void {
    const { reader } = this;
    const { windowBudget } = this.link;
    const bytes = Math.min(contentLength ?? Infinity, MAX_STOPPING_WINDOW_BYTES);
    if (reader !== undefined && windowBudget?.reserve(bytes) === true) {
      reader.once('close', () => windowBudget.release(bytes));
      reader.extendWindow(bytes);
    }
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
      extendWindow: (bytes) => reader.extendWindow(bytes),
    };
  }

  private handleBody(bytes: Buffer, isLast: boolean): void {
    this.reader?.receive(bytes, isLast);
    if (isLast) {
      this.end();
    }
  }

  private handleFailure(frame: FailureFrame): void {
    const { code, verdict, isRetryable: retryable, retryAfterMs, slotWaitMs, status } = frame;
    if (!isFinalStatus(status) || !FAILURE_CODE_FORMAT.test(code)) {
      this.fail(new MalformedAnswerError('the failure that the peer reports is malformed'));
      return;
    }
    const failure = {
      code,
      verdict,
      retryable,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
      ...(slotWaitMs !== undefined && { slotWaitMs }),
    };
    const error = new RelayedError(failure, status, `the endpoint's node reports ${code}`);
    this.end();
    this.observer.failed(error, loadOf(frame));
  }

  /** The answer will not be completed. */
  private abortAnswer(): void {
    if (this.reader === undefined) {
      this.fail(new MalformedAnswerError('the peer gave the request up'));
      return;
    }
    this.end();
    this.reader.destroy(new TruncatedAnswerError('the answer broke off'));
  }

  private fail(error: RequestError): void {
    if (!this.isEnded) {
      this.end();
      this.observer.failed(error);
    }
  }

  private cancel(): void {
    if (this.isSent) {
      this.link.send({ kind: 'cancel', streamId: this.streamId });
      this.link.cancelled(this.call.requestId);
    }
  }

  private end(): void {
    this.isEnded = true;
    this.writer?.destroy();
    this.link.ended();
  }
}

/** Body that is sent in the request frame; undefined if it needs credit or there is none. */
function inlineBodyOf(body: RequestBody): Buffer | undefined {
  const isInline = body instanceof BufferedBody && body.length <= MAX_INLINE_BODY_BYTES;
  return isInline ? body.bytes : undefined;
}

function bodyFormOf(body: RequestBody): BodyForm {
  if (!body.isDeclared) {
    return 'none';
  }
  if (inlineBodyOf(body) !== undefined) {
    return 'held';
  }
  return body.length === undefined ? 'chunked' : 'sized';
}

function remainingMs(atMs: number | undefined, nowMs: number): number | undefined {
  return atMs === undefined ? undefined : Math.round(atMs - nowMs);
}

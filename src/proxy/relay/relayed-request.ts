/** One request of a peer at the node that owns the endpoint. */
import type { BodyArrival } from '../../admission/endpoint-admission.js';
import type { Endpoint } from '../../model/resource.js';
import { forwardAnswer } from '../answer-forwarding.js';
import type { Answer, Attempt, AttemptObserver, Call, EndpointPath, LoadReport } from '../call.js';
import { EMPTY_BODY, HeldBody, StreamedBody, type RequestBody } from '../request-body.js';
import { refusalLeadMs } from '../refusal-lead.js';
import { DeadlinePassedError, TruncatedAnswerError, type RequestError } from '../request-error.js';
import type { AbandonCause, AwaitedThing, RequestLog } from '../request-log.js';
import { rankInTime } from '../../admission/work-rank.js';
import { stopFailure } from '../stop-failure.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { collectBody, isCollected } from './collected-body.js';
import type { BodyCredit, CreditPool } from './credit-pool.js';
import { FrameSink } from './frame-sink.js';
import { RelayBodyReader } from './relay-body.js';
import type { RequestFrame, StreamFrame } from './relay-frame.js';
import { frameLoadOf, NO_LOAD } from './relay-load.js';
import type { RequestLink } from './request-link.js';

/** How long a collected request waits for a slot at least, in milliseconds: the work of one upload. */
const COLLECTED_WAIT_MS = 250;

/** The endpoints of this node. */
export interface OwnedEndpoints extends EndpointPath {
  /** Keeps a place for a request whose body is to come; the error when there is none. */
  reserve(endpoint: Endpoint, call: Call, arrival: BodyArrival): RequestError | undefined;
  /** Gives a place up that was kept for a request which is not submitted. */
  unreserve(endpoint: Endpoint, call: Call): void;
  load(endpoint: Endpoint, workClass: string): LoadReport;
}

/** The request. */
export class RelayedRequest implements AttemptObserver {
  readonly body: RequestBody;
  private readonly reader: RelayBodyReader | undefined;
  private readonly credit: BodyCredit | undefined;
  private readonly streamId: number;
  private cancelCollecting: CancelTimer | undefined;
  private unreserve: () => void = () => undefined;
  private readonly requestId: string;
  private readonly arrivedAtMs: number;
  private attempt: Attempt | undefined;
  private sink: FrameSink | undefined;
  private isOver = false;

  constructor(
    frame: RequestFrame,
    maxBodyBytes: number,
    private readonly link: RequestLink,
    private readonly credits: CreditPool,
    private readonly scheduler: Scheduler,
  ) {
    this.streamId = frame.streamId;
    this.requestId = frame.requestId;
    this.arrivedAtMs = scheduler.now();
    if (isStreamed(frame)) {
      this.credit = this.openCredit(frame);
      this.reader = new RelayBodyReader((bytes) => this.credit?.want(bytes), false);
    }
    this.body = bodyOf(frame, this.reader, maxBodyBytes);
  }

  /**
   * Gives the request to its endpoint. One whose body is collected is refused by its head where that is
   * possible, and takes a slot only once its body is here.
   */
  start(endpoints: OwnedEndpoints, endpoint: Endpoint, call: Call): void {
    const { reader, credit } = this;
    if (reader === undefined || credit === undefined || !isCollected(this.body.length)) {
      this.submit(endpoints, endpoint, call);
      return;
    }
    const refusal = endpoints.reserve(endpoint, call, credit.expectedArrival());
    if (refusal !== undefined) {
      this.failed(refusal, endpoints.load(endpoint, call.workClass));
      return;
    }
    this.unreserve = () => endpoints.unreserve(endpoint, call);
    this.refuseUnlessCollected(call, () => endpoints.load(endpoint, call.workClass));
    collectBody(reader, (body) => {
      this.cancelCollecting?.();
      if (!this.isOver) {
        this.submit(endpoints, endpoint, collectedCall(call, body, this.scheduler.now()));
      }
    });
  }

  private submit(path: EndpointPath, endpoint: Endpoint, call: Call): void {
    const attempt = path.submit(endpoint, call, this);
    if (!this.isOver) {
      this.attempt = attempt;
    }
  }

  /** The refusal has to reach the caller's node before the deadline, which tells that it has not run. */
  private refuseUnlessCollected({ deadlineAtMs }: Call, load: () => LoadReport): void {
    const leftMs = deadlineAtMs - this.scheduler.now();
    this.cancelCollecting = this.scheduler.schedule(leftMs - refusalLeadMs(leftMs), () => {
      this.failed(new DeadlinePassedError('the body did not arrive in time'), load());
    });
  }

  /** Takes a frame of the sender. */
  take(frame: StreamFrame): void {
    switch (frame.kind) {
      case 'body':
        return this.takeBody(frame.bytes, frame.isLast);
      case 'credit':
        return this.sink?.addCredit(frame.creditBytes);
      case 'cancel':
      case 'request':
      case 'answer':
      case 'failure':
        return;
    }
  }

  /** Nobody waits for the answer any more; told in the log where the endpoint may be at work. */
  abandon(cause: AbandonCause, log: RequestLog): void {
    if (!this.isOver) {
      if (this.attempt?.isUnsent() === false) {
        log.record({
          event: 'attempt-abandoned',
          request: this.requestId,
          cause,
          elapsedMs: Math.round(this.scheduler.now() - this.arrivedAtMs),
        });
      }
      this.end();
      this.attempt?.abort();
      this.sink?.destroy();
    }
  }

  /** The node stops: the peer is told what is known. False when the answer has begun to go out. */
  giveUp(log: RequestLog): boolean {
    if (this.isOver || this.sink?.headersSent === true) {
      return false;
    }
    const isUnsent = this.attempt === undefined || this.attempt.isUnsent();
    const error = stopFailure(isUnsent);
    log.record({
      event: 'request-given-up',
      request: this.requestId,
      code: error.code,
      verdict: error.verdict,
      waitedFor: this.awaitedThing(isUnsent),
      elapsedMs: Math.round(this.scheduler.now() - this.arrivedAtMs),
    });
    this.failed(error);
    this.attempt?.abort();
    this.sink?.destroy();
    return true;
  }

  private awaitedThing(isUnsent: boolean): AwaitedThing {
    if (!this.body.isWhole()) {
      return 'body';
    }
    return isUnsent ? 'slot' : 'endpoint';
  }

  answered(answer: Answer): void {
    if (this.isOver) {
      return;
    }
    const load = answer.load && this.withBodyTime(answer.load);
    const sink = new FrameSink(this.streamId, { ...answer, load }, this.link);
    this.sink = sink;
    forwardAnswer(
      answer,
      sink,
      [...answer.headers],
      { maxBufferedBytes: 0 },
      {
        completed: () => sink.whenSent(() => this.end()),
        truncated: (wasPassedOn) => {
          sink.destroy();
          this.breakAnswer(wasPassedOn, answer.load);
        },
      },
    );
  }

  failed(error: RequestError, load?: LoadReport): void {
    if (this.isOver) {
      return;
    }
    this.end();
    this.link.send({
      kind: 'failure',
      streamId: this.streamId,
      code: error.code,
      status: error.status,
      verdict: error.verdict,
      isRetryable: error.retryable,
      retryAfterMs: error.retryAfterMs === undefined ? undefined : Math.ceil(error.retryAfterMs),
      ...frameLoadOf(
        load === undefined ? NO_LOAD : this.withBodyTime(load),
        this.link.isStopping(),
      ),
    });
  }

  /**
   * What callers are told an endpoint takes includes the time that bodies take on the link to its machine:
   * by the endpoint's own time alone, the quickest one got 1.5 times as many uploads as its link carries.
   */
  private withBodyTime(load: LoadReport): LoadReport {
    const { serviceMs } = load;
    const isCollected = this.credit !== undefined;
    return isCollected && serviceMs !== undefined
      ? { ...load, serviceMs: serviceMs + this.credits.meanBodyMs }
      : load;
  }

  private breakAnswer(wasPassedOn: boolean, load: LoadReport | undefined): void {
    if (!wasPassedOn) {
      this.failed(new TruncatedAnswerError('the answer broke off'), load);
    } else if (!this.isOver) {
      this.end();
      this.link.send({ kind: 'cancel', streamId: this.streamId });
    }
  }

  private openCredit({ priority, bodyForm, bodyBytes }: RequestFrame): BodyCredit {
    return this.credits.open({
      rank: rankInTime(priority),
      lengthBytes: bodyForm === 'sized' ? bodyBytes : undefined,
      grant: (creditBytes) => {
        this.link.send({ kind: 'credit', streamId: this.streamId, creditBytes });
      },
    });
  }

  private takeBody(bytes: Buffer, isLast: boolean): void {
    this.credit?.arrived(bytes.length);
    if (isLast) {
      this.credit?.close();
    }
    this.reader?.receive(bytes, isLast);
  }

  private end(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.cancelCollecting?.();
      this.unreserve();
      this.credit?.close();
      if (this.reader?.complete === false) {
        this.reader.destroy();
      }
      this.link.over();
    }
  }
}

/**
 * A body that is here is not sent to another endpoint for want of a slot: that would carry it over a link
 * again. It waits for one until its target has passed, and then still takes one that comes free soon.
 */
export function collectedCall(
  { targetAtMs, ...call }: Call,
  body: RequestBody,
  nowMs: number,
): Call {
  const waitsUntilMs = targetAtMs ?? call.startByMs;
  return waitsUntilMs === undefined
    ? { ...call, body }
    : { ...call, body, startByMs: Math.max(waitsUntilMs, nowMs + COLLECTED_WAIT_MS) };
}

function isStreamed({ bodyForm }: RequestFrame): boolean {
  return bodyForm === 'sized' || bodyForm === 'chunked';
}

function bodyOf(
  { bodyForm, bodyBytes, bytes }: RequestFrame,
  reader: RelayBodyReader | undefined,
  maxBodyBytes: number,
): RequestBody {
  if (reader !== undefined) {
    const length = bodyForm === 'sized' ? bodyBytes : undefined;
    return new StreamedBody(reader, length, [], maxBodyBytes);
  }
  return bodyForm === 'held' ? new HeldBody(bytes) : EMPTY_BODY;
}

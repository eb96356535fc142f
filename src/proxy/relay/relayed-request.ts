/** One request from a peer, at the node that owns the endpoint. */
import type { BodyArrival } from '../../admission/endpoint-admission.js';
import type { Endpoint } from '../../model/resource.js';
import { forwardAnswer } from '../answer-forwarding.js';
import type { Answer, Attempt, AttemptObserver, Call, EndpointPath, LoadReport } from '../call.js';
import { EMPTY_BODY, BufferedBody, StreamedBody, type RequestBody } from '../request-body.js';
import { refusalLeadMs } from '../refusal-lead.js';
import { DeadlinePassedError, TruncatedAnswerError, type RequestError } from '../request-error.js';
import type { AnnouncementReceiver } from '../slot-announcements.js';
import type { AbandonCause, AnswerState, AwaitedResource, RequestLog } from '../request-log.js';
import { onTimeRank } from '../../admission/work-rank.js';
import { stopFailure } from '../stop-failure.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import type { SlotListener, SlotOffer } from '../waiting/slot-offer.js';
import { bufferBody, isBuffered } from './collected-body.js';
import type { BodyCredit, CreditPool } from './credit-pool.js';
import { FrameSink } from './frame-sink.js';
import { RelayBodyReader } from './relay-body.js';
import type { RequestFrame, StreamFrame } from './relay-frame.js';
import { frameLoadOf, UNKNOWN_LOAD } from './relay-load.js';
import type { RequestLink } from './request-link.js';

/** Minimum time a buffered request waits for a slot, in milliseconds: the service time of one upload. */
const MIN_SLOT_WAIT_MS = 250;

/** Endpoints owned by this node. */
export interface OwnedEndpoints extends EndpointPath {
  /** Reserves capacity for a request whose body is yet to arrive; returns an error if there is none. */
  reserve(endpoint: Endpoint, call: Call, arrival: BodyArrival): RequestError | undefined;
  /** Releases the reservation of a request that is not submitted. */
  unreserve(endpoint: Endpoint, call: Call): void;
  load(endpoint: Endpoint, workClass: string): LoadReport;
  /** Applies the rate limit of the endpoint that a caller's node knows. */
  rateLimitReported(endpoint: Endpoint, maxRatePerS: number): void;
  /** Records a request for the endpoint that arrived from the receiver of announcements. */
  senderSeen?(endpoint: Endpoint, sender: AnnouncementReceiver): void;
  /** Declines a slot that was offered to the listener. */
  slotDeclined(offer: SlotOffer, listener: SlotListener): void;
  /** No more slots can be offered to the listener. */
  listenerGone(listener: SlotListener): void;
}

/** A request received over a relay connection. */
export class RelayedRequest implements AttemptObserver {
  readonly body: RequestBody;
  private readonly reader: RelayBodyReader | undefined;
  private readonly credit: BodyCredit | undefined;
  private readonly streamId: number;
  private cancelBodyTimeout: CancelTimer | undefined;
  private unreserve: () => void = () => undefined;
  readonly requestId: string;
  private readonly arrivedAtMs: number;
  private submittedAtMs: number;
  private attempt: Attempt | undefined;
  private sink: FrameSink | undefined;
  private isEnded = false;
  private travelLostMs = 0;

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
    this.submittedAtMs = this.arrivedAtMs;
    if (isStreamed(frame)) {
      this.credit = this.openCredit(frame);
      this.reader = new RelayBodyReader((bytes) => this.credit?.addDemand(bytes), false);
    }
    this.body = bodyOf(frame, this.reader, maxBodyBytes);
  }

  /**
   * Submits the request to its endpoint. A request with a buffered body is refused based on its head if possible,
   * and takes a slot only once its body is complete.
   */
  start(endpoints: OwnedEndpoints, endpoint: Endpoint, call: Call): void {
    this.travelLostMs = call.travelLostMs ?? 0;
    const { reader, credit } = this;
    if (reader === undefined || credit === undefined || !isBuffered(this.body.length)) {
      this.submit(endpoints, endpoint, call);
      return;
    }
    const refusal = endpoints.reserve(endpoint, call, credit.expectedArrival());
    if (refusal !== undefined) {
      this.failed(refusal, endpoints.load(endpoint, call.workClass));
      return;
    }
    this.unreserve = () => endpoints.unreserve(endpoint, call);
    this.scheduleBodyTimeout(call, () => endpoints.load(endpoint, call.workClass));
    bufferBody(reader, (body) => {
      this.cancelBodyTimeout?.();
      if (!this.isEnded) {
        this.submit(endpoints, endpoint, bufferedCall(call, body, this.scheduler.now()));
      }
    });
  }

  private submit(path: EndpointPath, endpoint: Endpoint, call: Call): void {
    this.submittedAtMs = this.scheduler.now();
    const attempt = path.submit(endpoint, call, this);
    if (!this.isEnded) {
      this.attempt = attempt;
    }
  }

  /** The refusal, which tells that the request has not run, must reach the caller's node before the deadline. */
  private scheduleBodyTimeout({ deadlineAtMs }: Call, load: () => LoadReport): void {
    const remainingMs = deadlineAtMs - this.scheduler.now();
    this.cancelBodyTimeout = this.scheduler.schedule(
      remainingMs - refusalLeadMs(remainingMs),
      () => {
        this.failed(new DeadlinePassedError('the body did not arrive in time'), load());
      },
    );
  }

  /** Handles a frame from the sender. */
  handleFrame(frame: StreamFrame): void {
    switch (frame.kind) {
      case 'body':
        return this.handleBody(frame.bytes, frame.isLast);
      case 'credit':
        return this.sink?.addCredit(frame.creditBytes);
      case 'cancel':
      case 'request':
      case 'answer':
      case 'failure':
        return;
    }
  }

  /** The answer is no longer awaited. */
  abandon(cause: AbandonCause, log: RequestLog): void {
    if (!this.isEnded) {
      log.record({
        event: 'attempt-abandoned',
        request: this.requestId,
        cause,
        waitedFor: this.awaitedResource(this.isUnsent),
        answer: this.answerState,
        travelLostMs: Math.round(this.travelLostMs),
        elapsedMs: Math.round(this.scheduler.now() - this.arrivedAtMs),
      });
      this.end();
      this.attempt?.abort();
      this.sink?.destroy();
    }
  }

  /**
   * Reports a failure to the peer because the node stops. Returns false if the request has ended or its answer has
   * started.
   */
  giveUp(log: RequestLog): boolean {
    if (this.isEnded || this.sink?.headersSent === true) {
      return false;
    }
    const { isUnsent } = this;
    const error = stopFailure(isUnsent);
    log.record({
      event: 'request-given-up',
      request: this.requestId,
      code: error.code,
      verdict: error.verdict,
      waitedFor: this.awaitedResource(isUnsent),
      elapsedMs: Math.round(this.scheduler.now() - this.arrivedAtMs),
    });
    this.failed(error);
    this.attempt?.abort();
    this.sink?.destroy();
    return true;
  }

  private get answerState(): AnswerState {
    if (this.sink === undefined) {
      return 'none';
    }
    return this.sink.headersSent ? 'forwarded' : 'begun';
  }

  /** Whether the endpoint has provably not received the request. */
  private get isUnsent(): boolean {
    return this.attempt === undefined || this.attempt.isUnsent();
  }

  private awaitedResource(isUnsent: boolean): AwaitedResource {
    if (!this.body.isComplete()) {
      return 'body';
    }
    return isUnsent ? 'slot' : 'endpoint';
  }

  answered(answer: Answer): void {
    if (this.isEnded) {
      return;
    }
    const load = answer.load && this.withBodyTime(answer.load);
    const bodyMs = this.submittedAtMs - this.arrivedAtMs;
    const nodeTimes = answer.nodeTimes && { ...answer.nodeTimes, bodyMs };
    const sink = new FrameSink(this.streamId, { ...answer, load, nodeTimes }, this.link);
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
          this.abortAnswer(wasPassedOn, answer.load);
        },
      },
    );
  }

  failed(error: RequestError, load?: LoadReport): void {
    if (this.isEnded) {
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
      slotWaitMs: error.slotWaitMs === undefined ? undefined : Math.ceil(error.slotWaitMs),
      ...frameLoadOf(
        load === undefined ? UNKNOWN_LOAD : this.withBodyTime(load),
        this.link.isStopping(),
      ),
    });
  }

  /**
   * Adds the body transfer time over the link to the endpoint's machine to the reported service time. With the
   * endpoint's own service time alone, the fastest endpoint received 1.5 times as many uploads as its link can carry.
   */
  private withBodyTime(load: LoadReport): LoadReport {
    const { serviceMs } = load;
    const hasStreamedBody = this.credit !== undefined;
    return hasStreamedBody && serviceMs !== undefined
      ? { ...load, serviceMs: serviceMs + this.credits.meanBodyMs }
      : load;
  }

  private abortAnswer(wasPassedOn: boolean, load: LoadReport | undefined): void {
    if (!wasPassedOn) {
      this.failed(new TruncatedAnswerError('the answer was truncated'), load);
    } else if (!this.isEnded) {
      this.end();
      this.link.send({ kind: 'cancel', streamId: this.streamId });
    }
  }

  private openCredit({ priority, bodyForm, bodyBytes }: RequestFrame): BodyCredit {
    return this.credits.open({
      rank: onTimeRank(priority),
      lengthBytes: bodyForm === 'sized' ? bodyBytes : undefined,
      grant: (creditBytes) => {
        this.link.send({ kind: 'credit', streamId: this.streamId, creditBytes });
      },
    });
  }

  private handleBody(bytes: Buffer, isLast: boolean): void {
    this.credit?.recordArrival(bytes.length);
    if (isLast) {
      this.credit?.close();
    }
    this.reader?.receive(bytes, isLast);
  }

  private end(): void {
    if (!this.isEnded) {
      this.isEnded = true;
      this.cancelBodyTimeout?.();
      this.unreserve();
      this.credit?.close();
      if (this.reader?.complete === false) {
        this.reader.destroy();
      }
      this.link.ended();
    }
  }
}

/**
 * Extends the slot wait of a request whose body has been received: sending it to another endpoint for lack of a
 * slot would transfer the body over a link again. The request waits until its target time, and at least
 * {@link MIN_SLOT_WAIT_MS}.
 */
export function bufferedCall(
  { targetAtMs, ...call }: Call,
  body: RequestBody,
  nowMs: number,
): Call {
  const waitUntilMs = targetAtMs ?? call.startByMs;
  return waitUntilMs === undefined
    ? { ...call, body }
    : { ...call, body, startByMs: Math.max(waitUntilMs, nowMs + MIN_SLOT_WAIT_MS) };
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
  return bodyForm === 'held' ? new BufferedBody(bytes) : EMPTY_BODY;
}

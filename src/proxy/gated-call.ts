/**
 * A request that waits in the queue of one endpoint and is then dispatched to it. Executes the
 * effects of {@link EndpointAttempt}.
 */
import { PROCESSOR_TIME } from '../clock/processor-time.js';
import type { ArrivalEvidence } from '../admission/arrival-window.js';
import type { Endpoint } from '../model/resource.js';
import type { AnswerStatement } from './answer-statement.js';
import { attemptError, DEFAULT_RETRY_AFTER_MS, endpointRefusedError } from './attempt-errors.js';
import { AnswerProgress, MAX_ANSWER_OVERRUN_MS } from './answer-progress.js';
import type { Answer, Attempt, AttemptObserver, Call, LoadReport } from './call.js';
import {
  EndpointAttempt,
  type AttemptReport,
  type EndpointAttemptEffect,
  type EndpointAttemptEvent,
} from './endpoint-attempt.js';
import type { EndpointConnector } from './endpoint-client.js';
import type { Exchange, ExchangeFailure } from './http-exchange.js';
import type { EndpointRequest } from './loss-judge.js';
import { refusalLeadMs } from './refusal-lead.js';
import type { CancelTimer, Scheduler } from './scheduler.js';
import type { EndpointNodeTimes } from './request-times.js';
import { CannotFinishInTimeError, EndpointGoneError, type RequestError } from './request-error.js';

/** Minimum timeout of a cancellation, in milliseconds. */
const MIN_CANCEL_TIMEOUT_MS = 20;
/**
 * Timeout of a cancellation that nobody waits for, in milliseconds: many of them may queue for the
 * connections.
 */
const ABANDONED_CANCEL_TIMEOUT_MS = 1_000;
/**
 * Time past the deadline after which the slot of a request with an unknown outcome is freed, in
 * milliseconds.
 */
const ORPHAN_HOLD_MS = 1_000;

/** Responses with this status or a higher one report a fault of the endpoint. */
const MIN_SERVER_ERROR_STATUS = 500;
/** Time after the deadline at which an answer in progress is ended here; its caller's node ends it before. */
const ANSWER_END_DELAY_MS = MAX_ANSWER_OVERRUN_MS + 200;

/**
 * How requests are cancelled: the time reserved for the cancellation before the deadline, and when
 * the slot is freed.
 */
export interface CancelLead {
  /** Share of the remaining time that is reserved. */
  readonly cancelLeadShare: number;
  /** Upper limit of the reserved time, in milliseconds. */
  readonly maxCancelLeadMs: number;
  /** See {@link EndpointProtocol.slotFreedAfterCloseMs}. */
  readonly slotFreedAfterCloseMs?: number | undefined;
}

/** The part of the endpoint's gate that a request uses. */
export interface CallGate {
  /** Load of the endpoint, with the mean service time of the work class. */
  load(workClass: string): LoadReport;
  /** Longest recent delay of the timers of this node, in milliseconds. */
  eventLoopLagMs(): number;
  /** Withdraws a request; returns true when it was still waiting. */
  withdraw(call: Call): boolean;
  /**
   * Logs that a waiting request was refused and should be retried after `retryAfterMs`. Returns the time in which a slot
   * is expected to be offered to its sender; undefined if none will be.
   */
  recordExpiry(call: Call, retryAfterMs: number): number | undefined;
  /**
   * Frees the slot of a dispatched request; `serviceMs` is its service time when it was answered.
   */
  release(call: Call, serviceMs: number | undefined): void;
  /** Records what is known of the arrival of a dispatched request at the endpoint; only the first evidence counts. */
  recordArrival(call: Call, evidence: ArrivalEvidence): void;
  /** Records that a request was written to its connection `delayMs` after its dispatch. */
  recordSent(delayMs: number): void;
  /**
   * Records that a dispatched request was given up after `elapsedMs`, while the endpoint was
   * processing it.
   */
  recordUnfinished(call: Call, elapsedMs: number): void;
  /** Applies what the endpoint stated with the response to a request that was sent at `sentAtMs`. */
  applyStatement(statement: AnswerStatement, sentAtMs: number): void;
  /** Applies the load that the endpoint reported with a response. */
  applyLoadReport(load: LoadReport | undefined): void;
  /** Records whether a dispatched request failed, where its outcome reflects on the endpoint. */
  recordOutcome(hasFailed: boolean): void;
  /** Logs that the endpoint received the request and did not answer it. */
  recordFailure(call: Call, code: string, elapsedMs: number, detail: string): void;
  /** Applies a refusal that the endpoint sent before it started the request. */
  applyRefusal(load: LoadReport | undefined): void;
  /**
   * Determines after the loss of a connection whether the endpoint's process exited; `report`
   * receives the result.
   */
  classifyLoss(gated: GatedCall, report: (hasExited: boolean) => void): void;
  /**
   * Records a complete response; `isSuccess` unless the response reports a fault of the endpoint.
   */
  answerCompleted(gated: GatedCall, isSuccess: boolean): void;
}

export class GatedCall implements Attempt, EndpointRequest {
  private attempt: EndpointAttempt | undefined;
  private exchange: Exchange | undefined;
  private answer: Answer | undefined;
  private cancelTimer: CancelTimer | undefined;
  private readonly submittedAtMs: number;
  private dispatchedAtMs = 0;
  private retryAfterMs: number | undefined;
  private load: LoadReport | undefined;
  private isOver = false;
  private isEndpointGone = false;
  private isAbandoned = false;
  /** Whether the exchange ended or was aborted. */
  private isExchangeOver = false;

  constructor(
    private gate: CallGate,
    private readonly client: EndpointConnector,
    private endpoint: Endpoint,
    readonly call: Call,
    private readonly observer: AttemptObserver,
    private readonly scheduler: Scheduler,
    private readonly cancelLead: CancelLead,
  ) {
    this.submittedAtMs = scheduler.now();
  }

  abort(): void {
    this.isAbandoned = true;
    if (this.attempt !== undefined) {
      this.recordUnfinished();
      this.handle({ type: 'abandoned', wasSent: this.exchange?.wasSent() === true });
    } else if (!this.isOver) {
      this.isOver = true;
      this.cancelTimer?.();
      this.gate.withdraw(this.call);
    }
  }

  /** Moves a waiting request to another gate; it will be sent to that gate's endpoint. */
  moveTo(gate: CallGate, endpoint: Endpoint): void {
    this.cancelTimer?.();
    this.gate = gate;
    this.endpoint = endpoint;
  }

  isUnsent(): boolean {
    return this.attempt === undefined || this.exchange?.wasSent() === false;
  }

  /**
   * Whether the endpoint has received the request and may be processing it until its slot is freed.
   */
  isInProgress(): boolean {
    return this.exchange?.wasSent() === true;
  }

  isConnected(): boolean {
    return this.isInProgress() && !this.isExchangeOver;
  }

  /** Refuses the request if it is still waiting at `latestStartAtMs`. */
  scheduleExpiry(latestStartAtMs: number): void {
    if (this.attempt === undefined && !this.isOver) {
      const nowMs = this.scheduler.now();
      const latestExpiryAtMs = this.call.deadlineAtMs - this.unsentLeadMs(nowMs);
      const delayMs = Math.min(latestStartAtMs, latestExpiryAtMs) - nowMs;
      this.cancelTimer = this.scheduler.schedule(delayMs, () => this.expireWaiting());
    }
  }

  refuse(error: RequestError): void {
    this.isOver = true;
    this.cancelTimer?.();
    this.observer.failed(error, this.gate.load(this.call.workClass));
  }

  dispatch(): void {
    this.cancelTimer?.();
    this.attempt = new EndpointAttempt();
    this.dispatchedAtMs = this.scheduler.now();
    const remainingMs = this.call.deadlineAtMs - this.dispatchedAtMs;
    const workMs = remainingMs - this.cancelLeadMs(this.dispatchedAtMs);
    this.cancelTimer = this.scheduler.schedule(workMs, () => {
      this.recordUnfinished();
      this.handle({ type: 'deadline', wasSent: this.exchange?.wasSent() === true });
    });
    this.exchange = this.client.send(this.endpoint, this.call, workMs, {
      sent: () => this.gate.recordSent(this.scheduler.now() - this.dispatchedAtMs),
      stated: (statement) => this.gate.applyStatement(statement, this.dispatchedAtMs),
      answered: (answer) => this.handleAnswer(answer),
      refused: (load, retryAfterMs, isOtherEndpoint) => {
        this.isEndpointGone = isOtherEndpoint;
        this.handleRefusal(load, retryAfterMs);
      },
      failed: (failure) => this.handleFailure(failure),
    });
  }

  /**
   * Reports the elapsed time of an unfinished request. If only completed requests counted, a slower
   * endpoint would contribute fewer measurements, and its service time would be underestimated.
   */
  private recordUnfinished(): void {
    if (this.answer === undefined && this.isConnected()) {
      this.gate.recordUnfinished(this.call, this.scheduler.now() - this.dispatchedAtMs);
    }
  }

  private handleFailure(failure: ExchangeFailure): void {
    this.isExchangeOver = true;
    if (failure !== 'lost') {
      this.handle({ type: 'failed', failure });
      return;
    }
    this.gate.classifyLoss(this, (hasExited) => {
      this.handle(hasExited ? { type: 'ended' } : { type: 'failed', failure });
    });
  }

  private expireWaiting(): void {
    if (this.attempt === undefined && this.gate.withdraw(this.call)) {
      const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
      const slotWaitMs = this.gate.recordExpiry(this.call, retryAfterMs);
      this.refuse(
        new CannotFinishInTimeError('no slot became free in time', retryAfterMs, slotWaitMs),
      );
    }
  }

  private handleAnswer(answer: Answer): void {
    this.answer = answer;
    this.gate.recordArrival(this.call, 'arrived');
    this.gate.applyLoadReport(answer.load);
    const { body } = answer;
    if (body.kind === 'held') {
      this.handle({ type: 'answered' });
      this.handleAnswerEnd(answer.status, true);
      return;
    }
    body.stream.once('close', () => this.handleAnswerEnd(answer.status, body.isComplete()));
    this.handle({ type: 'answered' });
    PROCESSOR_TIME.workEnded('endpoint-answered');
  }

  private handleAnswerEnd(status: number, isWhole: boolean): void {
    this.isExchangeOver = true;
    if (isWhole) {
      this.gate.answerCompleted(this, status < MIN_SERVER_ERROR_STATUS);
    } else if (!this.isAbandoned) {
      this.gate.classifyLoss(this, () => undefined);
    }
    if (!this.isAbandoned) {
      this.gate.recordOutcome(!isWhole || status >= MIN_SERVER_ERROR_STATUS);
    }
    this.handle({ type: 'answer-ended', isWhole });
    PROCESSOR_TIME.workEnded('endpoint-answered');
  }

  private handleRefusal(load: LoadReport | undefined, retryAfterMs: number | undefined): void {
    this.load = load;
    this.retryAfterMs = retryAfterMs;
    this.gate.recordArrival(this.call, 'arrived');
    this.gate.applyRefusal(load);
    this.handle({ type: 'refused' });
  }

  private handle(event: EndpointAttemptEvent): void {
    for (const effect of this.attempt?.handle(event) ?? []) {
      this.execute(effect);
    }
  }

  private execute(effect: EndpointAttemptEffect): void {
    switch (effect.type) {
      case 'pass-answer':
        return this.forwardAnswer();
      case 'report':
        return this.report(effect.report);
      case 'send-cancel':
        return this.sendCancel();
      case 'close-exchange':
        this.isExchangeOver = true;
        return this.exchange?.abort();
      case 'hold-slot':
        return this.holdSlot();
      case 'release-slot':
        return this.releaseSlot(effect.isMeasured);
    }
  }

  private report(report: AttemptReport): void {
    const error = this.errorOf(report);
    if (report !== 'refused') {
      this.gate.recordOutcome(true);
    }
    const elapsedMs = this.scheduler.now() - this.dispatchedAtMs;
    this.gate.recordFailure(this.call, error.code, elapsedMs, this.describeLoad());
    this.observer.failed(error, this.gate.load(this.call.workClass));
  }

  /** The load that the endpoint reported with its refusal. */
  private describeLoad(): string {
    return this.load === undefined ? '' : `load ${this.load.inFlight}/${this.load.slots}`;
  }

  private forwardAnswer(): void {
    if (this.answer !== undefined) {
      this.cancelTimer?.();
      const draining = this.answer.load?.draining === true;
      const load = { ...this.gate.load(this.call.workClass), draining };
      this.observer.answered({ ...this.answer, load, nodeTimes: this.nodeTimes() });
      if (this.answer.body.kind === 'streamed' && !this.isExchangeOver) {
        this.scheduleAnswerEnd(this.answer);
      }
    }
  }

  /** Ends an answer in progress that its caller's node has not ended, so that its slot becomes free. */
  private scheduleAnswerEnd(answer: Answer): void {
    const progress = new AnswerProgress(answer, () => this.scheduler.now());
    const deadlineAtMs = this.call.deadlineAtMs + ANSWER_END_DELAY_MS;
    const check = (): void => {
      if (progress.mayContinue(deadlineAtMs, true)) {
        this.cancelTimer = this.scheduler.schedule(ANSWER_END_DELAY_MS, check);
        return;
      }
      this.gate.recordOutcome(true);
      const elapsedMs = this.scheduler.now() - this.dispatchedAtMs;
      this.gate.recordFailure(this.call, 'TIMED_OUT', elapsedMs, 'the answer had begun');
      this.abort();
    };
    this.cancelTimer = this.scheduler.schedule(deadlineAtMs - this.scheduler.now(), check);
  }

  private nodeTimes(): EndpointNodeTimes {
    const endpointMs = this.scheduler.now() - this.dispatchedAtMs;
    return { bodyMs: 0, queueMs: this.dispatchedAtMs - this.submittedAtMs, endpointMs };
  }

  private sendCancel(): void {
    this.cancelTimer?.();
    const remainingMs = this.call.deadlineAtMs - this.scheduler.now();
    const maxMs = this.isAbandoned ? ABANDONED_CANCEL_TIMEOUT_MS : this.cancelLead.maxCancelLeadMs;
    const timeoutMs = Math.max(MIN_CANCEL_TIMEOUT_MS, Math.min(maxMs, remainingMs));
    this.client.cancel(this.endpoint, this.call.requestId, timeoutMs, (outcome) => {
      this.handle({ type: 'cancel-answered', outcome });
    });
  }

  private cancelLeadMs(nowMs: number): number {
    const { cancelLeadShare, maxCancelLeadMs } = this.cancelLead;
    return Math.min(maxCancelLeadMs, (this.call.deadlineAtMs - nowMs) * cancelLeadShare);
  }

  /**
   * Time before the deadline at which a request that was not sent is refused. The way back to the
   * caller's node is expected to take as long as the way here.
   */
  private unsentLeadMs(nowMs: number): number {
    const latenessMs = this.gate.eventLoopLagMs() + (this.call.travelLostMs ?? 0);
    const leadMs = refusalLeadMs(this.call.deadlineAtMs - nowMs, latenessMs);
    return Math.max(this.cancelLeadMs(nowMs), leadMs);
  }

  private holdSlot(): void {
    const untilDeadlineMs = Math.max(0, this.call.deadlineAtMs - this.scheduler.now());
    const holdMs = this.cancelLead.slotFreedAfterCloseMs ?? untilDeadlineMs + ORPHAN_HOLD_MS;
    this.cancelTimer = this.scheduler.schedule(holdMs, () => this.handle({ type: 'hold-over' }));
  }

  private releaseSlot(isMeasured: boolean): void {
    this.cancelTimer?.();
    const serviceMs = isMeasured ? this.scheduler.now() - this.dispatchedAtMs : undefined;
    const wasSent = this.exchange?.wasSent() === true;
    this.gate.recordArrival(this.call, wasSent ? 'may-arrive' : 'never-sent');
    this.gate.release(this.call, serviceMs);
  }

  private errorOf(report: AttemptReport): RequestError {
    const { name } = this.endpoint;
    if (this.isEndpointGone) {
      return new EndpointGoneError(`another process is running at the address of endpoint ${name}`);
    }
    return report === 'refused'
      ? endpointRefusedError(name, this.load?.draining === true, this.retryAfterMs)
      : attemptError(report, name);
  }
}

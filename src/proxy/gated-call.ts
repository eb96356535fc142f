/**
 * One request at the gate of its endpoint: waiting, then dispatched. Executes the effects of
 * {@link EndpointAttempt}.
 */
import type { Endpoint } from '../model/resource.js';
import { attemptError, DEFAULT_RETRY_AFTER_MS, endpointRefusedError } from './attempt-errors.js';
import type { Answer, Attempt, AttemptObserver, Call, LoadReport } from './call.js';
import {
  EndpointAttempt,
  type AttemptReport,
  type EndpointAttemptEffect,
  type EndpointAttemptEvent,
} from './endpoint-attempt.js';
import type { EndpointConnector } from './endpoint-client.js';
import type { Exchange, ExchangeFailure } from './http-exchange.js';
import type { EndpointWork } from './loss-judge.js';
import { refusalLeadMs } from './refusal-lead.js';
import type { CancelTimer, Scheduler } from './scheduler.js';
import { CannotFinishInTimeError, EndpointGoneError, type RequestError } from './request-error.js';

/** Least time that a cancellation is waited for, in milliseconds. */
const MIN_CANCEL_TIMEOUT_MS = 20;
/** A slot whose request can't be accounted for stays taken for this long past its deadline. */
const ORPHAN_HOLD_MS = 1_000;

/** Answers from this status on report a fault of the endpoint. */
const FAULT_STATUS = 500;

/** How requests are cancelled: the time that is kept for it at their end, and what it does. */
export interface CancelLead {
  /** Part of the remaining time. */
  readonly cancelLeadShare: number;
  /** Most of it, in milliseconds. */
  readonly maxCancelLeadMs: number;
  /** See {@link EndpointProtocol.slotFreedAfterCloseMs}. */
  readonly slotFreedAfterCloseMs?: number | undefined;
}

/** What a request needs of its gate. */
export interface CallGate {
  /** Load, with the time that the class of work takes. */
  load(workClass: string): LoadReport;
  /** The request is given up; true when it was still waiting. */
  withdraw(call: Call): boolean;
  /** A request that waited is refused, to come back after `retryAfterMs`; for the log. */
  recordExpiry(call: Call, retryAfterMs: number): void;
  /** A dispatched request no longer occupies the endpoint; with its time when it was answered. */
  release(call: Call, serviceMs: number | undefined): void;
  /** A dispatched request is given up while the endpoint is at work on it, for `elapsedMs` so far. */
  gaveUp(call: Call, elapsedMs: number): void;
  /** The endpoint answered and told its load. */
  takeLoad(load: LoadReport | undefined): void;
  /** What a dispatched request came to, where that speaks for the endpoint. */
  takeOutcome(hasFailed: boolean): void;
  /** The endpoint got the request and did not answer it; for the log. */
  recordFailure(call: Call, code: string, elapsedMs: number, detail: string): void;
  /** The endpoint refused before the start. */
  takeRefusal(load: LoadReport | undefined): void;
  /** The connection was lost; `report` gets whether the endpoint's process ended. */
  judgeLoss(gated: GatedCall, report: (hasEnded: boolean) => void): void;
  /** The endpoint answered in whole; `isSuccess` unless the answer reports a fault of its own. */
  answeredWhole(gated: GatedCall, isSuccess: boolean): void;
}

/** One request. */
export class GatedCall implements Attempt, EndpointWork {
  private attempt: EndpointAttempt | undefined;
  private exchange: Exchange | undefined;
  private answer: Answer | undefined;
  private cancelTimer: CancelTimer | undefined;
  private dispatchedAtMs = 0;
  private retryAfterMs: number | undefined;
  private load: LoadReport | undefined;
  private isOver = false;
  private isEndpointGone = false;
  private isAbandoned = false;
  /** Whether the exchange is over, or was given up. */
  private isExchangeOver = false;

  constructor(
    private gate: CallGate,
    private readonly client: EndpointConnector,
    private endpoint: Endpoint,
    readonly call: Call,
    private readonly observer: AttemptObserver,
    private readonly scheduler: Scheduler,
    private readonly lead: CancelLead,
  ) {}

  abort(): void {
    this.isAbandoned = true;
    if (this.attempt !== undefined) {
      this.noteUnfinished();
      this.handle({ type: 'abandoned', wasSent: this.exchange?.wasSent() === true });
    } else if (!this.isOver) {
      this.isOver = true;
      this.cancelTimer?.();
      this.gate.withdraw(this.call);
    }
  }

  /** The request waits at another gate from now on: it is sent to that one's endpoint. */
  moveTo(gate: CallGate, endpoint: Endpoint): void {
    this.cancelTimer?.();
    this.gate = gate;
    this.endpoint = endpoint;
  }

  isUnsent(): boolean {
    return this.attempt === undefined || this.exchange?.wasSent() === false;
  }

  /** Whether the endpoint has got the request, so that it may be at work on it until its slot is free. */
  isAtWork(): boolean {
    return this.exchange?.wasSent() === true;
  }

  isConnected(): boolean {
    return this.isAtWork() && !this.isExchangeOver;
  }

  /** Refuses the request when it still waits at `latestStartAtMs`. */
  waitUntil(latestStartAtMs: number): void {
    if (this.attempt === undefined && !this.isOver) {
      const nowMs = this.scheduler.now();
      const leftMs = this.call.deadlineAtMs - nowMs;
      const leadMs = Math.max(this.cancelLeadMs(nowMs), refusalLeadMs(leftMs));
      const lastMomentMs = this.call.deadlineAtMs - leadMs;
      const delayMs = Math.min(latestStartAtMs, lastMomentMs) - nowMs;
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
      this.noteUnfinished();
      this.handle({ type: 'deadline', wasSent: this.exchange?.wasSent() === true });
    });
    this.exchange = this.client.send(this.endpoint, this.call, workMs, {
      answered: (answer) => this.takeAnswer(answer),
      refused: (load, retryAfterMs, isOtherEndpoint) => {
        this.isEndpointGone = isOtherEndpoint;
        this.takeRefusal(load, retryAfterMs);
      },
      failed: (failure) => this.takeLoss(failure),
    });
  }

  /** Without such times only what an endpoint finished would count: the slower it is, the less of it. */
  private noteUnfinished(): void {
    if (this.answer === undefined && this.isConnected()) {
      this.gate.gaveUp(this.call, this.scheduler.now() - this.dispatchedAtMs);
    }
  }

  private takeLoss(failure: ExchangeFailure): void {
    this.isExchangeOver = true;
    if (failure !== 'lost') {
      this.handle({ type: 'failed', failure });
      return;
    }
    this.gate.judgeLoss(this, (hasEnded) => {
      this.handle(hasEnded ? { type: 'ended' } : { type: 'failed', failure });
    });
  }

  private expireWaiting(): void {
    if (this.attempt === undefined && this.gate.withdraw(this.call)) {
      this.gate.recordExpiry(this.call, DEFAULT_RETRY_AFTER_MS);
      this.refuse(new CannotFinishInTimeError('no slot came free in time', DEFAULT_RETRY_AFTER_MS));
    }
  }

  private takeAnswer(answer: Answer): void {
    this.answer = answer;
    this.gate.takeLoad(answer.load);
    const { body } = answer;
    if (body.kind === 'held') {
      this.handle({ type: 'answered' });
      this.endAnswer(answer.status, true);
      return;
    }
    body.stream.once('close', () => this.endAnswer(answer.status, body.isComplete()));
    this.handle({ type: 'answered' });
  }

  private endAnswer(status: number, isWhole: boolean): void {
    this.isExchangeOver = true;
    if (isWhole) {
      this.gate.answeredWhole(this, status < FAULT_STATUS);
    } else if (!this.isAbandoned) {
      this.gate.judgeLoss(this, () => undefined);
    }
    if (!this.isAbandoned) {
      this.gate.takeOutcome(!isWhole || status >= FAULT_STATUS);
    }
    this.handle({ type: 'answer-ended', isWhole });
  }

  private takeRefusal(load: LoadReport | undefined, retryAfterMs: number | undefined): void {
    this.load = load;
    this.retryAfterMs = retryAfterMs;
    this.gate.takeRefusal(load);
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
        return this.passAnswer();
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
      this.gate.takeOutcome(true);
    }
    const elapsedMs = this.scheduler.now() - this.dispatchedAtMs;
    this.gate.recordFailure(this.call, error.code, elapsedMs, this.describeLoad());
    this.observer.failed(error, this.gate.load(this.call.workClass));
  }

  /** The load that the endpoint told with its refusal. */
  private describeLoad(): string {
    return this.load === undefined ? '' : `load ${this.load.inFlight}/${this.load.slots}`;
  }

  private passAnswer(): void {
    if (this.answer !== undefined) {
      this.cancelTimer?.();
      const draining = this.answer.load?.draining === true;
      const load = { ...this.gate.load(this.call.workClass), draining };
      this.observer.answered({ ...this.answer, load });
    }
  }

  private sendCancel(): void {
    this.cancelTimer?.();
    const leftMs = this.call.deadlineAtMs - this.scheduler.now();
    const timeoutMs = Math.max(MIN_CANCEL_TIMEOUT_MS, Math.min(this.lead.maxCancelLeadMs, leftMs));
    this.client.cancel(this.endpoint, this.call.requestId, timeoutMs, (outcome) => {
      this.handle({ type: 'cancel-answered', outcome });
    });
  }

  private cancelLeadMs(nowMs: number): number {
    const { cancelLeadShare, maxCancelLeadMs } = this.lead;
    return Math.min(maxCancelLeadMs, (this.call.deadlineAtMs - nowMs) * cancelLeadShare);
  }

  private holdSlot(): void {
    const untilDeadlineMs = Math.max(0, this.call.deadlineAtMs - this.scheduler.now());
    const holdMs = this.lead.slotFreedAfterCloseMs ?? untilDeadlineMs + ORPHAN_HOLD_MS;
    this.cancelTimer = this.scheduler.schedule(holdMs, () => this.handle({ type: 'hold-over' }));
  }

  private releaseSlot(isMeasured: boolean): void {
    this.cancelTimer?.();
    const serviceMs = isMeasured ? this.scheduler.now() - this.dispatchedAtMs : undefined;
    this.gate.release(this.call, serviceMs);
  }

  private errorOf(report: AttemptReport): RequestError {
    const { name } = this.endpoint;
    if (this.isEndpointGone) {
      return new EndpointGoneError(`another process has the address of endpoint ${name}`);
    }
    return report === 'refused'
      ? endpointRefusedError(name, this.load?.draining === true, this.retryAfterMs)
      : attemptError(report, name);
  }
}

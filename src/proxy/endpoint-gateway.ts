/**
 * The way to endpoints that this node reaches itself: admission to the endpoint's slots, then the
 * endpoint's client. Executes the effects of {@link EndpointAdmission} and {@link EndpointAttempt}.
 */
import {
  EndpointAdmission,
  type AdmissionEffect,
  type RefusalReason,
} from '../admission/endpoint-admission.js';
import type { CounterSink } from '../control/control-event.js';
import type { Endpoint } from '../model/resource.js';
import type { Answer, Attempt, AttemptObserver, Call, EndpointPath, LoadReport } from './call.js';
import {
  EndpointAttempt,
  type AttemptReport,
  type EndpointAttemptEffect,
  type EndpointAttemptEvent,
} from './endpoint-attempt.js';
import type { EndpointClient } from './endpoint-client.js';
import type { Exchange } from './http-exchange.js';
import {
  CancelledError,
  CannotFinishInTimeError,
  ConnectionLostError,
  DeadlinePassedError,
  EndpointDrainingError,
  EndpointRefusedError,
  LostBeforeStartError,
  MalformedAnswerError,
  OverloadedError,
  TimedOutError,
  UnreachableError,
  type RequestError,
} from './request-error.js';

/** Part of the remaining time kept for a cancellation and the way back. */
const CANCEL_LEAD_SHARE = 0.1;
/** Most time kept for a cancellation and the way back, in milliseconds. */
const MAX_CANCEL_LEAD_MS = 50;
/** Least time that a cancellation is waited for, in milliseconds. */
const MIN_CANCEL_TIMEOUT_MS = 20;
/** A slot whose request can't be accounted for stays taken for this long past its deadline. */
const ORPHAN_HOLD_MS = 1_000;
/** When to come back after the endpoint refused without saying, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** How many requests at once this node may send to an endpoint. */
export type SlotRule = (endpoint: Endpoint) => number;

/** Admission and connections of all endpoints that this node reaches itself. */
export class EndpointGateway implements EndpointPath {
  private readonly gates = new Map<string, EndpointGate>();

  constructor(
    private readonly client: EndpointClient,
    private readonly slotRule: SlotRule,
    private readonly counters: CounterSink,
    private readonly clock: () => number,
  ) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    return this.gateOf(endpoint).submit(endpoint, call, observer);
  }

  /** Load of an endpoint as its owner sees it: what runs and what waits. */
  loadOf(endpoint: Endpoint): LoadReport {
    return this.gateOf(endpoint).load();
  }

  private gateOf(endpoint: Endpoint): EndpointGate {
    const key = `${endpoint.name} ${endpoint.spec.address}:${endpoint.spec.port}`;
    let gate = this.gates.get(key);
    if (gate === undefined) {
      gate = new EndpointGate(endpoint, this.client, this.slotRule, this.counters, this.clock);
      this.gates.set(key, gate);
    }
    return gate;
  }
}

/** Admission to one endpoint. */
class EndpointGate {
  private readonly admission: EndpointAdmission;
  private readonly calls = new Map<string, GatedCall>();
  private slots: number;

  constructor(
    endpoint: Endpoint,
    private readonly client: EndpointClient,
    private readonly slotRule: SlotRule,
    private readonly counters: CounterSink,
    private readonly clock: () => number,
  ) {
    this.slots = slotRule(endpoint);
    this.admission = new EndpointAdmission(this.slots);
  }

  load(): LoadReport {
    const inFlight = this.admission.runningCount + this.admission.waitingCount;
    return { inFlight, slots: this.slots, draining: this.admission.isDraining };
  }

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    this.takeConfiguration(endpoint);
    const gated = new GatedCall(this, this.client, endpoint, call, observer, this.clock);
    this.calls.set(call.requestId, gated);
    const ticket = { ...call, requestId: call.requestId };
    this.execute(this.admission.offer(ticket, this.clock()));
    gated.waitUntil(this.admission.latestStartAtMs(call.deadlineAtMs));
    return gated;
  }

  /** A waiting request is given up; true when it was still waiting. */
  withdraw(call: Call): boolean {
    const wasWaiting = this.admission.withdraw(call.requestId, call.callerNode);
    if (wasWaiting) {
      this.calls.delete(call.requestId);
    }
    return wasWaiting;
  }

  /** A dispatched request no longer occupies the endpoint. */
  release(call: Call, serviceMs: number | undefined): void {
    this.calls.delete(call.requestId);
    this.execute(this.admission.release(call.requestId, this.clock(), serviceMs));
  }

  /** Takes what the endpoint itself said of its load. */
  takeLoad(load: LoadReport | undefined): void {
    if (load?.draining === true && !this.admission.isDraining) {
      this.execute(this.admission.setDraining(true));
    }
  }

  private takeConfiguration(endpoint: Endpoint): void {
    const slots = this.slotRule(endpoint);
    if (slots !== this.slots) {
      this.slots = slots;
      this.execute(this.admission.setSlots(slots, this.clock()));
    }
  }

  private execute(effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      const gated = this.calls.get(effect.requestId);
      if (effect.type === 'dispatch') {
        this.counters.add('ferryspool_endpoint_dispatches_total');
        gated?.dispatch();
      } else {
        this.counters.add('ferryspool_endpoint_refusals_total');
        this.calls.delete(effect.requestId);
        gated?.refuse(refusalError(effect.reason, effect.retryAfterMs));
      }
    }
  }
}

/** One request at its gate: waiting, then dispatched. */
class GatedCall implements Attempt {
  private attempt: EndpointAttempt | undefined;
  private exchange: Exchange | undefined;
  private answer: Answer | undefined;
  private timer: NodeJS.Timeout | undefined;
  private dispatchedAtMs = 0;
  private retryAfterMs: number | undefined;
  private load: LoadReport | undefined;
  private isOver = false;

  constructor(
    private readonly gate: EndpointGate,
    private readonly client: EndpointClient,
    private readonly endpoint: Endpoint,
    private readonly call: Call,
    private readonly observer: AttemptObserver,
    private readonly clock: () => number,
  ) {}

  abort(): void {
    if (this.attempt !== undefined) {
      this.handle({ type: 'abandoned', wasSent: this.exchange?.wasSent() === true });
    } else if (!this.isOver) {
      this.isOver = true;
      clearTimeout(this.timer);
      this.gate.withdraw(this.call);
    }
  }

  /** Refuses the request when it still waits at `latestStartAtMs`. */
  waitUntil(latestStartAtMs: number): void {
    if (this.attempt === undefined && !this.isOver) {
      const nowMs = this.clock();
      const lastMomentMs = this.call.deadlineAtMs - cancelLeadMs(this.call, nowMs);
      const delayMs = Math.min(latestStartAtMs, lastMomentMs) - nowMs;
      this.timer = setTimeout(() => this.expireWaiting(), delayMs);
    }
  }

  refuse(error: RequestError): void {
    this.isOver = true;
    clearTimeout(this.timer);
    this.observer.failed(error, this.gate.load());
  }

  dispatch(): void {
    clearTimeout(this.timer);
    this.attempt = new EndpointAttempt();
    this.dispatchedAtMs = this.clock();
    const remainingMs = this.call.deadlineAtMs - this.dispatchedAtMs;
    const workMs = remainingMs - cancelLeadMs(this.call, this.dispatchedAtMs);
    this.timer = setTimeout(() => {
      this.handle({ type: 'deadline', wasSent: this.exchange?.wasSent() === true });
    }, workMs);
    this.exchange = this.client.send(this.endpoint, this.call, workMs, {
      answered: (answer) => this.takeAnswer(answer),
      refused: (load, retryAfterMs) => this.takeRefusal(load, retryAfterMs),
      failed: (failure) => this.handle({ type: 'failed', failure }),
    });
  }

  private expireWaiting(): void {
    if (this.attempt === undefined && this.gate.withdraw(this.call)) {
      this.refuse(new CannotFinishInTimeError('no slot came free in time', DEFAULT_RETRY_AFTER_MS));
    }
  }

  private takeAnswer(answer: Answer): void {
    this.answer = answer;
    this.gate.takeLoad(answer.load);
    answer.stream.once('close', () => {
      this.handle({ type: 'answer-ended', isWhole: answer.stream.complete });
    });
    this.handle({ type: 'answered' });
  }

  private takeRefusal(load: LoadReport | undefined, retryAfterMs: number | undefined): void {
    this.load = load;
    this.retryAfterMs = retryAfterMs;
    this.gate.takeLoad(load);
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
        return this.observer.failed(this.errorOf(effect.report), this.gate.load());
      case 'send-cancel':
        return this.sendCancel();
      case 'close-exchange':
        return this.exchange?.abort();
      case 'hold-slot':
        return this.holdSlot();
      case 'release-slot':
        return this.releaseSlot(effect.isMeasured);
    }
  }

  private passAnswer(): void {
    if (this.answer !== undefined) {
      clearTimeout(this.timer);
      const draining = this.answer.load?.draining === true;
      this.observer.answered({ ...this.answer, load: { ...this.gate.load(), draining } });
    }
  }

  private sendCancel(): void {
    clearTimeout(this.timer);
    const leftMs = this.call.deadlineAtMs - this.clock();
    const timeoutMs = Math.max(MIN_CANCEL_TIMEOUT_MS, Math.min(MAX_CANCEL_LEAD_MS, leftMs));
    this.client.cancel(this.endpoint, this.call.requestId, timeoutMs, (outcome) => {
      this.handle({ type: 'cancel-answered', outcome });
    });
  }

  private holdSlot(): void {
    const holdMs = Math.max(0, this.call.deadlineAtMs - this.clock()) + ORPHAN_HOLD_MS;
    this.timer = setTimeout(() => this.handle({ type: 'hold-over' }), holdMs);
  }

  private releaseSlot(isMeasured: boolean): void {
    clearTimeout(this.timer);
    this.gate.release(this.call, isMeasured ? this.clock() - this.dispatchedAtMs : undefined);
  }

  private errorOf(report: AttemptReport): RequestError {
    const { name } = this.endpoint;
    switch (report) {
      case 'refused':
        return this.refusedError();
      case 'unreachable':
        return new UnreachableError(`no connection to endpoint ${name}`, DEFAULT_RETRY_AFTER_MS);
      case 'deadline-passed':
        return new DeadlinePassedError('the deadline passed before the request was sent');
      case 'cancelled':
        return new CancelledError('the deadline passed; the endpoint cancelled the request');
      case 'lost-before-start':
        return new LostBeforeStartError(`endpoint ${name} had not started the request`);
      case 'timed-out':
        return new TimedOutError(`endpoint ${name} did not answer before the deadline`);
      case 'lost':
        return new ConnectionLostError(`the connection to endpoint ${name} was lost`);
      case 'malformed':
        return new MalformedAnswerError(`the answer of endpoint ${name} is malformed`);
    }
  }

  private refusedError(): RequestError {
    const retryAfterMs = this.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    return this.load?.draining === true
      ? new EndpointDrainingError(`endpoint ${this.endpoint.name} is draining`, retryAfterMs)
      : new EndpointRefusedError(`endpoint ${this.endpoint.name} refused`, retryAfterMs);
  }
}

/** Part of the time left that is kept for a cancellation and the way back. */
function cancelLeadMs(call: Call, nowMs: number): number {
  return Math.min(MAX_CANCEL_LEAD_MS, (call.deadlineAtMs - nowMs) * CANCEL_LEAD_SHARE);
}

function refusalError(reason: RefusalReason, retryAfterMs: number): RequestError {
  switch (reason) {
    case 'queue-full':
      return new OverloadedError('the queue of the endpoint is full', retryAfterMs);
    case 'cannot-finish-in-time':
      return new CannotFinishInTimeError('the deadline is too near', retryAfterMs);
    case 'deadline-passed':
      return new DeadlinePassedError('the deadline passed while the request waited', retryAfterMs);
    case 'draining':
      return new EndpointDrainingError('the endpoint is draining', retryAfterMs);
  }
}

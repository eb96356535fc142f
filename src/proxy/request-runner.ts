/** Runs one caller's request: executes the effects of {@link RequestLifecycle}. */
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { Verdict } from '../model/verdict.js';
import type { AnswerObserver } from './answer-forwarding.js';
import { callOf } from './attempt-call.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import { outcomeOf } from './attempt-errors.js';
import type { Answer, LoadReport } from './call.js';
import type { ConnectionEndReason } from './connection-end.js';
import { EndpointChoice } from './endpoint-choice.js';
import { expiryFailure } from './expiry-failure.js';
import { keepAnswer } from './kept-answer.js';
import { RequestAttempt } from './request-attempt.js';
import type { RequestBody } from './request-body.js';
import {
  CallerGoneError,
  EndpointFaultError,
  InternalError,
  NoEndpointError,
  RequestError,
  TruncatedAnswerError,
  type RequestFailure,
} from './request-error.js';
import { namedFingerprint, type AwaitedThing, type RequestDecisionName } from './request-log.js';
import { RequestLifecycle, type RequestEffect, type RequestEvent } from './request-lifecycle.js';
import { requestPolicyOf } from './request-policy.js';
import { RequestStanding } from './request-standing.js';
import type { CancelTimer } from './scheduler.js';
import { stopFailure } from './stop-failure.js';
import { nextOf, silenceError } from './suspicion.js';
import type { RequestContext } from './request-context.js';
import { requestDecision, type DecisionDetails } from './request-decision.js';

/** When to come back after no endpoint had room, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 200;
/** Answers from this status on report a fault of the endpoint. */
const FAULT_STATUS = 500;
/** For an answer with which the request is over whatever becomes of it. */
const IGNORED_END: AnswerObserver = { completed: () => undefined, truncated: () => undefined };

/** One caller's request under way. */
export class RequestRunner {
  private readonly lifecycle: RequestLifecycle;
  private readonly choice: EndpointChoice;
  private isExpired = false;
  /** Number of the latest attempt. */
  private attemptNumber = 0;
  /** Those under way, by number. */
  private readonly attempts = new Map<number, RequestAttempt>();
  /** An answer that reports a fault, for the case that no other attempt does better. */
  private keptFault: Answer | undefined;
  private body: RequestBody | undefined;
  private standing: RequestStanding | undefined;
  private readonly startedAtMs: number;
  private readonly cancelDeadline: CancelTimer;
  private cancelBackOff: CancelTimer | undefined;

  constructor(private readonly context: RequestContext) {
    const { services, match, deadlineAtMs } = context;
    const budget = services.retryBudgetOf(match.service);
    this.startedAtMs = services.scheduler.now();
    this.lifecycle = new RequestLifecycle(requestPolicyOf(context), budget, services.random);
    const { targetLatencyMs } = match.route.spec;
    const targetAtMs =
      targetLatencyMs === undefined ? undefined : this.startedAtMs + targetLatencyMs;
    this.choice = new EndpointChoice(targetAtMs, () => this.handle({ type: 'target-missed' }));
    const remainingMs = deadlineAtMs - services.scheduler.now();
    this.cancelDeadline = services.scheduler.schedule(remainingMs, () => this.expire());
    context.response.onClose((isWhole, reason) => this.close(isWhole, reason));
  }

  /** Begins the first attempt, unless the request is over already. */
  start(body: RequestBody): void {
    this.body = body;
    this.standing = new RequestStanding(this.context, body);
    this.handle({ type: 'start' });
  }

  /** Ends the request before its first attempt. */
  refuse(error: RequestError): void {
    this.finish();
    this.context.response.fail(error, error.verdict, this.context.requestId);
  }

  /** The node stops: the caller is told what is known. False when the answer has begun to go out. */
  giveUp(): boolean {
    const { response } = this.context;
    const wasPassedOn = response.hasBegun();
    if (this.lifecycle.isOver || wasPassedOn) {
      return false;
    }
    const isUnsent = this.isUnsent();
    const failure = stopFailure(isUnsent);
    this.record('request-given-up', failure, failure.verdict, { waitedFor: this.awaitedThing() });
    this.handle({ type: 'give-up', failure, isUnsent, wasPassedOn });
    return true;
  }

  private awaitedThing(): AwaitedThing {
    if (this.body?.isWhole() !== true) {
      return 'body';
    }
    const latest = [...this.attempts.values()].at(-1);
    if (latest === undefined) {
      return 'back-off';
    }
    if (latest.isUnsent()) {
      return 'slot';
    }
    return latest.isPeerAwaited ? 'peer' : 'endpoint';
  }

  /** Whether no endpoint can have got the request from an attempt that is under way. */
  private isUnsent(): boolean {
    return [...this.attempts.values()].every((attempt) => attempt.isUnsent());
  }

  private handle(event: RequestEvent): void {
    this.executeAll(this.lifecycle.handle(event, this.context.services.scheduler.now()));
  }

  private executeAll(effects: readonly RequestEffect[]): void {
    effects.forEach((effect) => this.execute(effect));
  }

  private execute(effect: RequestEffect): void {
    switch (effect.type) {
      case 'begin-attempt':
        return this.beginAttempt(effect.attempt, effect.retriesLeft);
      case 'back-off':
        return this.backOff(effect.delayMs);
      case 'abort-attempt':
        return this.abortAttempt(effect.attempt);
      case 'pass-answer':
        return this.passAnswer(effect.attempt);
      case 'discard-answer':
        return this.keepFault(effect.attempt);
      case 'report':
        return this.report(effect.failure, effect.verdict);
      case 'break-connection':
        this.finish();
        return this.context.response.breakConnection();
    }
  }

  private backOff(delayMs: number): void {
    const { counters, scheduler } = this.context.services;
    counters.add('ferryspool_retries_total');
    this.cancelBackOff = scheduler.schedule(delayMs, () => this.handle({ type: 'back-off-over' }));
  }

  private beginAttempt(attempt: number, retriesLeft: number): void {
    const { services, match } = this.context;
    this.attemptNumber = attempt;
    const refusal = this.standing?.refusal();
    if (refusal !== undefined) {
      this.handle({ type: 'withheld', attempt, failure: refusal });
      return;
    }
    const endpoint = this.chooseEndpoint();
    const path = endpoint && services.pathTo(endpoint);
    if (endpoint === undefined || path === undefined || this.body === undefined) {
      const failure = new NoEndpointError(
        `no endpoint of service ${match.service} takes new work`,
        NO_ENDPOINT_RETRY_MS,
      );
      this.handle({ type: 'no-endpoint', attempt, failure });
      return;
    }
    this.choice.markTried(incarnationOf(endpoint));
    const begun = new RequestAttempt(attempt, this.context, endpoint, (one) => this.suspect(one));
    this.attempts.set(attempt, begun);
    const call = callOf(this.context, this.body, {
      attempt,
      retriesLeft,
      startedAtMs: this.startedAtMs,
      attemptStartedAtMs: begun.endpoint.startedAtMs,
      isLate: this.choice.isLate,
    });
    const submitted = path.submit(endpoint, call, {
      answered: (answer) => this.takeAnswer(begun, answer),
      failed: (error, load) => this.takeFailure(begun, error, load),
      suspected: (sign) => begun.suspected(sign),
    });
    begun.wasSubmitted(submitted);
  }

  private chooseEndpoint(): Endpoint | undefined {
    const { services, snapshot, match } = this.context;
    const trial = this.standing?.trial;
    return this.choice.next(services.scheduler.now(), (tried, isLate) =>
      services.chooseEndpoint(snapshot, match, tried, isLate, trial),
    );
  }

  /**
   * What may run more than once is tried elsewhere too, and what has provably not reached its endpoint is
   * tried there instead; a body that only one attempt can send leaves no choice, nor does a request that may
   * end what runs it.
   */
  private suspect(suspect: RequestAttempt): void {
    const { number: attempt } = suspect;
    const isUnsent = suspect.isUnsent();
    const isHedged = this.body?.isHeld === true && this.standing?.trial === undefined;
    const canReplay = this.canReplay() && (isUnsent || isHedged);
    const failure = silenceError(isUnsent);
    const nowMs = this.context.services.scheduler.now();
    const effects = this.lifecycle.handle(
      { type: 'suspected', attempt, failure, canReplay },
      nowMs,
    );
    this.recordSuspicion(suspect, failure, effects);
    this.executeAll(effects);
  }

  private recordSuspicion(
    suspect: RequestAttempt,
    failure: RequestError,
    effects: readonly RequestEffect[],
  ): void {
    const { sign } = suspect;
    const next = nextOf(effects);
    this.record('attempt-suspected', failure, failure.verdict, { attempt: suspect, sign, next });
  }

  private takeAnswer(attempt: RequestAttempt, answer: Answer): void {
    attempt.answered(answer);
    if (answer.status < FAULT_STATUS) {
      attempt.endpoint.recordLatency(this.choice.isLate);
    }
    const fault = this.faultOf(answer);
    this.handle({
      type: 'answered',
      attempt: attempt.number,
      ...(fault !== undefined && { fault }),
    });
  }

  private faultOf(answer: Answer): RequestError | undefined {
    const isRetried = this.context.services.limits.retriesFaults && this.canReplay();
    return isRetried && answer.status >= FAULT_STATUS
      ? new EndpointFaultError(`the endpoint answered ${answer.status}`)
      : undefined;
  }

  /** An answer that reports a fault is kept: no other attempt may do better. */
  private keepFault(number: number): void {
    const answer = this.attempts.get(number)?.answer;
    if (answer !== undefined) {
      keepAnswer(answer, this.context.services.limits.maxHeldAnswerBytes, (kept) => {
        this.keptFault = kept;
      });
    }
    this.endAttempt(number, 'failed');
  }

  /** An answer that an endpoint made goes before an error of the node. */
  private report(failure: RequestFailure, verdict: Verdict): void {
    const { response, requestId, services } = this.context;
    this.finish();
    if (this.keptFault !== undefined) {
      response.answer(this.keptFault, requestId, services.limits.maxHeldAnswerBytes, IGNORED_END);
      return;
    }
    this.record('request-failed', failure, verdict);
    services.onFailureMs(services.scheduler.now() - this.startedAtMs);
    const error = failure instanceof RequestError ? failure : new InternalError('no error');
    response.fail(error, verdict, requestId);
  }

  private takeFailure(
    attempt: RequestAttempt,
    error: RequestError,
    load: LoadReport | undefined,
  ): void {
    attempt.failed(error, load);
    this.record('attempt-failed', error, error.verdict, { attempt, load, sign: attempt.sign });
    this.rememberRefusal(attempt, error);
    this.standing?.attemptFailed(error);
    this.endAttempt(attempt.number, outcomeOf(error));
    if (load?.serviceMs !== undefined) {
      this.choice.recordServiceMs(load.serviceMs);
    }
    this.choice.checkTarget(this.context.services.scheduler.now());
    const canReplay = this.canReplay();
    this.handle({ type: 'failed', attempt: attempt.number, failure: error, canReplay });
  }

  private rememberRefusal({ endpoint }: RequestAttempt, error: RequestError): void {
    const { code } = error;
    const isForLackOfRoom = code === 'CANNOT_FINISH_IN_TIME' || code === 'OVERLOADED';
    const { incarnation } = endpoint;
    if (incarnation !== undefined && isForLackOfRoom) {
      this.choice.markRefused(incarnation);
    }
    if (isForLackOfRoom || code === 'ENDPOINT_EVACUATED') {
      endpoint.workRefused(error, this.choice.isLate);
    }
  }

  private passAnswer(attempt: number): void {
    const answer = this.attempts.get(attempt)?.answer;
    if (answer === undefined) {
      return;
    }
    const { response, requestId, services } = this.context;
    response.answer(answer, requestId, services.limits.maxHeldAnswerBytes, {
      completed: () => {
        this.endAttempt(attempt, answer.status >= FAULT_STATUS ? 'failed' : 'answered');
        this.handle({ type: 'answer-whole', attempt });
        this.finish();
      },
      truncated: (wasPassedOn) => {
        this.endAttempt(attempt, 'failed');
        const failure = new TruncatedAnswerError('the answer broke off');
        const canReplay = this.canReplay();
        this.handle({ type: 'answer-broken', attempt, failure, wasPassedOn, canReplay });
      },
    });
  }

  private abortAttempt(number: number): void {
    const attempt = this.attempts.get(number);
    if (attempt?.sign !== undefined && attempt.answer === undefined) {
      this.recordCancelled(attempt);
    }
    attempt?.abort(this.isExpired);
    this.attempts.delete(number);
  }

  /** One that was waited for although nothing was heard of it. */
  private recordCancelled(attempt: RequestAttempt): void {
    const error = silenceError(attempt.isUnsent());
    this.record('attempt-cancelled', error, error.verdict, { attempt, sign: attempt.sign });
  }

  private endAttempt(number: number, outcome: AttemptOutcome): void {
    this.attempts.get(number)?.ended(outcome);
    this.attempts.delete(number);
  }

  private record(
    event: RequestDecisionName,
    failure: RequestFailure,
    verdict: Verdict,
    { attempt, ...details }: DecisionDetails & { readonly attempt?: RequestAttempt } = {},
  ): void {
    const { services } = this.context;
    const { number, endpoint } = attempt ?? {
      number: this.attemptNumber,
      endpoint: this.attempts.get(this.attemptNumber)?.endpoint,
    };
    const progress = {
      attempt: number,
      endpoint: endpoint?.name,
      startedAtMs: this.startedAtMs,
      attemptStartedAtMs: endpoint?.startedAtMs ?? this.startedAtMs,
      isLate: this.choice.isLate,
      nowMs: services.scheduler.now(),
    };
    const { standing } = this;
    const named = standing && namedFingerprint(failure.code, () => standing.fingerprint);
    services.requestLog.record(
      requestDecision(this.context, progress, { event, failure, verdict, ...details, ...named }),
    );
  }

  private canReplay(): boolean {
    return this.body?.isReplayable() === true;
  }

  private expire(): void {
    this.isExpired = true;
    this.attempts.forEach(({ endpoint }) => endpoint.recordLatency(this.choice.isLate));
    const isUnsent = this.attempts.size > 0 && this.isUnsent();
    const failure = expiryFailure(this.body !== undefined, isUnsent);
    this.handle({ type: 'deadline', failure });
  }

  private close(isWhole: boolean, reason?: ConnectionEndReason): void {
    if (!isWhole && !this.lifecycle.isOver) {
      this.recordEnd('request-abandoned', reason);
      this.handle({ type: 'caller-gone' });
    } else if (!isWhole && reason !== 'caller') {
      this.recordEnd('answer-cut', reason);
    }
    this.finish();
  }

  private recordEnd(
    event: 'request-abandoned' | 'answer-cut',
    endedBy?: ConnectionEndReason,
  ): void {
    const error = new CallerGoneError('the connection of the caller ended');
    this.record(event, error, error.verdict, { endedBy });
  }

  private finish(): void {
    this.attempts.forEach((attempt) => attempt.stopAwaiting());
    this.cancelDeadline();
    this.cancelBackOff?.();
  }
}

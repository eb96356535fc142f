/** Runs one caller's request: executes the effects of {@link RequestLifecycle}. */
import { PROCESSOR_TIME, type WorkKind } from '../clock/processor-time.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { Verdict } from '../model/verdict.js';
import type { AnswerObserver } from './answer-forwarding.js';
import { ANSWER_QUIET_MS, AnswerProgress } from './answer-progress.js';
import { callOf } from './attempt-call.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import { outcomeOf } from './attempt-errors.js';
import type { Answer, LoadReport } from './call.js';
import type { ConnectionEndReason } from './connection-end.js';
import { EndpointChoice } from './endpoint-choice.js';
import { CallerTries } from './caller-tries.js';
import { recordIfLate } from './late-answer-record.js';
import { expiryFailure, unsentFailure } from './expiry-failure.js';
import { bufferAnswer } from './buffered-answer.js';
import { noEndpointError, noEndpointRetryMs, throttledError } from './no-endpoint.js';
import { RequestAttempt } from './request-attempt.js';
import type { RequestBody } from './request-body.js';
import {
  EndpointFaultError,
  InternalError,
  RequestError,
  TruncatedAnswerError,
  isCapacityRefusal,
  isLackOfCapacity,
  type RequestFailure,
} from './request-error.js';
import type { AnswerState, AwaitedResource } from './request-log.js';
import { RequestExpiry } from './request-expiry.js';
import { RequestLifecycle, type RequestEffect, type RequestEvent } from './request-lifecycle.js';
import { requestPolicyOf } from './request-policy.js';
import { RequestRecorder, type RecordedState } from './request-recorder.js';
import { RequestStanding } from './request-standing.js';
import { RequestThrottling } from './request-throttling.js';
import type { CancelTimer } from './scheduler.js';
import { stopFailure } from './stop-failure.js';
import { suspicionOutcomeOf, unresponsiveNodeError } from './suspicion.js';
import type { RequestContext } from './request-context.js';
import type { SlotWish } from './waiting/slot-offer.js';
import { RequestWaiting, type WaitOutcome } from './waiting/request-waiting.js';
import { withRoomExpected } from './waiting/retry-delay.js';

/** Answers with this HTTP status or a higher one report an endpoint error. */
const MIN_SERVER_ERROR_STATUS = 500;
/** Observer for an answer that ends the request whether or not it is sent completely. */
const IGNORE_END: AnswerObserver = { completed: () => undefined, truncated: () => undefined };

type WaitEffect = Extract<RequestEffect, { type: 'wait' }>;
type AttemptStartEffect = Extract<RequestEffect, { type: 'begin-attempt' }>;

export class RequestRunner {
  private readonly lifecycle: RequestLifecycle;
  private readonly endpointChoice: EndpointChoice;
  private isExpired = false;
  /** Number of the latest attempt. */
  private attemptNumber = 0;
  /** Attempts in flight, by number. */
  private readonly attempts = new Map<number, RequestAttempt>();
  /** An answer that reports an endpoint error; sent if no other attempt succeeds. */
  private bufferedFault: Answer | undefined;
  private body: RequestBody | undefined;
  private standing: RequestStanding | undefined;
  private readonly startedAtMs: number;
  private readonly tries: CallerTries;
  private readonly throttling: RequestThrottling;
  private readonly waiting: RequestWaiting;
  private readonly recorder: RequestRecorder;
  private readonly expiry: RequestExpiry;
  private cancelBackOff: CancelTimer | undefined;
  /** Of the answer that is being forwarded. */
  private answerProgress: AnswerProgress | undefined;
  private cancelAnswerCheck: CancelTimer | undefined;

  constructor(private readonly context: RequestContext) {
    const { services, match, deadlineAtMs } = context;
    const budget = services.retryBudgetOf(match.service);
    this.startedAtMs = services.scheduler.now();
    this.tries = new CallerTries(context, this.startedAtMs);
    this.lifecycle = new RequestLifecycle(requestPolicyOf(context), budget, services.random);
    const { targetLatencyMs } = match.route.spec;
    const targetAtMs =
      targetLatencyMs === undefined ? undefined : this.tries.firstArrivedAtMs + targetLatencyMs;
    this.endpointChoice = new EndpointChoice(targetAtMs, () =>
      this.handle({ type: 'target-missed' }),
    );
    this.throttling = new RequestThrottling(context, this.endpointChoice);
    this.waiting = new RequestWaiting(
      context,
      this.endpointChoice,
      this.startedAtMs,
      this.tries.firstArrivedAtMs,
      (outcome) => this.handleWaitOutcome(outcome),
    );
    this.recorder = new RequestRecorder(context, this.startedAtMs, () => this.recordedState());
    this.expiry = new RequestExpiry({
      scheduler: services.scheduler,
      deadlineAtMs,
      onExpiring: () => this.refuseIfUnsent(),
      onExpired: () => services.whenInputRead(() => this.handleDeadline()),
    });
    context.response.onClose((isComplete, reason) => this.handleClose(isComplete, reason));
  }

  /** Begins the first attempt, unless the request is already over. */
  start(body: RequestBody): void {
    this.body = body;
    this.standing = new RequestStanding(this.context, body);
    this.handle({ type: 'start' });
  }

  /** Fails the request before its first attempt. */
  refuse(error: RequestError): void {
    this.cleanUp();
    this.context.response.fail(error, error.verdict, this.context.requestId);
  }

  /**
   * Ends the request because the node is stopping, and reports its verdict to the caller. Returns false if the request
   * is over or part of its answer has been sent.
   */
  giveUp(): boolean {
    const { response } = this.context;
    const wasPassedOn = response.hasBegun();
    if (this.lifecycle.isOver || wasPassedOn) {
      return false;
    }
    const isUnsent = this.isUnsent();
    const failure = stopFailure(isUnsent);
    this.recorder.record('request-given-up', failure, failure.verdict, {
      waitedFor: this.awaitedResource(),
    });
    this.handle({ type: 'give-up', failure, isUnsent, wasPassedOn });
    return true;
  }

  private recordedState(): RecordedState {
    const { attemptNumber, standing } = this;
    const latestAttempt = this.attempts.get(attemptNumber);
    return { attemptNumber, latestAttempt, isLate: this.endpointChoice.isLate, standing };
  }

  private answerState(): AnswerState {
    if (this.context.response.hasBegun()) {
      return 'forwarded';
    }
    const hasAnswer = [...this.attempts.values()].some(({ answer }) => answer !== undefined);
    return hasAnswer ? 'begun' : 'none';
  }

  private awaitedResource(): AwaitedResource {
    if (this.body?.isComplete() !== true) {
      return 'body';
    }
    const latest = [...this.attempts.values()].at(-1);
    if (latest === undefined) {
      return this.waiting.isWaiting ? 'slot' : 'back-off';
    }
    if (latest.isUnsent()) {
      return 'slot';
    }
    return latest.isPeerAwaited ? 'peer' : 'endpoint';
  }

  /** Whether no endpoint can have received the request from any attempt in flight. */
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
        return this.beginAttempt(effect);
      case 'wait':
        return this.waitForSlot(effect);
      case 'back-off':
        return this.backOff(effect.delayMs);
      case 'abort-attempt':
        return this.abortAttempt(effect.attempt);
      case 'pass-answer':
        return this.forwardAnswer(effect.attempt);
      case 'discard-answer':
        return this.bufferFault(effect.attempt);
      case 'report':
        return this.report(effect.failure, effect.verdict);
      case 'break-connection':
        this.cleanUp();
        return this.context.response.breakConnection();
    }
  }

  private backOff(delayMs: number): void {
    const { counters, scheduler } = this.context.services;
    counters.add('ferryspool_retries_total');
    this.cancelBackOff = scheduler.schedule(delayMs, () => this.handle({ type: 'back-off-over' }));
  }

  private waitForSlot({ delayMs, failure }: WaitEffect): void {
    if (this.body !== undefined) {
      this.recorder.record('request-waiting', failure, failure.verdict);
      this.waiting.begin(delayMs, this.body);
    }
  }

  private handleWaitOutcome(outcome: WaitOutcome): void {
    this.handle({ type: 'wait-over', mayAttempt: outcome !== 'ended' });
  }

  private beginAttempt({ attempt, retriesLeft, isLast }: AttemptStartEffect): void {
    const { services } = this.context;
    const offer = this.waiting.takeOffer();
    this.attemptNumber = attempt;
    const refusal = this.standing?.refusal();
    if (refusal !== undefined) {
      this.handle({ type: 'withheld', attempt, failure: refusal });
      return;
    }
    const isRoomExpected = (): boolean =>
      offer !== undefined || this.waiting.isRoomExpected(this.body);
    if (this.throttling.refusesAttempt(isRoomExpected)) {
      const failure = throttledError(this.context);
      this.handle({ type: 'no-endpoint', attempt, failure, waitMs: this.allowedWaitMs() });
      return;
    }
    const endpoint = offer?.endpoint ?? this.chooseEndpoint();
    const path = endpoint && services.pathTo(endpoint);
    if (endpoint === undefined || path === undefined || this.body === undefined) {
      const failure = noEndpointError(this.context);
      this.handle({ type: 'no-endpoint', attempt, failure, waitMs: this.allowedWaitMs() });
      return;
    }
    this.endpointChoice.markTried(incarnationOf(endpoint));
    const requestAttempt = new RequestAttempt(
      attempt,
      this.throttling.workClass,
      this.context,
      endpoint,
      (suspect) => this.handleSuspicion(suspect),
    );
    this.attempts.set(attempt, requestAttempt);
    const call = callOf(this.context, this.body, {
      attempt,
      retriesLeft,
      firstArrivedAtMs: this.tries.firstArrivedAtMs,
      attemptStartedAtMs: requestAttempt.endpoint.startedAtMs,
      isLate: this.endpointChoice.isLate,
      knownMaxRatePerS: services.rateLimitOf(endpoint),
      slotWish: isLast ? this.slotWish(this.body) : undefined,
      offerId: offer?.offerId,
    });
    const submission = path.submit(endpoint, call, {
      answered: (answer) => this.handleAnswer(requestAttempt, answer),
      failed: (error, load) => this.handleFailure(requestAttempt, error, load),
      suspected: (suspicion) => requestAttempt.markSuspected(suspicion),
    });
    requestAttempt.setSubmission(submission);
    PROCESSOR_TIME.workEnded(this.kindOfAttempt(attempt));
  }

  private kindOfAttempt(attempt: number): WorkKind {
    if (attempt > 1) {
      return 'request-redirected';
    }
    return this.tries.count > 1 ? 'repeat-sent' : 'request-sent';
  }

  /** A request that is accused of ending the endpoint processes that run it does not wait. */
  private slotWish(body: RequestBody): SlotWish | undefined {
    return this.standing?.trialFingerprint === undefined ? this.waiting.wish(body) : undefined;
  }

  private allowedWaitMs(): number | undefined {
    return this.waiting.allowedWaitMs(this.body);
  }

  private chooseEndpoint(): Endpoint | undefined {
    const { services, snapshot, match } = this.context;
    const trialFingerprint = this.standing?.trialFingerprint;
    return this.endpointChoice.next(services.scheduler.now(), (tried, isLate) =>
      services.chooseEndpoint(snapshot, match, tried, isLate, trialFingerprint),
    );
  }

  /**
   * Hedges a request that may run more than once, and replaces an attempt that has provably not reached its endpoint.
   * There is no hedging if only one attempt can send the body, or if the request is accused of ending the endpoint
   * processes that run it.
   */
  private handleSuspicion(suspect: RequestAttempt): void {
    const { number: attempt } = suspect;
    const isUnsent = suspect.isUnsent();
    const mayHedge =
      this.body?.isBuffered === true && this.standing?.trialFingerprint === undefined;
    const canReplay = this.canReplay() && (isUnsent || mayHedge);
    const failure = unresponsiveNodeError(isUnsent);
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
    const { suspicion } = suspect;
    const next = suspicionOutcomeOf(effects);
    this.recorder.record('attempt-suspected', failure, failure.verdict, {
      attempt: suspect,
      suspicion,
      next,
    });
  }

  private handleAnswer(attempt: RequestAttempt, answer: Answer): void {
    this.throttling.attemptAnswered(attempt.workClass);
    attempt.recordAnswer(answer);
    if (answer.status < MIN_SERVER_ERROR_STATUS) {
      attempt.endpoint.recordLatency(this.endpointChoice.isLate);
    }
    const { services, match } = this.context;
    const isFault = answer.status >= MIN_SERVER_ERROR_STATUS;
    services.faultShares.record(match.route.name, isFault, services.scheduler.now());
    const fault = this.faultOf(answer);
    this.handle({
      type: 'answered',
      attempt: attempt.number,
      ...(fault !== undefined && { fault }),
    });
  }

  private faultOf(answer: Answer): RequestError | undefined {
    const { services, match } = this.context;
    const mayRetry = services.limits.retriesFaults && this.canReplay();
    if (!mayRetry || answer.status < MIN_SERVER_ERROR_STATUS) {
      return undefined;
    }
    const faultShare = services.faultShares.shareOf(match.route.name, services.scheduler.now());
    return new EndpointFaultError(`the endpoint answered ${answer.status}`, faultShare);
  }

  /** Buffers an answer that reports an endpoint error, in case no other attempt succeeds. */
  private bufferFault(number: number): void {
    const answer = this.attempts.get(number)?.answer;
    if (answer !== undefined) {
      bufferAnswer(answer, this.context.services.limits.maxHeldAnswerBytes, (buffered) => {
        this.bufferedFault = buffered;
      });
    }
    this.endAttempt(number, 'failed');
  }

  /** Replies with an endpoint's buffered error answer if there is one, otherwise with an error of the node. */
  private report(failure: RequestFailure, verdict: Verdict): void {
    const { response, requestId, services } = this.context;
    this.cleanUp();
    this.tries.endUnserved();
    if (this.bufferedFault !== undefined) {
      response.answer(
        this.bufferedFault,
        requestId,
        services.limits.maxHeldAnswerBytes,
        IGNORE_END,
      );
      return;
    }
    const error = this.reportedError(failure);
    if (isLackOfCapacity(failure)) {
      this.waiting.recordEnd(false);
    }
    this.recorder.record('request-failed', error, verdict);
    services.onFailureMs(services.scheduler.now() - this.startedAtMs);
    response.fail(error, verdict, requestId);
    PROCESSOR_TIME.workEnded(kindOfFailure(failure));
  }

  /** The error that is sent to the caller; one for lack of capacity tells when room is expected. */
  private reportedError(failure: RequestFailure): RequestError {
    if (!(failure instanceof RequestError)) {
      return new InternalError('no error');
    }
    if (!isLackOfCapacity(failure)) {
      return failure;
    }
    const roomInMs = Math.max(this.waiting.roomInMs() ?? 0, this.throttling.returnDelayMs);
    return withRoomExpected(failure, roomInMs, this.context.services.random);
  }

  private handleFailure(
    attempt: RequestAttempt,
    error: RequestError,
    load: LoadReport | undefined,
  ): void {
    attempt.recordFailure(error, load);
    this.recorder.record('attempt-failed', error, error.verdict, {
      attempt,
      load,
      suspicion: attempt.suspicion,
    });
    this.recordRefusal(attempt, error);
    this.standing?.recordFailure(error);
    this.endAttempt(attempt.number, outcomeOf(error));
    if (load?.serviceMs !== undefined) {
      this.endpointChoice.recordServiceMs(load.serviceMs);
    }
    this.endpointChoice.checkTarget(this.context.services.scheduler.now());
    if (!this.throttling.mayCallerComeBack) {
      this.endpointChoice.giveUpTargetAfter(this.context.services.limits.maxRedirects + 1);
    }
    const isFinal = isCapacityRefusal(error) && this.throttling.isRefusalFinal;
    const canReplay = this.canReplay() && !isFinal;
    const waitMs = isCapacityRefusal(error) ? this.allowedWaitMs() : undefined;
    this.handle({ type: 'failed', attempt: attempt.number, failure: error, canReplay, waitMs });
  }

  private recordRefusal({ endpoint, workClass }: RequestAttempt, error: RequestError): void {
    const { code } = error;
    const isForCapacity = isCapacityRefusal(error);
    const { incarnation } = endpoint;
    if (incarnation !== undefined && isForCapacity) {
      this.endpointChoice.markRefused(incarnation);
    }
    this.waiting.recordRefusal(error);
    this.throttling.attemptFailed(workClass, isForCapacity);
    if (isForCapacity || code === 'ENDPOINT_EVACUATED' || code === 'RATE_LIMITED') {
      endpoint.workRefused(error, this.endpointChoice.isLate);
    }
  }

  private forwardAnswer(attempt: number): void {
    const answer = this.attempts.get(attempt)?.answer;
    if (answer === undefined) {
      return;
    }
    const { response, requestId, services } = this.context;
    response.answer(answer, requestId, services.limits.maxHeldAnswerBytes, {
      completed: () => {
        this.recordCompletion(attempt, answer);
        this.endAttempt(attempt, answer.status >= MIN_SERVER_ERROR_STATUS ? 'failed' : 'answered');
        this.handle({ type: 'answer-whole', attempt });
        this.cleanUp();
        PROCESSOR_TIME.workEnded('request-answered');
      },
      truncated: (wasPassedOn) => {
        this.endAttempt(attempt, 'failed');
        const failure = new TruncatedAnswerError('the answer broke off');
        const canReplay = this.canReplay();
        this.handle({
          type: 'answer-broken',
          attempt,
          failure,
          wasPassedOn,
          canReplay,
        });
      },
    });
    this.answerProgress = new AnswerProgress(answer, () => services.scheduler.now());
  }

  private recordCompletion(number: number, { status, nodeTimes }: Answer): void {
    if (status >= MIN_SERVER_ERROR_STATUS) {
      this.tries.endUnserved();
      return;
    }
    this.waiting.recordEnd(true);
    const attempt = this.attempts.get(number);
    if (attempt !== undefined) {
      recordIfLate(this.context, this.tries, {
        startedAtMs: this.startedAtMs,
        attemptStartedAtMs: attempt.endpoint.startedAtMs,
        answeredAtMs: attempt.answeredAtMs,
        endpoint: attempt.endpoint.name,
        nodeTimes,
      });
    }
  }

  private abortAttempt(number: number): void {
    const attempt = this.attempts.get(number);
    if (attempt?.suspicion !== undefined && attempt.answer === undefined) {
      this.recorder.recordCancelled(attempt);
    }
    attempt?.abort(this.isExpired);
    this.attempts.delete(number);
  }

  private endAttempt(number: number, outcome: AttemptOutcome): void {
    this.attempts.get(number)?.end(outcome);
    this.attempts.delete(number);
  }

  private canReplay(): boolean {
    return this.body?.isReplayable() === true;
  }

  /** A request whose body has yet to arrive waits for it until its deadline. */
  private refuseIfUnsent(): void {
    if (this.body === undefined || !this.isUnsent()) {
      return;
    }
    const { counters, scheduler } = this.context.services;
    const failure = unsentFailure(noEndpointRetryMs(this.context));
    const effects = this.lifecycle.handle({ type: 'unsent-expiring', failure }, scheduler.now());
    if (effects.length > 0) {
      counters.add('ferryspool_unsent_requests_refused_total');
      this.recordExpiry();
      this.executeAll(effects);
    }
  }

  private recordExpiry(): void {
    this.isExpired = true;
    this.attempts.forEach(({ endpoint }) => endpoint.recordLatency(this.endpointChoice.isLate));
  }

  /** Called after the input that arrived before the deadline was read, which may hold a refusal or an answer. */
  private handleDeadline(): void {
    if (this.lifecycle.isOver) {
      return;
    }
    this.recordExpiry();
    const isUnsent = this.attempts.size > 0 && this.isUnsent();
    const failure = expiryFailure(this.body !== undefined, isUnsent);
    this.handle({ type: 'deadline', failure });
    this.checkOverdueAnswer();
  }

  /** Ends a request whose deadline has passed once the answer that is being forwarded may not go on. */
  private checkOverdueAnswer(): void {
    const { answerProgress } = this;
    const { services, deadlineAtMs, response } = this.context;
    if (this.lifecycle.isOver || answerProgress === undefined) {
      return;
    }
    if (answerProgress.mayContinue(deadlineAtMs, response.hasBegun())) {
      this.cancelAnswerCheck = services.scheduler.schedule(ANSWER_QUIET_MS, () =>
        services.whenInputRead(() => this.checkOverdueAnswer()),
      );
      return;
    }
    const failure = expiryFailure(true, false);
    this.recorder.record('answer-overdue', failure, failure.verdict, {
      answer: this.answerState(),
      answerQuietMs: answerProgress.quietMs,
    });
    services.counters.add('ferryspool_answers_overdue_total');
    this.tries.endUnserved();
    this.handle({ type: 'answer-overdue', failure, wasPassedOn: response.hasBegun() });
  }

  private handleClose(isComplete: boolean, reason?: ConnectionEndReason): void {
    if (!isComplete && !this.lifecycle.isOver) {
      this.recorder.recordAbandonment(this.awaitedResource(), this.answerState(), reason);
      this.tries.endUnserved();
      this.handle({ type: 'caller-gone' });
    } else if (!isComplete && reason !== 'caller') {
      this.recorder.recordCutAnswer(reason);
    }
    this.cleanUp();
  }

  private cleanUp(): void {
    this.attempts.forEach((attempt) => attempt.stopAwaitingPeer());
    this.expiry.cancel();
    this.cancelBackOff?.();
    this.cancelAnswerCheck?.();
    this.waiting.stop();
  }
}

function kindOfFailure(failure: RequestFailure): WorkKind {
  if (!isLackOfCapacity(failure)) {
    return 'request-failed';
  }
  return isCapacityRefusal(failure) ? 'request-refused' : 'request-rejected';
}

/** Runs one caller's request: executes the effects of {@link RequestLifecycle}. */
import type { Endpoint } from '../model/resource.js';
import type { Verdict } from '../model/verdict.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import { outcomeOf } from './attempt-errors.js';
import type { AwaitedAttempt } from './awaited-attempts.js';
import type { Answer, Attempt, Call, LoadReport } from './call.js';
import type { RequestBody } from './request-body.js';
import {
  BodyTooSlowError,
  CallerGoneError,
  ConnectionLostError,
  DeadlinePassedError,
  EndpointFaultError,
  InternalError,
  NoEndpointError,
  RequestError,
  TimedOutError,
  TruncatedAnswerError,
  type RequestFailure,
} from './request-error.js';
import type { AwaitedThing, RequestDecisionName } from './request-log.js';
import { RequestLifecycle, type RequestEffect, type RequestEvent } from './request-lifecycle.js';
import type { CancelTimer } from './scheduler.js';
import { loadObservationOf } from './load-observation.js';
import { refusalClassOf, workOf } from './request-work.js';
import { stopFailure } from './stop-failure.js';
import type { RequestContext } from './request-context.js';
import { requestDecision, type DecisionDetails } from './request-decision.js';

/** When to come back after no endpoint had room, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 200;
/** Answers from this status on report a fault of the endpoint. */
const FAULT_STATUS = 500;

/** One caller's request under way. */
export class RequestRunner implements AwaitedAttempt {
  private readonly lifecycle: RequestLifecycle;
  private readonly tried = new Set<string>();
  /** Endpoints whose node found that the request can't be answered within its target latency. */
  private readonly refusers = new Set<string>();
  /** Whether attempts ask for an answer before the deadline, since none is expected in time. */
  private isLate = false;
  /** Least time that an endpoint's node told for this class of work, in milliseconds. */
  private leastServiceMs: number | undefined;
  private isExpired = false;
  private attempt: Attempt | undefined;
  private attemptNumber = 0;
  private endpoint: Endpoint | undefined;
  /** The machine whose node owes the answer of the attempt under way. */
  private awaitedMachine: string | undefined;
  private answer: Answer | undefined;
  private body: RequestBody | undefined;
  private readonly startedAtMs: number;
  private attemptStartedAtMs = 0;
  private readonly cancelDeadline: CancelTimer;
  private cancelBackOff: CancelTimer | undefined;

  constructor(private readonly context: RequestContext) {
    const { services, match, retries, deadlineAtMs } = context;
    const { maxAttempts = Infinity } = match.route.spec;
    const policy = {
      repeatable: match.repeatable,
      deadlineAtMs,
      retries: Math.min(services.limits.maxRetries, retries ?? Infinity, maxAttempts - 1),
      retryBudgetPercent: match.retryBudgetPercent,
      redirects: services.limits.maxRedirects,
      lateRedirects: Math.min(services.limits.maxRedirects, services.limits.maxLateRedirects),
    };
    const budget = services.retryBudgetOf(match.service);
    this.startedAtMs = services.scheduler.now();
    this.lifecycle = new RequestLifecycle(policy, budget, services.random);
    const remainingMs = deadlineAtMs - services.scheduler.now();
    this.cancelDeadline = services.scheduler.schedule(remainingMs, () => this.expire());
    context.response.onClose((isWhole) => this.close(isWhole));
  }

  /** Begins the first attempt, unless the request is over already. */
  start(body: RequestBody): void {
    this.body = body;
    this.handle({ type: 'start' });
  }

  /** Ends the request before its first attempt. */
  refuse(error: RequestError): void {
    this.finish();
    this.context.response.fail(error, error.verdict, this.context.requestId);
  }

  /**
   * A request that may run more than once is sent elsewhere; another one goes on waiting. So does one
   * that has no attempt left at a node that stops: its caller gets no second chance there, and the
   * endpoint may be at work behind a link that is only full.
   */
  peerIsSilent(): void {
    if (!this.context.match.repeatable || this.answer !== undefined) {
      return;
    }
    const error = new ConnectionLostError('nothing is heard of the node of the endpoint');
    const hasAttempt = this.lifecycle.wouldRetry(error, this.canReplay());
    if (hasAttempt || !this.context.services.isStopping()) {
      this.attempt?.abort();
      this.takeFailure(this.attemptNumber, error, undefined);
    }
  }

  /** The node stops: the caller is told what is known. False when the answer has begun to go out. */
  giveUp(): boolean {
    const { response } = this.context;
    const wasPassedOn = response.hasBegun();
    if (this.lifecycle.isOver || wasPassedOn) {
      return false;
    }
    const isUnsent = this.attempt === undefined || this.attempt.isUnsent();
    const failure = stopFailure(isUnsent);
    this.record('request-given-up', failure, failure.verdict, { waitedFor: this.awaitedThing() });
    this.handle({ type: 'give-up', failure, isUnsent, wasPassedOn });
    return true;
  }

  private awaitedThing(): AwaitedThing {
    if (this.body?.isWhole() !== true) {
      return 'body';
    }
    if (this.endpoint === undefined) {
      return 'back-off';
    }
    if (this.attempt?.isUnsent() === true) {
      return 'slot';
    }
    return this.awaitedMachine === undefined ? 'endpoint' : 'peer';
  }

  private awaitPeerOf(endpoint: Endpoint): void {
    const { services } = this.context;
    this.awaitedMachine = services.relayMachineOf(endpoint);
    if (this.awaitedMachine !== undefined) {
      services.awaited.began(this.awaitedMachine, this, this.attemptStartedAtMs);
    }
  }

  private peerHasAnswered(): void {
    if (this.awaitedMachine !== undefined) {
      this.context.services.heard(this.awaitedMachine);
    }
    this.stopAwaiting();
  }

  private stopAwaiting(): void {
    if (this.awaitedMachine !== undefined) {
      this.context.services.awaited.ended(this.awaitedMachine, this);
      this.awaitedMachine = undefined;
    }
  }

  private handle(event: RequestEvent): void {
    for (const effect of this.lifecycle.handle(event, this.context.services.scheduler.now())) {
      this.execute(effect);
    }
  }

  private execute(effect: RequestEffect): void {
    switch (effect.type) {
      case 'begin-attempt':
        return this.beginAttempt(effect.attempt, effect.retriesLeft);
      case 'back-off':
        return this.backOff(effect.delayMs);
      case 'abort-attempt':
        this.attempt?.abort();
        return this.endAttempt(this.abortedOutcome());
      case 'pass-answer':
        return this.passAnswer();
      case 'discard-answer':
        return this.discardAnswer();
      case 'report':
        this.finish();
        this.record('request-failed', effect.failure, effect.verdict);
        this.context.services.onFailureMs(this.context.services.scheduler.now() - this.startedAtMs);
        return this.context.response.fail(
          effect.failure instanceof RequestError ? effect.failure : new InternalError('no error'),
          effect.verdict,
          this.context.requestId,
        );
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
    this.endpoint = endpoint;
    this.answer = undefined;
    this.tried.add(endpoint.name);
    this.attemptStartedAtMs = services.scheduler.now();
    services.selector.began(endpoint, this.attemptStartedAtMs);
    this.awaitPeerOf(endpoint);
    const call = this.callOf(this.body, attempt, retriesLeft);
    const submitted = path.submit(endpoint, call, {
      answered: (answer) => this.takeAnswer(attempt, answer),
      failed: (error, load) => this.takeFailure(attempt, error, load),
    });
    // An endpoint of this node may refuse before it returns: another attempt is under way then.
    if (attempt === this.attemptNumber) {
      this.attempt = submitted;
    }
  }

  /** An untried endpoint; once all have refused for lack of time, one of these again, for late work. */
  private chooseEndpoint(): Endpoint | undefined {
    const { services, snapshot, match } = this.context;
    this.checkTarget();
    const endpoint = services.chooseEndpoint(snapshot, match, this.tried, this.isLate);
    const hasTarget = match.route.spec.targetLatencyMs !== undefined;
    if (endpoint !== undefined || this.isLate || !hasTarget) {
      return endpoint;
    }
    this.becomeLate();
    return services.chooseEndpoint(snapshot, match, this.tried, this.isLate);
  }

  /** Turns the request late as soon as no endpoint is expected to answer it within its target. */
  private checkTarget(): void {
    const { targetLatencyMs } = this.context.match.route.spec;
    if (this.isLate || targetLatencyMs === undefined) {
      return;
    }
    const finishAtMs = this.context.services.scheduler.now() + (this.leastServiceMs ?? 0);
    if (finishAtMs >= this.startedAtMs + targetLatencyMs) {
      this.becomeLate();
    }
  }

  /** From now on attempts ask for late service, also of nodes that could not answer in time. */
  private becomeLate(): void {
    this.isLate = true;
    this.refusers.forEach((name) => this.tried.delete(name));
    this.handle({ type: 'target-missed' });
  }

  private get workClass(): string {
    return this.context.match.route.name;
  }

  private callOf(body: RequestBody, attempt: number, retriesLeft: number): Call {
    const { method, target, headers, attemptPrefix, deadlineAtMs, services, match } = this.context;
    return {
      ...workOf(match.route, this.startedAtMs, this.attemptStartedAtMs, this.isLate),
      requestId: `${attemptPrefix}.${attempt}`,
      method,
      target,
      headers,
      body,
      deadlineAtMs,
      callerNode: services.machineId,
      isRepeatable: match.repeatable,
      retriesLeft,
    };
  }

  private takeAnswer(attempt: number, answer: Answer): void {
    this.answer = answer;
    this.peerHasAnswered();
    this.observeLoad(answer.load, undefined);
    if (answer.status < FAULT_STATUS) {
      this.measureLatency();
    }
    const fault = this.faultOf(answer);
    this.handle({ type: 'answered', attempt, ...(fault !== undefined && { fault }) });
  }

  private faultOf(answer: Answer): RequestError | undefined {
    const isRetried = this.context.services.limits.retriesFaults && this.canReplay();
    return isRetried && answer.status >= FAULT_STATUS
      ? new EndpointFaultError(`the endpoint answered ${answer.status}`)
      : undefined;
  }

  /** What is left of the answer is read, so that its connection can be used again. */
  private discardAnswer(): void {
    if (this.answer?.body.kind === 'streamed') {
      this.answer.body.stream.on('error', () => undefined).resume();
    }
    this.answer = undefined;
    this.endAttempt('failed');
  }

  private takeFailure(attempt: number, error: RequestError, load: LoadReport | undefined): void {
    this.observeLoad(load, error);
    if (load !== undefined) {
      this.peerHasAnswered();
    }
    this.record('attempt-failed', error, error.verdict, { load });
    this.rememberRefusal(error);
    this.endAttempt(outcomeOf(error));
    this.noteServiceMs(load);
    this.checkTarget();
    this.handle({ type: 'failed', attempt, failure: error, canReplay: this.canReplay() });
  }

  private noteServiceMs(load: LoadReport | undefined): void {
    if (load?.serviceMs !== undefined) {
      this.leastServiceMs = Math.min(this.leastServiceMs ?? Infinity, load.serviceMs);
    }
  }

  private rememberRefusal({ code, retryAfterMs = 0 }: RequestError): void {
    const isForLackOfRoom = code === 'CANNOT_FINISH_IN_TIME' || code === 'OVERLOADED';
    if (this.endpoint !== undefined && isForLackOfRoom) {
      this.refusers.add(this.endpoint.name);
      const { services, match } = this.context;
      const refusalClass = refusalClassOf(match.route, this.isLate);
      const nowMs = services.scheduler.now();
      services.selector.refusedWork(this.endpoint, refusalClass, retryAfterMs, nowMs);
    }
  }

  private passAnswer(): void {
    const { answer, attemptNumber: attempt } = this;
    if (answer === undefined) {
      return;
    }
    const { response, requestId, services } = this.context;
    response.answer(answer, requestId, services.limits.maxHeldAnswerBytes, {
      whole: () => {
        this.endAttempt(answer.status >= FAULT_STATUS ? 'failed' : 'answered');
        this.handle({ type: 'answer-whole', attempt });
        this.finish();
      },
      broken: (wasPassedOn) => {
        this.endAttempt('failed');
        const failure = new TruncatedAnswerError('the answer broke off');
        const canReplay = this.canReplay();
        this.handle({ type: 'answer-broken', attempt, failure, wasPassedOn, canReplay });
      },
    });
  }

  private measureLatency(): void {
    const { services } = this.context;
    const nowMs = services.scheduler.now();
    // Late work waits behind all other: its time says nothing of what work in time would take.
    if (this.endpoint !== undefined && !this.isLate) {
      const latencyMs = nowMs - this.attemptStartedAtMs;
      services.selector.measured(this.endpoint, this.workClass, latencyMs, nowMs);
    }
  }

  private observeLoad(load: LoadReport | undefined, error: RequestError | undefined): void {
    const { selector, scheduler } = this.context.services;
    const observation = loadObservationOf(load, error, this.workClass);
    if (this.endpoint !== undefined && observation !== undefined) {
      selector.observedLoad(this.endpoint, observation, scheduler.now());
    }
  }

  /** An endpoint that let the deadline pass has failed; one that was given up before has not. */
  private abortedOutcome(): AttemptOutcome {
    if (this.answer !== undefined) {
      return 'answered';
    }
    return this.isExpired ? 'failed' : 'abandoned';
  }

  private endAttempt(outcome: AttemptOutcome): void {
    const { services, snapshot, match } = this.context;
    this.stopAwaiting();
    if (this.endpoint !== undefined) {
      const peers = snapshot.endpointsByService.get(match.service) ?? [];
      services.selector.ended(this.endpoint, outcome, peers, services.scheduler.now());
      this.endpoint = undefined;
    }
  }

  private record(
    event: RequestDecisionName,
    failure: RequestFailure,
    verdict: Verdict,
    details: DecisionDetails = {},
  ): void {
    const { startedAtMs, attemptStartedAtMs, isLate } = this;
    const { services } = this.context;
    const nowMs = services.scheduler.now();
    const progress = {
      attempt: this.attemptNumber,
      endpoint: this.endpoint?.name,
      startedAtMs,
      attemptStartedAtMs,
      isLate,
      nowMs,
    };
    services.requestLog.record(
      requestDecision(this.context, progress, { event, failure, verdict, ...details }),
    );
  }

  private canReplay(): boolean {
    return this.body?.isReplayable() === true;
  }

  private expire(): void {
    this.isExpired = true;
    this.measureLatency();
    this.handle({ type: 'deadline', failure: this.expiryFailure() });
  }

  private expiryFailure(): RequestError {
    if (this.body === undefined) {
      return new BodyTooSlowError('the body did not arrive before the deadline');
    }
    return this.attempt?.isUnsent() === true
      ? new DeadlinePassedError('the deadline passed before the request was sent on')
      : new TimedOutError('no answer before the deadline');
  }

  private close(isWhole: boolean): void {
    if (!isWhole && !this.lifecycle.isOver) {
      this.recordAbandoned();
      this.handle({ type: 'caller-gone' });
    }
    this.finish();
  }

  private recordAbandoned(): void {
    const error = new CallerGoneError('the caller went away');
    this.record('request-abandoned', error, error.verdict);
  }

  private finish(): void {
    this.stopAwaiting();
    this.cancelDeadline();
    this.cancelBackOff?.();
  }
}

/** Runs one caller's request: executes the effects of {@link RequestLifecycle}. */
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { Verdict } from '../model/verdict.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import { callOf } from './attempt-call.js';
import { outcomeOf } from './attempt-errors.js';
import { AttemptedEndpoint } from './attempted-endpoint.js';
import type { AwaitedAttempt } from './awaited-attempts.js';
import { AwaitedPeer } from './awaited-peer.js';
import type { Answer, Attempt, LoadReport } from './call.js';
import { EndpointChoice } from './endpoint-choice.js';
import { expiryFailure } from './expiry-failure.js';
import type { RequestBody } from './request-body.js';
import {
  CallerGoneError,
  ConnectionLostError,
  EndpointFaultError,
  InternalError,
  NoEndpointError,
  RequestError,
  TruncatedAnswerError,
  UnreachableError,
  type RequestFailure,
} from './request-error.js';
import { namedFingerprint, type AwaitedThing, type RequestDecisionName } from './request-log.js';
import { RequestLifecycle, type RequestEffect, type RequestEvent } from './request-lifecycle.js';
import { requestPolicyOf } from './request-policy.js';
import { RequestStanding } from './request-standing.js';
import type { CancelTimer } from './scheduler.js';
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
  private readonly choice: EndpointChoice;
  private isExpired = false;
  private attempt: Attempt | undefined;
  private attemptNumber = 0;
  private readonly endpoint: AttemptedEndpoint;
  private readonly peer: AwaitedPeer;
  private answer: Answer | undefined;
  private body: RequestBody | undefined;
  private standing: RequestStanding | undefined;
  private readonly startedAtMs: number;
  private readonly cancelDeadline: CancelTimer;
  private cancelBackOff: CancelTimer | undefined;

  constructor(private readonly context: RequestContext) {
    const { services, match, deadlineAtMs } = context;
    this.endpoint = new AttemptedEndpoint(context);
    this.peer = new AwaitedPeer(services, this);
    const budget = services.retryBudgetOf(match.service);
    this.startedAtMs = services.scheduler.now();
    this.lifecycle = new RequestLifecycle(requestPolicyOf(context), budget, services.random);
    const { targetLatencyMs } = match.route.spec;
    const targetAtMs =
      targetLatencyMs === undefined ? undefined : this.startedAtMs + targetLatencyMs;
    this.choice = new EndpointChoice(targetAtMs, () => this.handle({ type: 'target-missed' }));
    const remainingMs = deadlineAtMs - services.scheduler.now();
    this.cancelDeadline = services.scheduler.schedule(remainingMs, () => this.expire());
    context.response.onClose((isWhole) => this.close(isWhole));
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

  /**
   * A request that may run more than once is sent elsewhere, and so is one that has provably not reached
   * its endpoint; another one goes on waiting. So does one that has no attempt left at a node that stops:
   * its caller gets no second chance there, and the endpoint may be at work behind a link that is only
   * full.
   */
  peerIsSilent(): void {
    const isUnsent = this.attempt?.isUnsent() === true;
    if ((!this.context.match.repeatable && !isUnsent) || this.answer !== undefined) {
      return;
    }
    const error = silenceError(isUnsent);
    const nowMs = this.context.services.scheduler.now();
    const hasAttempt = this.lifecycle.wouldRetry(error, this.canReplay(), nowMs);
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
    if (this.endpoint.name === undefined) {
      return 'back-off';
    }
    if (this.attempt?.isUnsent() === true) {
      return 'slot';
    }
    return this.peer.isAwaited ? 'peer' : 'endpoint';
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
    this.answer = undefined;
    this.choice.began(incarnationOf(endpoint));
    this.endpoint.began(endpoint);
    this.peer.awaitFor(endpoint, this.endpoint.startedAtMs);
    const call = callOf(this.context, this.body, {
      attempt,
      retriesLeft,
      startedAtMs: this.startedAtMs,
      attemptStartedAtMs: this.endpoint.startedAtMs,
      isLate: this.choice.isLate,
    });
    const submitted = path.submit(endpoint, call, {
      answered: (answer) => this.takeAnswer(attempt, answer),
      failed: (error, load) => this.takeFailure(attempt, error, load),
    });
    // An endpoint of this node may refuse before it returns: another attempt is under way then.
    if (attempt === this.attemptNumber) {
      this.attempt = submitted;
    }
  }

  private chooseEndpoint(): Endpoint | undefined {
    const { services, snapshot, match } = this.context;
    const trial = this.standing?.trial;
    return this.choice.next(services.scheduler.now(), (tried, isLate) =>
      services.chooseEndpoint(snapshot, match, tried, isLate, trial),
    );
  }

  private takeAnswer(attempt: number, answer: Answer): void {
    this.answer = answer;
    this.peer.hasAnswered();
    this.endpoint.observeLoad(answer.load, undefined);
    if (answer.status < FAULT_STATUS) {
      this.endpoint.measureLatency(this.choice.isLate);
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
    this.endpoint.observeLoad(load, error);
    if (load !== undefined) {
      this.peer.hasAnswered();
    }
    this.record('attempt-failed', error, error.verdict, { load });
    this.rememberRefusal(error);
    this.standing?.attemptFailed(error);
    this.endAttempt(outcomeOf(error));
    if (load?.serviceMs !== undefined) {
      this.choice.noteServiceMs(load.serviceMs);
    }
    this.choice.checkTarget(this.context.services.scheduler.now());
    this.handle({ type: 'failed', attempt, failure: error, canReplay: this.canReplay() });
  }

  private rememberRefusal(error: RequestError): void {
    const { code } = error;
    const isForLackOfRoom = code === 'CANNOT_FINISH_IN_TIME' || code === 'OVERLOADED';
    const { incarnation } = this.endpoint;
    if (incarnation !== undefined && isForLackOfRoom) {
      this.choice.refusedBy(incarnation);
      this.endpoint.refused(error, this.choice.isLate);
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

  /** An endpoint that let the deadline pass has failed; one that was given up before has not. */
  private abortedOutcome(): AttemptOutcome {
    if (this.answer !== undefined) {
      return 'answered';
    }
    return this.isExpired ? 'failed' : 'abandoned';
  }

  private endAttempt(outcome: AttemptOutcome): void {
    this.peer.stop();
    this.endpoint.ended(outcome);
  }

  private record(
    event: RequestDecisionName,
    failure: RequestFailure,
    verdict: Verdict,
    details: DecisionDetails = {},
  ): void {
    const { services } = this.context;
    const progress = {
      attempt: this.attemptNumber,
      endpoint: this.endpoint.name,
      startedAtMs: this.startedAtMs,
      attemptStartedAtMs: this.endpoint.startedAtMs,
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
    this.endpoint.measureLatency(this.choice.isLate);
    const failure = expiryFailure(this.body !== undefined, this.attempt?.isUnsent() === true);
    this.handle({ type: 'deadline', failure });
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
    this.peer.stop();
    this.cancelDeadline();
    this.cancelBackOff?.();
  }
}

function silenceError(isUnsent: boolean): RequestError {
  const message = 'nothing is heard of the node of the endpoint';
  return isUnsent ? new UnreachableError(message) : new ConnectionLostError(message);
}

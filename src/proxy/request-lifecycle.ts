/**
 * Lifecycle of one caller's request at the caller's node: attempts, retries, and the verdict over all
 * attempts. Pure: takes events with the current time and returns effects.
 *
 * An attempt whose peer or connection is unresponsive is a suspect: another attempt may begin in parallel, and
 * the first good answer wins. If no other attempt begins, the suspect is still awaited: until another attempt is
 * answered, it ends only when its connection is lost, its deadline passes, its caller disconnects or a planned
 * stop ends.
 */
import type { RandomSource } from '../control/control-event.js';
import type { RetryBudget } from '../routing/retry-budget.js';
import { isEndpointAbsent, reachedEndpoint, type RequestFailure } from './request-error.js';
import type { AttemptEvent, RequestEffect, RequestEvent } from './request-event.js';
import type { RequestPolicy } from './request-policy.js';
import { retryBackOffMs } from './retry-back-off.js';

export type { RequestEffect, RequestEvent } from './request-event.js';
export type { RequestPolicy } from './request-policy.js';

/**
 * - `attempting`: the current attempt is in flight and not among the suspects.
 * - `answering`: an answer is being forwarded.
 * - `backing-off`: another attempt follows after a delay.
 * - `waiting`: no attempt is in flight and none has run; another one follows when a slot is offered, or after a delay.
 * - `awaiting`: no other attempt follows, but suspects may still be answered.
 */
type State = 'new' | 'attempting' | 'answering' | 'backing-off' | 'waiting' | 'awaiting' | 'over';

export class RequestLifecycle {
  private state: State = 'new';
  /** Number of the latest attempt. */
  private attempt = 0;
  /** Number of the attempt that is in flight or whose answer is being forwarded. */
  private current = 0;
  /** Numbers of suspected attempts that are still awaited in addition to the current one. */
  private readonly suspects = new Set<number>();
  private retriesLeft: number;
  private redirectsLeft: number;
  private absentRedirectsLeft: number;
  private lastFailure: RequestFailure | undefined;
  /** Whether an attempt that has ended may have run. */
  private mayHaveRun = false;

  constructor(
    private readonly policy: RequestPolicy,
    private readonly budget: RetryBudget,
    private readonly random: RandomSource,
  ) {
    this.retriesLeft = policy.retries;
    this.redirectsLeft = policy.redirects;
    this.absentRedirectsLeft = policy.absentRedirects ?? 0;
  }

  /** Whether the request has been answered, has failed or was abandoned. */
  get isOver(): boolean {
    return this.state === 'over';
  }

  /** Handles an event; the returned effects must be executed in order. */
  handle(event: RequestEvent, nowMs: number): RequestEffect[] {
    if (this.state === 'over') {
      return [];
    }
    return 'attempt' in event
      ? this.handleAttemptEvent(event, nowMs)
      : this.handleRequestEvent(event);
  }

  /** Handles an event of an attempt; events of attempts that have ended are ignored. */
  private handleAttemptEvent(event: AttemptEvent, nowMs: number): RequestEffect[] {
    if (event.attempt === this.current && this.hasActiveAttempt) {
      return this.handleCurrentEvent(event, nowMs);
    }
    return this.suspects.has(event.attempt) ? this.handleSuspectEvent(event, nowMs) : [];
  }

  private handleCurrentEvent(event: AttemptEvent, nowMs: number): RequestEffect[] {
    switch (event.type) {
      case 'answered':
        return this.handleAnswer(event.fault, nowMs);
      case 'answer-whole':
        this.state = 'over';
        return this.abortSuspects();
      case 'answer-broken':
        return this.handleBrokenAnswer(event, nowMs);
      case 'failed':
        return this.handleFailure(event.failure, event.canReplay, nowMs, event.waitMs);
      case 'suspected':
        return this.handleSuspicion(event, nowMs);
      case 'no-endpoint':
        return this.handleNoEndpoint(event, nowMs);
      case 'withheld':
        return this.settle(this.mayHaveRun ? (this.lastFailure ?? event.failure) : event.failure);
    }
  }

  private handleSuspectEvent(event: AttemptEvent, nowMs: number): RequestEffect[] {
    switch (event.type) {
      case 'answered':
        return this.handleSuspectAnswer(event.attempt, event.fault, nowMs);
      case 'failed':
        return this.handleSuspectFailure(event, nowMs);
      default:
        return [];
    }
  }

  private handleRequestEvent(event: Exclude<RequestEvent, AttemptEvent>): RequestEffect[] {
    switch (event.type) {
      case 'start':
        return this.start();
      case 'target-missed':
        return this.handleTargetMissed();
      case 'back-off-over':
        return this.state === 'backing-off' ? this.beginAttempt() : [];
      case 'unsent-expiring':
        return this.handleUnsentExpiry(event.failure);
      case 'wait-over':
        return this.handleWaitOver(event.mayAttempt);
      case 'deadline':
        return this.handleDeadline(event.failure);
      case 'answer-overdue':
        return this.handleOverdueAnswer(event);
      case 'give-up':
        return this.giveUp(event);
      case 'caller-gone':
        return this.abandon();
    }
  }

  private get hasActiveAttempt(): boolean {
    return this.state === 'attempting' || this.state === 'answering';
  }

  /** Whether no attempt is in flight, and another one may follow. */
  private get isBetweenAttempts(): boolean {
    const isDelayed = this.state === 'backing-off' || this.state === 'waiting';
    return isDelayed && this.suspects.size === 0;
  }

  /** Whether any attempt may have run or may still be running. */
  private get isInDoubt(): boolean {
    return this.mayHaveRun || this.suspects.size > 0;
  }

  private start(): RequestEffect[] {
    if (this.state !== 'new') {
      return [];
    }
    this.budget.earn(this.policy.retryBudgetPercent);
    return this.beginAttempt();
  }

  /**
   * The remaining retries are split between the receivers of this attempt and later attempts, so that a
   * chain of calls makes no more attempts in total than its first request allows.
   */
  private beginAttempt(): RequestEffect[] {
    this.state = 'attempting';
    this.attempt += 1;
    this.current = this.attempt;
    const receiverRetries = Math.floor(this.retriesLeft / 2);
    this.retriesLeft -= receiverRetries;
    const isLast = this.redirectsLeft === 0;
    return [{ type: 'begin-attempt', attempt: this.attempt, retriesLeft: receiverRetries, isLast }];
  }

  /** Ensures a minimum of redirects: refusals because of the target latency don't apply to a late request. */
  private handleTargetMissed(): RequestEffect[] {
    this.redirectsLeft = Math.max(this.redirectsLeft, this.policy.lateRedirects ?? 0);
    return [];
  }

  /** Forwards an answer, unless it reports an endpoint error and a retry or a suspect may still succeed. */
  private handleAnswer(fault: RequestFailure | undefined, nowMs: number): RequestEffect[] {
    const next = fault && this.replaceFault(fault, nowMs);
    if (fault === undefined || next === undefined) {
      this.state = 'answering';
      return [{ type: 'pass-answer', attempt: this.current }];
    }
    this.lastFailure = fault;
    this.mayHaveRun = true;
    return [{ type: 'discard-answer', attempt: this.current }, ...next];
  }

  private replaceFault(fault: RequestFailure, nowMs: number): RequestEffect[] | undefined {
    const backOff = this.scheduleRetry(fault, true, nowMs);
    if (backOff !== undefined) {
      return [backOff];
    }
    return this.suspects.size > 0 ? this.settle(fault) : undefined;
  }

  /** Forwards a suspect's answer, unless another is being forwarded, or it is an error and others may follow. */
  private handleSuspectAnswer(
    attempt: number,
    fault: RequestFailure | undefined,
    nowMs: number,
  ): RequestEffect[] {
    this.suspects.delete(attempt);
    if (this.state === 'answering') {
      this.mayHaveRun = true;
      return [{ type: 'abort-attempt', attempt }];
    }
    if (fault !== undefined && (this.state !== 'awaiting' || this.suspects.size > 0)) {
      this.mayHaveRun = true;
      this.lastFailure = fault;
      return [{ type: 'discard-answer', attempt }];
    }
    if (this.state === 'attempting') {
      this.suspects.add(this.current);
    }
    this.current = attempt;
    return this.handleAnswer(fault, nowMs);
  }

  private handleFailure(
    failure: RequestFailure,
    canReplay: boolean,
    nowMs: number,
    waitMs?: number,
  ): RequestEffect[] {
    this.lastFailure = failure;
    this.mayHaveRun ||= failure.verdict !== 'not-run';
    return (
      this.startNextAttempt(failure, canReplay, nowMs) ??
      this.waitForSlot(failure, waitMs, nowMs) ??
      this.settle(failure)
    );
  }

  private handleNoEndpoint(
    { failure, waitMs }: Extract<RequestEvent, { type: 'no-endpoint' }>,
    nowMs: number,
  ): RequestEffect[] {
    this.lastFailure ??= failure;
    return this.waitForSlot(this.lastFailure, waitMs, nowMs) ?? this.settle(this.lastFailure);
  }

  /** Waits for a slot, if the request has provably not run and can still be refused in time after the wait. */
  private waitForSlot(
    failure: RequestFailure,
    waitMs: number | undefined,
    nowMs: number,
  ): RequestEffect[] | undefined {
    const { refusableUntilMs = Infinity } = this.policy;
    if (waitMs === undefined || this.isInDoubt || nowMs + waitMs > refusableUntilMs) {
      return undefined;
    }
    this.state = 'waiting';
    return [{ type: 'wait', delayMs: waitMs, failure }];
  }

  private handleWaitOver(mayAttempt: boolean): RequestEffect[] {
    if (this.state !== 'waiting') {
      return [];
    }
    if (mayAttempt || this.lastFailure === undefined) {
      return this.beginAttempt();
    }
    return this.report(this.lastFailure);
  }

  private handleSuspectFailure(
    { attempt, failure, canReplay }: Extract<RequestEvent, { type: 'failed' }>,
    nowMs: number,
  ): RequestEffect[] {
    this.suspects.delete(attempt);
    this.lastFailure = failure;
    this.mayHaveRun ||= failure.verdict !== 'not-run';
    const isLast = this.state === 'awaiting' && this.suspects.size === 0;
    return isLast ? this.handleFailure(failure, canReplay, nowMs) : [];
  }

  /**
   * Begins another attempt in parallel to a suspect, or instead of a suspect that has provably not reached its
   * endpoint. If no other attempt may follow, the suspect is still awaited: if suspicion alone ended it, callers
   * would get a 502 while endpoints behind slow links were still running their requests.
   */
  private handleSuspicion(
    { attempt, failure, canReplay }: Extract<RequestEvent, { type: 'suspected' }>,
    nowMs: number,
  ): RequestEffect[] {
    if (this.state !== 'attempting') {
      return [];
    }
    const isUnsent = failure.verdict === 'not-run';
    if (!isUnsent) {
      this.suspects.add(attempt);
    }
    const next = this.startNextAttempt(failure, canReplay, nowMs);
    if (next === undefined) {
      this.suspects.delete(attempt);
      return [];
    }
    if (!isUnsent) {
      return next;
    }
    this.lastFailure = failure;
    return [{ type: 'abort-attempt', attempt }, ...next];
  }

  /** The effects that begin another attempt, at once or after a delay; undefined if none is allowed. */
  private startNextAttempt(
    failure: RequestFailure,
    canReplay: boolean,
    nowMs: number,
  ): RequestEffect[] | undefined {
    if (this.mustReportNow(failure, nowMs)) {
      return undefined;
    }
    if (this.mayRedirect(failure, canReplay)) {
      this.consumeRedirect(failure);
      return this.beginAttempt();
    }
    const backOff = this.scheduleRetry(failure, canReplay, nowMs);
    return backOff && [backOff];
  }

  /** Reports the failure to the caller, unless a suspect may still be answered. */
  private settle(failure: RequestFailure): RequestEffect[] {
    if (this.suspects.size === 0) {
      return this.report(failure);
    }
    this.state = 'awaiting';
    return [];
  }

  /**
   * Whether to report the failure without another attempt: the request has provably not run, and the refusal of
   * another attempt could arrive after the deadline, so that the request would have to be reported as possibly run.
   */
  private mustReportNow(failure: RequestFailure, nowMs: number): boolean {
    const { refusableUntilMs = Infinity } = this.policy;
    return !this.isInDoubt && failure.verdict === 'not-run' && nowMs > refusableUntilMs;
  }

  private mayRedirect(failure: RequestFailure, canReplay: boolean): boolean {
    const isRedirectLeft = this.hasAbsentRedirect(failure) || this.hasRedirect(failure);
    return isRedirectLeft && failure.retryable && canReplay;
  }

  private hasAbsentRedirect(failure: RequestFailure): boolean {
    return isEndpointAbsent(failure) && this.absentRedirectsLeft > 0;
  }

  private hasRedirect(failure: RequestFailure): boolean {
    return !reachedEndpoint(failure) && this.redirectsLeft > 0;
  }

  private consumeRedirect(failure: RequestFailure): void {
    if (this.hasAbsentRedirect(failure)) {
      this.absentRedirectsLeft -= 1;
    } else {
      this.redirectsLeft -= 1;
    }
  }

  /** The delay before another attempt; undefined if no retry is allowed. */
  private scheduleRetry(
    failure: RequestFailure,
    canReplay: boolean,
    nowMs: number,
  ): RequestEffect | undefined {
    if (!this.mayRetry(failure, canReplay)) {
      return undefined;
    }
    const remainingMs = this.policy.deadlineAtMs - nowMs;
    const { faultShare } = failure;
    const delayMs = retryBackOffMs({ attempt: this.attempt, faultShare, remainingMs }, this.random);
    const beginsAtMs = nowMs + delayMs;
    const isTooLate =
      beginsAtMs >= this.policy.deadlineAtMs || this.mustReportNow(failure, beginsAtMs);
    if (isTooLate || !this.budget.take()) {
      return undefined;
    }
    this.retriesLeft -= 1;
    this.state = 'backing-off';
    return { type: 'back-off', delayMs };
  }

  private mayRetry(failure: RequestFailure, canReplay: boolean): boolean {
    const isSafe = this.policy.repeatable || failure.verdict === 'not-run';
    return failure.retryable && isSafe && canReplay && this.retriesLeft > 0;
  }

  private handleBrokenAnswer(
    event: Extract<RequestEvent, { type: 'answer-broken' }>,
    nowMs: number,
  ): RequestEffect[] {
    if (event.wasPassedOn) {
      this.state = 'over';
      return [...this.abortSuspects(), { type: 'break-connection' }];
    }
    return this.handleFailure(event.failure, event.canReplay, nowMs);
  }

  /** Ends a request that has provably not run while its caller can still be told so before the deadline. */
  private handleUnsentExpiry(failure: RequestFailure): RequestEffect[] {
    const hasNoAttempt = this.state === 'backing-off' || this.state === 'waiting';
    if ((!hasNoAttempt && this.state !== 'attempting') || this.isInDoubt) {
      return [];
    }
    return hasNoAttempt ? this.report(this.lastFailure ?? failure) : this.abortAndReport(failure);
  }

  /** An answer that is being forwarded continues until it is overdue. */
  private handleDeadline(failure: RequestFailure): RequestEffect[] {
    if (this.state === 'answering') {
      return this.abortSuspects();
    }
    if (this.isBetweenAttempts && this.lastFailure !== undefined) {
      return this.report(this.lastFailure);
    }
    this.mayHaveRun ||= this.state === 'attempting' && failure.verdict !== 'not-run';
    return this.abortAndReport(failure);
  }

  /** A partly forwarded answer can't be replaced by an error, so the caller's connection ends. */
  private handleOverdueAnswer({
    failure,
    wasPassedOn,
  }: Extract<RequestEvent, { type: 'answer-overdue' }>): RequestEffect[] {
    if (this.state !== 'answering') {
      return [];
    }
    this.mayHaveRun = true;
    if (!wasPassedOn) {
      return this.abortAndReport(failure);
    }
    const aborts = this.abortAll();
    this.state = 'over';
    return [...aborts, { type: 'break-connection' }];
  }

  /** A partly forwarded answer can't be replaced by an error; it continues while its connection is open. */
  private giveUp(event: Extract<RequestEvent, { type: 'give-up' }>): RequestEffect[] {
    const { failure, isUnsent, wasPassedOn } = event;
    if (this.state === 'answering' && wasPassedOn) {
      return [];
    }
    if (this.isBetweenAttempts) {
      return this.report(this.lastFailure ?? failure);
    }
    this.mayHaveRun ||= this.hasActiveAttempt && !isUnsent;
    return this.abortAndReport(failure);
  }

  private abandon(): RequestEffect[] {
    const aborts = this.abortAll();
    this.state = 'over';
    return aborts;
  }

  private abortAndReport(failure: RequestFailure): RequestEffect[] {
    this.mayHaveRun = this.isInDoubt;
    return [...this.abortAll(), ...this.report(failure)];
  }

  private abortAll(): RequestEffect[] {
    const current: RequestEffect[] = this.hasActiveAttempt
      ? [{ type: 'abort-attempt', attempt: this.current }]
      : [];
    return [...current, ...this.abortSuspects()];
  }

  private abortSuspects(): RequestEffect[] {
    const suspects = [...this.suspects];
    this.suspects.clear();
    return suspects.map((attempt) => ({ type: 'abort-attempt', attempt }));
  }

  private report(failure: RequestFailure): RequestEffect[] {
    this.state = 'over';
    const verdict = this.mayHaveRun ? 'may-have-run' : failure.verdict;
    return [{ type: 'report', failure, verdict }];
  }
}

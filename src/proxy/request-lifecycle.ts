/**
 * Life of one caller's request at the caller's node: attempts, retries, the verdict over all
 * attempts. Pure: events with the time in, effects out.
 *
 * An attempt of which nothing is heard is a suspect: another one may begin beside it, and the first good
 * answer wins. Without another one it is waited for: only the loss of its connection, the deadline, the
 * caller and the end of a planned stop end an attempt that no answer has replaced.
 */
import type { RandomSource } from '../control/control-event.js';
import type { RetryBudget } from '../routing/retry-budget.js';
import { isEndpointAbsent, reachedEndpoint, type RequestFailure } from './request-error.js';
import type { AttemptEvent, RequestEffect, RequestEvent } from './request-event.js';

import type { RequestPolicy } from './request-policy.js';

export type { RequestEffect, RequestEvent } from './request-event.js';
export type { RequestPolicy } from './request-policy.js';

/** Upper bound of the first back-off, in milliseconds; doubles with each retry. */
const FIRST_BACK_OFF_MS = 10;

/**
 * - `attempting`: the latest attempt is under way, and not suspected.
 * - `answering`: an answer is passed on.
 * - `backing-off`: another attempt follows after a pause.
 * - `awaiting`: no other attempt follows; the suspects may still be answered.
 */
type State = 'new' | 'attempting' | 'answering' | 'backing-off' | 'awaiting' | 'over';

/** One caller's request. */
export class RequestLifecycle {
  private state: State = 'new';
  /** The latest attempt. */
  private attempt = 0;
  /** The attempt that is under way or passes its answer on. */
  private current = 0;
  /** Attempts of which nothing is heard, and that are waited for beside the current one. */
  private readonly suspects = new Set<number>();
  private retriesLeft: number;
  private redirectsLeft: number;
  private absentRedirectsLeft: number;
  private lastFailure: RequestFailure | undefined;
  /** Whether an attempt that is over may have run. */
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

  /** Whether the request has got its answer or error. */
  get isOver(): boolean {
    return this.state === 'over';
  }

  /** Takes an event; effects are to be executed in order. */
  handle(event: RequestEvent, nowMs: number): RequestEffect[] {
    if (this.state === 'over') {
      return [];
    }
    return 'attempt' in event ? this.handleAttempt(event, nowMs) : this.handleRequest(event);
  }

  /** Takes what an attempt came to; nothing of one that is past counts. */
  private handleAttempt(event: AttemptEvent, nowMs: number): RequestEffect[] {
    if (event.attempt === this.current && this.isUnderWay) {
      return this.handleCurrent(event, nowMs);
    }
    return this.suspects.has(event.attempt) ? this.handleSuspect(event, nowMs) : [];
  }

  private handleCurrent(event: AttemptEvent, nowMs: number): RequestEffect[] {
    switch (event.type) {
      case 'answered':
        return this.takeAnswer(event.fault, nowMs);
      case 'answer-whole':
        this.state = 'over';
        return this.abortSuspects();
      case 'answer-broken':
        return this.breakAnswer(event, nowMs);
      case 'failed':
        return this.fail(event.failure, event.canReplay, nowMs);
      case 'suspected':
        return this.suspect(event, nowMs);
      case 'no-endpoint':
        return this.settle(this.lastFailure ?? event.failure);
      case 'withheld':
        return this.settle(this.mayHaveRun ? (this.lastFailure ?? event.failure) : event.failure);
    }
  }

  private handleSuspect(event: AttemptEvent, nowMs: number): RequestEffect[] {
    switch (event.type) {
      case 'answered':
        return this.takeSuspectAnswer(event.attempt, event.fault, nowMs);
      case 'failed':
        return this.failSuspect(event, nowMs);
      default:
        return [];
    }
  }

  private handleRequest(event: Exclude<RequestEvent, AttemptEvent>): RequestEffect[] {
    switch (event.type) {
      case 'start':
        return this.start();
      case 'target-missed':
        return this.missTarget();
      case 'back-off-over':
        return this.state === 'backing-off' ? this.beginAttempt() : [];
      case 'deadline':
        return this.expire(event.failure);
      case 'give-up':
        return this.giveUp(event);
      case 'caller-gone':
        return this.abandon();
    }
  }

  private get isUnderWay(): boolean {
    return this.state === 'attempting' || this.state === 'answering';
  }

  /** Whether an attempt may have run, or be at work. */
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
   * The retries left are split between the receivers of this attempt and later attempts, so that a
   * chain of calls makes no more attempts in all than its first request allows.
   */
  private beginAttempt(): RequestEffect[] {
    this.state = 'attempting';
    this.attempt += 1;
    this.current = this.attempt;
    const forReceivers = Math.floor(this.retriesLeft / 2);
    this.retriesLeft -= forReceivers;
    return [{ type: 'begin-attempt', attempt: this.attempt, retriesLeft: forReceivers }];
  }

  /** What nodes refused for the sake of the target is no reason to refuse late work. */
  private missTarget(): RequestEffect[] {
    this.redirectsLeft = Math.max(this.redirectsLeft, this.policy.lateRedirects ?? 0);
    return [];
  }

  /** An answer that reports a fault is passed on unless the request can be sent again, or a suspect may do better. */
  private takeAnswer(fault: RequestFailure | undefined, nowMs: number): RequestEffect[] {
    const next = fault && this.doBetter(fault, nowMs);
    if (fault === undefined || next === undefined) {
      this.state = 'answering';
      return [{ type: 'pass-answer', attempt: this.current }];
    }
    this.lastFailure = fault;
    this.mayHaveRun = true;
    return [{ type: 'discard-answer', attempt: this.current }, ...next];
  }

  private doBetter(fault: RequestFailure, nowMs: number): RequestEffect[] | undefined {
    const backOff = this.retry(fault, true, nowMs);
    if (backOff !== undefined) {
      return [backOff];
    }
    return this.suspects.size > 0 ? this.settle(fault) : undefined;
  }

  /** An answer that still came is passed on, unless another one is, or it is a fault and more may come. */
  private takeSuspectAnswer(
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
    return this.takeAnswer(fault, nowMs);
  }

  private fail(failure: RequestFailure, canReplay: boolean, nowMs: number): RequestEffect[] {
    this.lastFailure = failure;
    this.mayHaveRun ||= failure.verdict !== 'not-run';
    return this.tryAgain(failure, canReplay, nowMs) ?? this.settle(failure);
  }

  private failSuspect(
    { attempt, failure, canReplay }: Extract<RequestEvent, { type: 'failed' }>,
    nowMs: number,
  ): RequestEffect[] {
    this.suspects.delete(attempt);
    this.lastFailure = failure;
    this.mayHaveRun ||= failure.verdict !== 'not-run';
    const isLast = this.state === 'awaiting' && this.suspects.size === 0;
    return isLast ? this.fail(failure, canReplay, nowMs) : [];
  }

  /**
   * Begins another attempt beside one of which nothing is heard, or in place of one that has provably not
   * reached its endpoint. Where none may follow, that one is waited for: ended at the first sign of silence,
   * requests were told 502 while their endpoints were at work behind links that were only slow.
   */
  private suspect(
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
    const next = this.tryAgain(failure, canReplay, nowMs);
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

  /** What begins another attempt; undefined when none may be made. */
  private tryAgain(
    failure: RequestFailure,
    canReplay: boolean,
    nowMs: number,
  ): RequestEffect[] | undefined {
    if (this.isBestTold(failure, nowMs)) {
      return undefined;
    }
    if (this.mayRedirect(failure, canReplay)) {
      this.takeRedirect(failure);
      return this.beginAttempt();
    }
    const backOff = this.retry(failure, canReplay, nowMs);
    return backOff && [backOff];
  }

  /** No other attempt follows: the caller is told, unless a suspect may still be answered. */
  private settle(failure: RequestFailure): RequestEffect[] {
    if (this.suspects.size === 0) {
      return this.report(failure);
    }
    this.state = 'awaiting';
    return [];
  }

  /**
   * Whether the request has provably not run, and another attempt might leave that in doubt at its deadline:
   * nobody would be told of its refusal in time.
   */
  private isBestTold(failure: RequestFailure, nowMs: number): boolean {
    const { refusableUntilMs = Infinity } = this.policy;
    return !this.isInDoubt && failure.verdict === 'not-run' && nowMs > refusableUntilMs;
  }

  private mayRedirect(failure: RequestFailure, canReplay: boolean): boolean {
    const isFree = this.isAbsentFree(failure) || this.isRedirectLeft(failure);
    return isFree && failure.retryable && canReplay;
  }

  private isAbsentFree(failure: RequestFailure): boolean {
    return isEndpointAbsent(failure) && this.absentRedirectsLeft > 0;
  }

  private isRedirectLeft(failure: RequestFailure): boolean {
    return !reachedEndpoint(failure) && this.redirectsLeft > 0;
  }

  private takeRedirect(failure: RequestFailure): void {
    if (this.isAbsentFree(failure)) {
      this.absentRedirectsLeft -= 1;
    } else {
      this.redirectsLeft -= 1;
    }
  }

  /** The pause before another attempt; undefined when none may be made. */
  private retry(
    failure: RequestFailure,
    canReplay: boolean,
    nowMs: number,
  ): RequestEffect | undefined {
    if (!this.mayRetry(failure, canReplay)) {
      return undefined;
    }
    const delayMs = this.random() * FIRST_BACK_OFF_MS * 2 ** (this.attempt - 1);
    const beginsAtMs = nowMs + delayMs;
    const isTooLate =
      beginsAtMs >= this.policy.deadlineAtMs || this.isBestTold(failure, beginsAtMs);
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

  private breakAnswer(
    event: Extract<RequestEvent, { type: 'answer-broken' }>,
    nowMs: number,
  ): RequestEffect[] {
    if (event.wasPassedOn) {
      this.state = 'over';
      return [...this.abortSuspects(), { type: 'break-connection' }];
    }
    return this.fail(event.failure, event.canReplay, nowMs);
  }

  /** An answer under way goes on: its head was in time. */
  private expire(failure: RequestFailure): RequestEffect[] {
    if (this.state === 'answering') {
      return this.abortSuspects();
    }
    if (this.state === 'backing-off' && this.lastFailure !== undefined && !this.suspects.size) {
      return this.report(this.lastFailure);
    }
    this.mayHaveRun ||= this.state === 'attempting' && failure.verdict !== 'not-run';
    return this.abortAndReport(failure);
  }

  /** An answer that has begun to go out can't be replaced; it goes on while its connection is open. */
  private giveUp(event: Extract<RequestEvent, { type: 'give-up' }>): RequestEffect[] {
    const { failure, isUnsent, wasPassedOn } = event;
    if (this.state === 'answering' && wasPassedOn) {
      return [];
    }
    if (this.state === 'backing-off' && this.suspects.size === 0) {
      return this.report(this.lastFailure ?? failure);
    }
    this.mayHaveRun ||= this.isUnderWay && !isUnsent;
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
    const current: RequestEffect[] = this.isUnderWay
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

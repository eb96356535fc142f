/**
 * Life of one caller's request at the caller's node: attempts, retries, the verdict over all
 * attempts. Pure: events with the time in, effects out.
 */
import type { Verdict } from '../model/verdict.js';
import type { RandomSource } from '../control/control-event.js';
import type { RetryBudget } from '../routing/retry-budget.js';
import { isEndpointAbsent, reachedEndpoint, type RequestFailure } from './request-error.js';

/** Upper bound of the first back-off, in milliseconds; doubles with each retry. */
const FIRST_BACK_OFF_MS = 10;

/** What the route, the caller and the node allow. */
export interface RequestPolicy {
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  readonly deadlineAtMs: number;
  /** Attempts after the first, those of the receivers included. */
  readonly retries: number;
  /** What the first attempt earns for the service's retry budget, in percent. */
  readonly retryBudgetPercent: number;
  /**
   * Further attempts that take nothing from the retries and their budget, since the failed one did
   * not reach an endpoint.
   */
  readonly redirects: number;
  /** The same, after attempts at endpoints that are absent: these are no sign of load. */
  readonly absentRedirects?: number;
  /** The same, from when the request can only be answered late: so many at least are left then. */
  readonly lateRedirects?: number;
  /** Until when an attempt may begin whose refusal is still heard of before the deadline; no bound if absent. */
  readonly refusableUntilMs?: number;
}

/** Something that happened; `attempt` counts from 1, and events of a past attempt have no effect. */
export type RequestEvent =
  | { readonly type: 'start' }
  /** The head of an answer arrived. */
  | {
      readonly type: 'answered';
      readonly attempt: number;
      /** The failure that the answer reports, where another endpoint may do better. */
      readonly fault?: RequestFailure;
    }
  | { readonly type: 'answer-whole'; readonly attempt: number }
  /** The answer ended too early; `canReplay` as for `failed`. */
  | {
      readonly type: 'answer-broken';
      readonly attempt: number;
      readonly failure: RequestFailure;
      /** Whether the caller got a part of it. */
      readonly wasPassedOn: boolean;
      readonly canReplay: boolean;
    }
  | {
      readonly type: 'failed';
      readonly attempt: number;
      readonly failure: RequestFailure;
      /** Whether the body can be sent again. */
      readonly canReplay: boolean;
    }
  /** No endpoint is left to try. */
  | { readonly type: 'no-endpoint'; readonly attempt: number; readonly failure: RequestFailure }
  /** The request is not to be sent on: endpoints ended under it. */
  | { readonly type: 'withheld'; readonly attempt: number; readonly failure: RequestFailure }
  | { readonly type: 'back-off-over' }
  /** The request can't be answered within its target latency any more, but before its deadline. */
  | { readonly type: 'target-missed' }
  /** The deadline passed; `failure` says so, and what is known of the attempt under way. */
  | { readonly type: 'deadline'; readonly failure: RequestFailure }
  /** The node stops: nothing more can be awaited. */
  | {
      readonly type: 'give-up';
      readonly failure: RequestFailure;
      /** Whether the attempt under way has provably not left the node. */
      readonly isUnsent: boolean;
      /** Whether the caller got a part of the answer. */
      readonly wasPassedOn: boolean;
    }
  | { readonly type: 'caller-gone' };

/** The events that tell of one attempt. */
type AttemptEvent = Extract<RequestEvent, { attempt: number }>;

/** Something to be done. */
export type RequestEffect =
  | {
      readonly type: 'begin-attempt';
      readonly attempt: number;
      /** Attempts after the first that the receivers of this attempt may make among them. */
      readonly retriesLeft: number;
    }
  | { readonly type: 'back-off'; readonly delayMs: number }
  | { readonly type: 'abort-attempt' }
  | { readonly type: 'pass-answer' }
  /** The answer reports a fault, and the request is sent again. */
  | { readonly type: 'discard-answer' }
  /** Tell the caller; `verdict` covers all attempts. */
  | { readonly type: 'report'; readonly failure: RequestFailure; readonly verdict: Verdict }
  /** Break the caller's connection: its answer can't be completed. */
  | { readonly type: 'break-connection' };

type State = 'new' | 'attempting' | 'answering' | 'backing-off' | 'over';

/** One caller's request. */
export class RequestLifecycle {
  private state: State = 'new';
  private attempt = 0;
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

  /** Whether another attempt would follow if the one that is under way failed so now. */
  wouldRetry(failure: RequestFailure, canReplay: boolean, nowMs: number): boolean {
    const isRetried = this.mayRetry(failure, canReplay) && this.budget.hasRetry;
    return !this.isBestTold(failure, nowMs) && (isRetried || this.mayRedirect(failure, canReplay));
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
    if (event.attempt !== this.attempt || !this.isUnderWay) {
      return [];
    }
    switch (event.type) {
      case 'answered':
        return this.takeAnswer(event.fault, nowMs);
      case 'answer-whole':
        this.state = 'over';
        return [];
      case 'answer-broken':
        return this.breakAnswer(event, nowMs);
      case 'failed':
        return this.fail(event.failure, event.canReplay, nowMs);
      case 'no-endpoint':
        return this.report(this.lastFailure ?? event.failure);
      case 'withheld':
        return this.report(this.mayHaveRun ? (this.lastFailure ?? event.failure) : event.failure);
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
    const forReceivers = Math.floor(this.retriesLeft / 2);
    this.retriesLeft -= forReceivers;
    return [{ type: 'begin-attempt', attempt: this.attempt, retriesLeft: forReceivers }];
  }

  /** What nodes refused for the sake of the target is no reason to refuse late work. */
  private missTarget(): RequestEffect[] {
    this.redirectsLeft = Math.max(this.redirectsLeft, this.policy.lateRedirects ?? 0);
    return [];
  }

  /** An answer that reports a fault is passed on unless the request can be sent again. */
  private takeAnswer(fault: RequestFailure | undefined, nowMs: number): RequestEffect[] {
    const backOff = fault && this.retry(fault, true, nowMs);
    if (fault === undefined || backOff === undefined) {
      this.state = 'answering';
      return [{ type: 'pass-answer' }];
    }
    this.lastFailure = fault;
    this.mayHaveRun = true;
    return [{ type: 'discard-answer' }, backOff];
  }

  private fail(failure: RequestFailure, canReplay: boolean, nowMs: number): RequestEffect[] {
    this.lastFailure = failure;
    this.mayHaveRun ||= failure.verdict !== 'not-run';
    if (this.isBestTold(failure, nowMs)) {
      return this.report(failure);
    }
    if (this.mayRedirect(failure, canReplay)) {
      this.takeRedirect(failure);
      return this.beginAttempt();
    }
    const backOff = this.retry(failure, canReplay, nowMs);
    return backOff === undefined ? this.report(failure) : [backOff];
  }

  /**
   * Whether the request has provably not run, and another attempt might leave that in doubt at its deadline:
   * nobody would be told of its refusal in time.
   */
  private isBestTold(failure: RequestFailure, nowMs: number): boolean {
    const { refusableUntilMs = Infinity } = this.policy;
    return !this.mayHaveRun && failure.verdict === 'not-run' && nowMs > refusableUntilMs;
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
      return [{ type: 'break-connection' }];
    }
    return this.fail(event.failure, event.canReplay, nowMs);
  }

  /** An answer under way goes on: its head was in time. */
  private expire(failure: RequestFailure): RequestEffect[] {
    if (this.state === 'answering') {
      return [];
    }
    if (this.state === 'backing-off' && this.lastFailure !== undefined) {
      return this.report(this.lastFailure);
    }
    this.mayHaveRun ||= this.state === 'attempting' && failure.verdict !== 'not-run';
    return [{ type: 'abort-attempt' }, ...this.report(failure)];
  }

  /** An answer that has begun to go out can't be replaced; it goes on while its connection is open. */
  private giveUp(event: Extract<RequestEvent, { type: 'give-up' }>): RequestEffect[] {
    const { failure, isUnsent, wasPassedOn } = event;
    if (this.state === 'answering' && wasPassedOn) {
      return [];
    }
    if (this.state === 'backing-off') {
      return this.report(this.lastFailure ?? failure);
    }
    const isUnderWay = this.isUnderWay;
    this.mayHaveRun ||= isUnderWay && !isUnsent;
    const aborts: RequestEffect[] = isUnderWay ? [{ type: 'abort-attempt' }] : [];
    return [...aborts, ...this.report(failure)];
  }

  private abandon(): RequestEffect[] {
    const { isUnderWay } = this;
    this.state = 'over';
    return isUnderWay ? [{ type: 'abort-attempt' }] : [];
  }

  private report(failure: RequestFailure): RequestEffect[] {
    this.state = 'over';
    const verdict = this.mayHaveRun ? 'may-have-run' : failure.verdict;
    return [{ type: 'report', failure, verdict }];
  }
}

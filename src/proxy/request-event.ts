/** Events and effects of the lifecycle of one caller's request. */
import type { Verdict } from '../model/verdict.js';
import type { RequestFailure } from './request-error.js';

/** Input of the lifecycle; `attempt` counts from 1, and events of an attempt that is over have no effect. */
export type RequestEvent =
  | { readonly type: 'start' }
  /** The head of an answer arrived. */
  | {
      readonly type: 'answered';
      readonly attempt: number;
      /** The failure that the answer reports, if another endpoint may succeed. */
      readonly fault?: RequestFailure;
    }
  | { readonly type: 'answer-whole'; readonly attempt: number }
  /** The answer was truncated; `canReplay` as for `failed`. */
  | {
      readonly type: 'answer-broken';
      readonly attempt: number;
      readonly failure: RequestFailure;
      /** Whether part of the answer was forwarded to the caller. */
      readonly wasPassedOn: boolean;
      readonly canReplay: boolean;
    }
  | {
      readonly type: 'failed';
      readonly attempt: number;
      readonly failure: RequestFailure;
      /** Whether the body can be sent again. */
      readonly canReplay: boolean;
      /** How long the request may wait for a slot if no other attempt follows; undefined if it may not. */
      readonly waitMs?: number | undefined;
    }
  /** The peer or connection from which the answer is awaited is unresponsive; the answer may still arrive. */
  | {
      readonly type: 'suspected';
      readonly attempt: number;
      /** The failure if the attempt ended now; `not-run` if the attempt has provably not reached its endpoint. */
      readonly failure: RequestFailure;
      readonly canReplay: boolean;
    }
  /** No endpoint is left to try. */
  | {
      readonly type: 'no-endpoint';
      readonly attempt: number;
      readonly failure: RequestFailure;
      /** As for `failed`. */
      readonly waitMs?: number | undefined;
    }
  /** The request is not forwarded because endpoint processes ended while running it. */
  | { readonly type: 'withheld'; readonly attempt: number; readonly failure: RequestFailure }
  | { readonly type: 'back-off-over' }
  /** The wait for a slot is over; another attempt follows if `mayAttempt`. */
  | { readonly type: 'wait-over'; readonly mayAttempt: boolean }
  /** The request can no longer be answered within its target latency, but may be before its deadline. */
  | { readonly type: 'target-missed' }
  /** The deadline is near, and no attempt in flight can have reached an endpoint. */
  | { readonly type: 'unsent-expiring'; readonly failure: RequestFailure }
  /** The deadline passed; `failure` reports it, and what is known about the attempts in flight. */
  | { readonly type: 'deadline'; readonly failure: RequestFailure }
  /** The deadline has passed, and the answer that is being forwarded may not go on. */
  | {
      readonly type: 'answer-overdue';
      readonly failure: RequestFailure;
      /** Whether part of the answer was forwarded to the caller. */
      readonly wasPassedOn: boolean;
    }
  /** The node is stopping and can't wait any longer. */
  | {
      readonly type: 'give-up';
      readonly failure: RequestFailure;
      /** Whether no endpoint can have received any attempt in flight. */
      readonly isUnsent: boolean;
      /** Whether part of the answer was forwarded to the caller. */
      readonly wasPassedOn: boolean;
    }
  | { readonly type: 'caller-gone' };

/** The events that concern a single attempt. */
export type AttemptEvent = Extract<RequestEvent, { attempt: number }>;

/** Output of the lifecycle: an action to perform. */
export type RequestEffect =
  | {
      readonly type: 'begin-attempt';
      readonly attempt: number;
      /** Retry allowance that is passed on to the receivers of this attempt, for all of them together. */
      readonly retriesLeft: number;
      /** Whether no other attempt may follow one that is refused for lack of capacity. */
      readonly isLast: boolean;
    }
  /** Wait for a slot for up to `delayMs`; `failure` is the latest refusal. */
  | { readonly type: 'wait'; readonly delayMs: number; readonly failure: RequestFailure }
  | { readonly type: 'back-off'; readonly delayMs: number }
  | { readonly type: 'abort-attempt'; readonly attempt: number }
  | { readonly type: 'pass-answer'; readonly attempt: number }
  /** The answer reports an endpoint error, and another attempt may succeed. */
  | { readonly type: 'discard-answer'; readonly attempt: number }
  /** Report an error to the caller; `verdict` covers all attempts. */
  | { readonly type: 'report'; readonly failure: RequestFailure; readonly verdict: Verdict }
  /** Break the caller's connection because the answer can't be completed. */
  | { readonly type: 'break-connection' };

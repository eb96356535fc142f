/** What happens to one caller's request, and what is to be done about it. */
import type { Verdict } from '../model/verdict.js';
import type { RequestFailure } from './request-error.js';

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
  /** Nothing is heard of the peer, or on the connection, that owes the answer; it may still come. */
  | {
      readonly type: 'suspected';
      readonly attempt: number;
      /** What the attempt would have failed with; not run where it has provably not reached its endpoint. */
      readonly failure: RequestFailure;
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
export type AttemptEvent = Extract<RequestEvent, { attempt: number }>;

/** Something to be done. */
export type RequestEffect =
  | {
      readonly type: 'begin-attempt';
      readonly attempt: number;
      /** Attempts after the first that the receivers of this attempt may make among them. */
      readonly retriesLeft: number;
    }
  | { readonly type: 'back-off'; readonly delayMs: number }
  | { readonly type: 'abort-attempt'; readonly attempt: number }
  | { readonly type: 'pass-answer'; readonly attempt: number }
  /** The answer reports a fault, and the request is sent again. */
  | { readonly type: 'discard-answer'; readonly attempt: number }
  /** Tell the caller; `verdict` covers all attempts. */
  | { readonly type: 'report'; readonly failure: RequestFailure; readonly verdict: Verdict }
  /** Break the caller's connection: its answer can't be completed. */
  | { readonly type: 'break-connection' };

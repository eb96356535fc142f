/** What a caller saw of one call, to be compared with the back ends' ledgers. */
import type { Verdict } from '../../src/model/verdict.js';

/** How a call ended for its caller. */
export type CallEnd =
  /** An answer that says to be whole. */
  | { readonly type: 'answered'; readonly status: number; readonly verdict: Verdict | undefined }
  /** The connection broke after the request, or a part of it, may have gone out. */
  | { readonly type: 'broken' }
  /** No connection could be had: nothing was sent. */
  | { readonly type: 'not-sent' }
  /** The caller gave up waiting. */
  | { readonly type: 'timed-out' };

/** What is wrong with the content of an answer. */
export type ContentFault =
  /** It says to be whole and is not. */
  | 'truncated'
  /** It belongs to another call. */
  | 'crossed'
  /** The back end got another request body than the one that was sent. */
  | 'wrong-request-body';

/** One call as its caller saw it. */
export interface CallRecord {
  /** Unique; sent as `x-call-id`. */
  readonly callId: string;
  readonly service: string;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** The same for calls that ask for the same thing again. */
  readonly idempotencyKey?: string;
  /** The node that was called. */
  readonly node: string;
  /** Milliseconds since 1970. */
  readonly startedAt: number;
  readonly latencyMs: number;
  readonly end: CallEnd;
  readonly contentFault?: ContentFault;
}

/** Whether the call got the answer that it wanted. */
export function isServed(record: CallRecord): boolean {
  return record.end.type === 'answered' && record.end.status === 200;
}

/** Whether the caller was told that its request did not run. */
export function isToldNotRun(record: CallRecord): boolean {
  return record.end.type === 'answered' && record.end.verdict === 'not-run';
}

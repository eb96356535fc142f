/** Bounds of the request path, with defaults that fit small machines. */

import { DEFAULT_QUEUED_PER_SLOT } from '../admission/endpoint-admission.js';
import { DEFAULT_MAX_SAVED_RETRIES } from '../routing/retry-budget.js';
import type { CancelLead } from './gated-call.js';
import { DEFAULT_IDLE_CONNECTION_MS } from './http-exchange.js';
import { MAX_BUFFERED_BODY_BYTES } from './relay/collected-body.js';
import type { StopLimits } from './stop-times.js';

/** Bounds that an operator may set. */
export interface ProxyLimits extends CancelLead, StopLimits {
  /** Largest request head, in bytes. */
  readonly maxHeaderBytes: number;
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Largest request body that is held so that it can be sent again, in bytes. */
  readonly maxReplayBodyBytes: number;
  /** Bytes of request bodies held by the node in all. */
  readonly maxHeldBytes: number;
  /** Largest answer that is held until it is whole before its first byte goes out, in bytes. */
  readonly maxHeldAnswerBytes: number;
  /** Requests that wait for one endpoint at most. */
  readonly maxQueuedPerEndpoint: number;
  /** The same, for each slot of the endpoint. */
  readonly maxQueuedPerSlot: number;
  /** Time without a byte of an answer's body after which it is given up, in milliseconds. */
  readonly answerIdleTimeoutMs: number;
  /** Callers' requests in flight at once; more are refused. */
  readonly maxCallsInFlight: number;
  /** Attempts after the first for one request at most. */
  readonly maxRetries: number;
  /** Attempts after one that did not reach its endpoint, besides the retries. */
  readonly maxRedirects: number;
  /**
   * Attempts after one at an endpoint that is absent, besides the others. They add to nobody's
   * load: with one allowance for these and for full endpoints, 883 of 1,312 errors in ten seconds in which
   * three of four endpoints had ended were told to requests that had run nowhere, most with a second left.
   */
  readonly maxAbsentRedirects: number;
  /**
   * Such attempts that a request has left at least when it turns late, `maxRedirects` at most: without
   * one, a request that spent its attempts on nodes that could not answer within its target fails beside
   * endpoints with free slots.
   */
  readonly maxLateRedirects: number;
  /** Whether a repeatable request is sent again after an answer that reports the endpoint's fault. */
  readonly retriesFaults: boolean;
  /** Retries towards one service that may be saved up for a burst. */
  readonly maxSavedRetries: number;
  /** The same for all nodes together; each may save up its share. Unbounded when absent. */
  readonly fleetSavedRetries?: number;
  /** Time for which an idle connection to an endpoint is kept, in milliseconds. */
  readonly maxIdleEndpointConnectionMs: number;
  /** Time to open a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Time that callers need to notice a planned stop, in milliseconds; no stop ends before. */
  readonly stopNoticeMs: number;
  /** Time without a new request after which a planned stop is over, in milliseconds. */
  readonly stopQuietMs: number;
  /** Lateness of the process by which a planned stop ends earlier, at most, in milliseconds; none when absent. */
  readonly maxLatenessMs?: number;
}

/** Bounds where settings name none. */
export const DEFAULT_PROXY_LIMITS: ProxyLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  // What another node collects is sent at its pace, not at that of a slow caller, and a caller that leaves
  // is noticed: nothing reads the connection of one whose body waits unread.
  maxReplayBodyBytes: MAX_BUFFERED_BODY_BYTES,
  maxHeldBytes: 32 * 1024 * 1024,
  maxHeldAnswerBytes: 16 * 1024,
  maxQueuedPerEndpoint: 64,
  maxQueuedPerSlot: DEFAULT_QUEUED_PER_SLOT,
  answerIdleTimeoutMs: 60_000,
  maxCallsInFlight: 4_096,
  maxRetries: 2,
  maxRedirects: 0,
  maxAbsentRedirects: 8,
  maxLateRedirects: 1,
  retriesFaults: false,
  maxSavedRetries: DEFAULT_MAX_SAVED_RETRIES,
  maxIdleEndpointConnectionMs: DEFAULT_IDLE_CONNECTION_MS,
  connectTimeoutMs: 1_000,
  stopTimeoutMs: 30_000,
  stopAnswerMs: 250,
  stopNoticeMs: 0,
  stopAcceptMs: 1_000,
  stopQuietMs: 300,
  cancelLeadShare: 0.1,
  maxCancelLeadMs: 50,
};

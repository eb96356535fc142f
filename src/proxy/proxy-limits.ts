/** Limits of the request path, with defaults that suit small machines. */

import { DEFAULT_MAX_SAVED_RETRIES } from '../routing/retry-budget.js';
import type { CancelLead } from './gated-call.js';
import { DEFAULT_IDLE_CONNECTION_MS } from './http-exchange.js';
import { MAX_BUFFERED_BODY_BYTES } from './relay/collected-body.js';
import type { StopLimits } from './stop-times.js';

/** Limits that an operator can set. */
export interface ProxyLimits extends CancelLead, StopLimits {
  /** Largest request head, in bytes. */
  readonly maxHeaderBytes: number;
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Largest request body that is buffered so that it can be sent again, in bytes. */
  readonly maxReplayBodyBytes: number;
  /** Maximum number of bytes of request bodies that the node buffers in total. */
  readonly maxHeldBytes: number;
  /** Largest response that is buffered completely before its first byte is sent, in bytes. */
  readonly maxHeldAnswerBytes: number;
  /** Maximum number of requests that wait for one endpoint. */
  readonly maxQueuedPerEndpoint: number;
  /** Maximum number of requests that wait for one endpoint, per slot of the endpoint. */
  readonly maxQueuedPerSlot: number;
  /** Whether long work leaves slots of an endpoint free for more urgent work. */
  readonly keepsHeadroom: boolean;
  /**
   * Time without a byte of a response body after which the exchange is aborted, in milliseconds.
   */
  readonly answerIdleTimeoutMs: number;
  /** Maximum number of announcements of free slots of one endpoint per second; 0 for none. */
  readonly maxSlotAnnouncementsPerS: number;
  /** Maximum number of callers' requests in flight; further requests are refused. */
  readonly maxCallsInFlight: number;
  /** Maximum number of attempts after the first for one request. */
  readonly maxRetries: number;
  /**
   * Maximum number of attempts after ones that did not reach their endpoint, besides the retries.
   */
  readonly maxRedirects: number;
  /**
   * Maximum number of attempts after ones at absent endpoints, besides the retries and redirects.
   * They add no load to any endpoint. When absent and full endpoints shared one allowance, 883 of
   * 1,312 errors in the ten seconds in which three of four endpoints had ended were returned for
   * requests that had not run anywhere, most of them with a second left.
   */
  readonly maxAbsentRedirects: number;
  /**
   * Minimum number of redirects that a request has left when it misses its target latency, limited
   * to `maxRedirects`. Without one, a request that spent its attempts on nodes that could not
   * answer within its target fails although other endpoints have free slots.
   */
  readonly maxLateRedirects: number;
  /**
   * Maximum number of requests that wait at their caller's node for a slot; 0 switches waiting off. Applies to routes
   * with a target latency and a time-out well above it.
   */
  readonly maxWaitingRequests: number;
  /** Maximum total size of the bodies of requests that wait for a slot, in bytes. */
  readonly maxWaitingBytes: number;
  /**
   * Whether a repeatable request is retried after a response that reports a fault of the endpoint.
   */
  readonly retriesFaults: boolean;
  /** Maximum number of retries towards one service that can be saved for a burst. */
  readonly maxSavedRetries: number;
  /**
   * Maximum number of retries towards one service that all nodes together can save, each its share;
   * unlimited when absent.
   */
  readonly fleetSavedRetries?: number;
  /**
   * Window within which all earned retries towards one service may be made, in milliseconds; if absent, only as many
   * as may be saved can be made at once.
   */
  readonly retryWindowMs?: number;
  /** Time after which an idle connection to an endpoint is closed, in milliseconds. */
  readonly maxIdleEndpointConnectionMs: number;
  /** Timeout for establishing a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Time that callers need to notice a planned stop, in milliseconds; no stop ends before it. */
  readonly stopNoticeMs: number;
  /** Time without a new request after which a planned stop ends early, in milliseconds. */
  readonly stopQuietMs: number;
  /**
   * Maximum event loop lag by which a planned stop ends earlier, in milliseconds; 0 when absent.
   */
  readonly maxEventLoopLagMs?: number;
}

/** Limits used where the settings specify none. */
export const DEFAULT_PROXY_LIMITS: ProxyLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  // A body that another node buffers completely is buffered here first. It is then sent at the pace
  // of that node instead of a slow caller's, and a caller that disconnects is detected: a
  // connection whose request body is left unread is not read at all.
  maxReplayBodyBytes: MAX_BUFFERED_BODY_BYTES,
  maxHeldBytes: 32 * 1024 * 1024,
  maxHeldAnswerBytes: 16 * 1024,
  maxQueuedPerEndpoint: 64,
  // A longer queue takes the time that a request has until its target latency.
  maxQueuedPerSlot: 1,
  keepsHeadroom: true,
  // One a service time of some hundred milliseconds: a slot that is announced later has been taken.
  maxSlotAnnouncementsPerS: 5,
  answerIdleTimeoutMs: 60_000,
  maxCallsInFlight: 4_096,
  maxRetries: 2,
  maxRedirects: 0,
  maxAbsentRedirects: 8,
  maxLateRedirects: 1,
  maxWaitingRequests: 0,
  maxWaitingBytes: 4 * 1024 * 1024,
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

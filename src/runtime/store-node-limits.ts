/** Limits of the request path of a node that replicates a key-value store. */
import type { ProxyLimits } from '../proxy/proxy-limits.js';
import { RELAY_CLOSE_TIMEOUT_MS } from '../proxy/relay/relay-server.js';
import type { StoreNodeSettings } from './store-node-settings.js';

/** Part of a planned stop reserved for sending answers to requests that it fails, in milliseconds. */
const STOP_ANSWER_MS = 250;
/** Part of a planned stop reserved for process exit, in milliseconds; exit can be slow on a busy machine. */
const STOP_EXIT_MS = 300;
/** Maximum event-loop lag by which a planned stop ends earlier, in milliseconds. */
const STOP_MAX_LATENESS_MS = 250;
/** Share of the drain timeout during which requests in progress at an endpoint are not ended. */
const STOP_WORK_SHARE = 5 / 6;
/**
 * Time reserved at the end of a planned stop, in milliseconds, to send answers, close connections to
 * peers and exit. Requests are failed as late as this reserve permits, well into the last sixth of 6 s:
 * an endpoint may still be processing them, and its answer is worth more than an error from the node.
 */
const STOP_RESERVE_MS = STOP_ANSWER_MS + RELAY_CLOSE_TIMEOUT_MS + STOP_EXIT_MS;
/**
 * Share of the fleet's retry limit that a node's own retries may use. The remainder is left for the
 * calls that retried requests make, which count as retries at the services that they call.
 */
const OWN_RETRY_SHARE = 0.45;

/** Percentage of a service's requests that a node may retry. */
export function ownRetryPercent({ retry }: StoreNodeSettings): number {
  return retry.percent * OWN_RETRY_SHARE;
}

/** Limits of the request path that the node's settings do not specify. */
export const STORE_NODE_LIMITS: Partial<ProxyLimits> = {
  maxHeaderBytes: 64 * 1024,
  // The configuration may allow bodies of any length; long ones are forwarded as they arrive.
  maxBodyBytes: Number.MAX_SAFE_INTEGER,
  maxRetries: 3,
  maxRedirects: 1,
  retriesFaults: true,
  connectTimeoutMs: 300,
  // Endpoints may drop idle connections without closing them after some hundred milliseconds.
  maxIdleEndpointConnectionMs: 200,
  // Callers check readiness once a second and switch to another node after two negative answers: 2 s, plus
  // a margin for the second answer.
  stopNoticeMs: 2_200,
  stopAcceptMs: 2_800,
  stopAnswerMs: STOP_ANSWER_MS,
  stopQuietMs: 400,
  cancelLeadShare: 0,
};

/** Returns the limits of a node with these settings. */
export function storeNodeLimits({
  drainTimeoutMs,
  retry,
}: StoreNodeSettings): Partial<ProxyLimits> {
  return {
    ...STORE_NODE_LIMITS,
    stopTimeoutMs: Math.max(0, drainTimeoutMs - STOP_RESERVE_MS),
    stopMinTimeoutMs: drainTimeoutMs * STOP_WORK_SHARE,
    maxEventLoopLagMs: STOP_MAX_LATENESS_MS,
    fleetSavedRetries: retry.fleetBurst,
    ...(retry.windowMs !== undefined && { retryWindowMs: retry.windowMs }),
  };
}

/** Bounds of the request path of a node that follows a key-value store. */
import type { ProxyLimits } from '../proxy/proxy-limits.js';
import { RELAY_CLOSE_TIMEOUT_MS } from '../proxy/relay/relay-server.js';
import type { StoreNodeSettings } from './store-node-settings.js';

/** Time of a planned stop in which the answers to what it gives up go out, in milliseconds. */
const STOP_ANSWER_MS = 250;
/** Time that is kept for the end of the process, in milliseconds: it may be late on a busy machine. */
const STOP_EXIT_MS = 300;
/** Lateness of the process by which a stop ends earlier, at most, in milliseconds. */
const STOP_MAX_LATENESS_MS = 250;
/** Share of the grace time before whose end an endpoint's work is not ended. */
const STOP_WORK_SHARE = 5 / 6;
/**
 * The end of a planned stop, in milliseconds: answers, connections to peers, the process. Requests are
 * given up as late as these allow, well into the last sixth of 6 s: an endpoint may be at work on
 * them, and its answer is worth more than the node's.
 */
const STOP_RESERVE_MS = STOP_ANSWER_MS + RELAY_CLOSE_TIMEOUT_MS + STOP_EXIT_MS;
/**
 * Part of the fleet's bound on repeats that a node's own retries may use. The rest is left for the
 * calls that repeated work makes, which count as repeats at the services that they go to.
 */
const OWN_RETRY_SHARE = 0.45;

/** The share of a service's requests that a node may send again, in percent. */
export function ownRetryPercent({ retry }: StoreNodeSettings): number {
  return retry.percent * OWN_RETRY_SHARE;
}

/** Bounds of the request path where the node's settings name none. */
export const STORE_NODE_LIMITS: Partial<ProxyLimits> = {
  maxHeaderBytes: 64 * 1024,
  maxRetries: 3,
  maxRedirects: 1,
  retriesFaults: true,
  connectTimeoutMs: 300,
  // Endpoints may forget idle connections without a word after some hundred milliseconds.
  maxIdleEndpointConnectionMs: 200,
  // Callers ask once a second whether a node is ready, and go elsewhere after two answers that it is not:
  // 2 s, and room for the second answer.
  stopNoticeMs: 2_200,
  stopAcceptMs: 2_800,
  stopAnswerMs: STOP_ANSWER_MS,
  stopQuietMs: 400,
  cancelLeadShare: 0,
};

/** The bounds of a node with these settings. */
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
  };
}

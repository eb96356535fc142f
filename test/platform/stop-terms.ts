/** What the tests of planned stops share: the bounds of a stop, and requests that outlast it. */
import { DRAIN_TIMEOUT_MS } from './platform-fleet.js';

/** A planned stop is over by then, the end of the process included: 200 ms are kept for it. */
export const STOP_OVER_MS = DRAIN_TIMEOUT_MS - 200;
/** From here on a request at which an endpoint is at work may be ended, in milliseconds. */
export const LAST_SIXTH_MS = 5_000;
/** A route whose requests have more time than a planned stop. */
export const SLOW_ROUTE = {
  kind: 'unsafe',
  timeoutS: 9,
  targetLatencyS: 9,
  maxAttempts: 1,
} as const;
/** An upload that outlasts a planned stop. */
export const UPLOAD = { method: 'POST', deadlineMs: 9_000, body: 'an upload' };

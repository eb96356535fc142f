/** Connections that callers of the soak keep. */
import http from 'node:http';
import { SOAK_TERMS } from './soak-terms.js';

/** Part of the idle time of callers' connections for which one may rest before its caller takes it up again. */
const USABLE_SHARE = 0.8;

/** Keeps connections for as long as callers may take them up; `maxSockets` are open at once. */
export function callerAgent(maxSockets = Infinity): http.Agent {
  const timeout = SOAK_TERMS.idleTimeoutMs * USABLE_SHARE;
  return new http.Agent({ keepAlive: true, maxSockets, timeout });
}

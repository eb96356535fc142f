/**
 * Planned stop of servers: they go on accepting while answers close their connections; when nothing
 * is in flight and nothing has arrived for a while, idle connections and listeners are shut.
 */
import type http from 'node:http';
import csp from 'js-csp';

const POLL_MS = 20;

/** When the servers are drained. */
export interface DrainOptions {
  /** Time without a new request after which the listeners are shut, in milliseconds. */
  readonly quietMs: number;
  /** Time after which requests in flight are cut, in milliseconds. */
  readonly timeoutMs: number;
  readonly lastArrivalAtMs: () => number;
  readonly inFlight: () => number;
  readonly clock: () => number;
}

/** Resolves when nothing is in flight any more, or after the timeout. */
export async function drainServers(
  servers: readonly http.Server[],
  options: DrainOptions,
): Promise<void> {
  await new Promise<void>((resolve) => {
    csp.go(awaitDrained, [options, resolve]);
  });
  for (const server of servers) {
    server.close();
    server.closeIdleConnections();
  }
}

function* awaitDrained(options: DrainOptions, done: () => void): Generator<unknown, void> {
  const startedAtMs = options.clock();
  while (!isDrained(options, startedAtMs)) {
    yield csp.timeout(POLL_MS);
  }
  done();
}

function isDrained(options: DrainOptions, startedAtMs: number): boolean {
  const nowMs = options.clock();
  if (nowMs - startedAtMs >= options.timeoutMs) {
    return true;
  }
  const quietSinceMs = Math.max(startedAtMs, options.lastArrivalAtMs());
  return options.inFlight() === 0 && nowMs - quietSinceMs >= options.quietMs;
}

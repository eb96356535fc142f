/**
 * Planned stop of servers, in phases, so that no request in flight is cut:
 *
 * 1. `accepting`: answers close their connections. Callers that know of the stop go elsewhere.
 * 2. `handing-over`: the listeners are shut, so that callers that go on connecting are refused before
 *    they have sent anything. Open connections are still served, each for one more answer.
 * 3. `drained`: nothing is in flight and nothing has arrived for a while, or the time is over.
 */
import type http from 'node:http';
import { Server as SocketServer } from 'node:net';
import csp from 'js-csp';

const POLL_MS = 20;
/** Connections that are taken from the system before a listener is shut, at most. */
const MAX_ACCEPT_TURNS = 1_000;

/** Bounds of a planned stop, in milliseconds. */
export interface DrainLimits {
  /** Time without a new request after which a phase ends early. */
  readonly quietMs: number;
  /** Time after which the listeners are shut although requests go on arriving. */
  readonly acceptMs: number;
  /** Time after which connections are closed whatever is in flight; requests are given up before. */
  readonly timeoutMs: number;
}

/** What the next phase depends on; times since the stop began, in milliseconds. */
export interface DrainState {
  readonly elapsedMs: number;
  /** Time since the last request arrived, or since the stop began where that is less. */
  readonly quietForMs: number;
  readonly inFlight: number;
}

/** A phase of a planned stop. */
export type DrainPhase = 'accepting' | 'handing-over' | 'drained';

/** What a planned stop needs to know of its servers. */
export interface DrainOptions extends DrainLimits {
  readonly lastArrivalAtMs: () => number;
  readonly inFlight: () => number;
  readonly clock: () => number;
}

/** The phase that a planned stop is in. */
export function drainPhase(state: DrainState, limits: DrainLimits): DrainPhase {
  const isQuiet = state.inFlight === 0 && state.quietForMs >= limits.quietMs;
  if (isQuiet || state.elapsedMs >= limits.timeoutMs) {
    return 'drained';
  }
  return state.elapsedMs >= limits.acceptMs ? 'handing-over' : 'accepting';
}

/** Resolves when nothing is in flight any more, or after the timeout. */
export async function drainServers(
  servers: readonly http.Server[],
  options: DrainOptions,
): Promise<void> {
  await new Promise<void>((resolve) => {
    csp.go(runPhases, [servers, options, resolve]);
  });
  for (const server of servers) {
    server.close();
    server.closeIdleConnections();
  }
}

function* runPhases(
  servers: readonly http.Server[],
  options: DrainOptions,
  done: () => void,
): Generator<unknown, void> {
  const startedAtMs = options.clock();
  let phase = currentPhase(options, startedAtMs);
  while (phase !== 'drained') {
    if (phase === 'handing-over') {
      const shut = csp.chan<true>(csp.buffers.fixed(1));
      void shutListeners(servers).then(() => csp.offer(shut, true));
      yield shut;
    }
    yield csp.timeout(POLL_MS);
    phase = currentPhase(options, startedAtMs);
  }
  done();
}

function currentPhase(options: DrainOptions, startedAtMs: number): DrainPhase {
  const nowMs = options.clock();
  const state = {
    elapsedMs: nowMs - startedAtMs,
    quietForMs: nowMs - Math.max(startedAtMs, options.lastArrivalAtMs()),
    inFlight: options.inFlight(),
  };
  return drainPhase(state, options);
}

/**
 * Shuts listeners alone. `http.Server.close` would close idle connections too, and with them a
 * request that a caller is just sending.
 */
async function shutListeners(servers: readonly http.Server[]): Promise<void> {
  for (const server of servers) {
    if (server.listening) {
      await takeWaitingConnections(server);
      SocketServer.prototype.close.call(server);
    }
  }
}

/**
 * Takes the connections that the system has set up and that wait to be accepted: it would reset them
 * with the listener. At least one is accepted in each whole turn of the event loop while any waits.
 */
async function takeWaitingConnections(server: http.Server): Promise<void> {
  let accepted = 0;
  const count = (): void => {
    accepted += 1;
  };
  server.on('connection', count);
  let acceptedBefore: number;
  let turns = 0;
  await endOfTurn();
  do {
    acceptedBefore = accepted;
    await endOfTurn();
    turns += 1;
  } while (accepted > acceptedBefore && turns < MAX_ACCEPT_TURNS);
  server.off('connection', count);
}

/** Resolves after the event loop has polled; after a second call, it has polled in a whole turn. */
function endOfTurn(): Promise<void> {
  return new Promise(setImmediate);
}

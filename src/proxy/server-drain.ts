/**
 * Carries a planned stop out on servers: looks again and again at what is in flight, gives it to
 * {@link PlannedStop}, and does what that decides.
 */
import type http from 'node:http';
import { Server as SocketServer } from 'node:net';
import csp from 'js-csp';
import type { PlannedStop, StopEffect, StopEvent } from './planned-stop.js';

/** Time between two looks at what is in flight, in milliseconds. */
const POLL_MS = 20;
/** Connections that are taken from the system before a listener is shut, at most. */
const MAX_ACCEPT_TURNS = 1_000;

/** What a planned stop needs to know of its servers, and does beside them. */
export interface DrainOptions {
  readonly stop: PlannedStop;
  readonly lastArrivalAtMs: () => number;
  readonly inFlight: () => number;
  /** Connections that are closed here and not by the other side yet; none when absent. */
  readonly lingering?: () => number;
  readonly clock: () => number;
  /** Gives every request under way its final answer. */
  readonly giveUp: () => void;
  /** Closes connections on which nothing is under way. */
  readonly closeIdle: () => void;
  /** Resolves once connections to peers have sent what they had and are closed. */
  readonly closePeers: () => Promise<void>;
  /** Closes what is still open. */
  readonly closeAll: () => void;
}

/** Resolves when the stop is over: when nothing is in flight any more, or at its bound. */
export function drainServers(
  servers: readonly http.Server[],
  options: DrainOptions,
): Promise<void> {
  return new Promise((resolve) => {
    csp.go(runStop, [servers, options, resolve]);
  });
}

function* runStop(
  servers: readonly http.Server[],
  options: DrainOptions,
  done: () => void,
): Generator<unknown, void> {
  const { stop, clock, inFlight, lastArrivalAtMs, lingering = () => 0 } = options;
  const handle = (event: StopEvent): void => {
    for (const effect of stop.handle(event, clock())) {
      execute(effect, servers, options, handle);
    }
  };
  handle({ type: 'stop' });
  while (stop.state !== 'closed') {
    yield csp.timeout(Math.min(POLL_MS, Math.ceil(stop.msToNextBound(clock()))));
    // Timers run before what waits in the system is read: without this, a stop ends under a request that
    // came while the process was busy.
    yield afterPolling();
    handle({
      type: 'look',
      inFlight: inFlight(),
      lingering: lingering(),
      lastArrivalAtMs: lastArrivalAtMs(),
    });
  }
  done();
}

function execute(
  effect: StopEffect,
  servers: readonly http.Server[],
  options: DrainOptions,
  handle: (event: StopEvent) => void,
): void {
  switch (effect) {
    case 'shut-listeners':
      void shutListeners(servers).then((takenCount) =>
        handle({ type: 'listeners-shut', takenCount }),
      );
      return;
    case 'give-up':
      return options.giveUp();
    case 'close-idle':
      servers.forEach(shutListener);
      return options.closeIdle();
    case 'close-peers':
      void options.closePeers().then(() => handle({ type: 'peers-closed' }));
      return;
    case 'close-all':
      return options.closeAll();
  }
}

/** A channel that gets a value once the event loop has polled in a whole turn. */
function afterPolling(): unknown {
  const polled = csp.chan<true>(csp.buffers.fixed(1));
  void endOfTurn()
    .then(endOfTurn)
    .then(() => csp.offer(polled, true));
  return polled;
}

/**
 * Shuts a listener alone. `http.Server.close` would cut idle connections too, and with them a request that a
 * caller is just sending, or an answer that it has not read yet.
 */
function shutListener(server: http.Server): void {
  if (server.listening) {
    SocketServer.prototype.close.call(server);
  }
}

/** Resolves with the connections that were taken before. */
async function shutListeners(servers: readonly http.Server[]): Promise<number> {
  let takenCount = 0;
  for (const server of servers) {
    if (server.listening) {
      takenCount += await takeWaitingConnections(server);
      shutListener(server);
    }
  }
  return takenCount;
}

/**
 * Takes the connections that the system has set up and that wait to be accepted: it would reset them
 * with the listener. At least one is accepted in each whole turn of the event loop while any waits.
 */
async function takeWaitingConnections(server: http.Server): Promise<number> {
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
  return accepted;
}

/** Resolves after the event loop has polled; after a second call, it has polled in a whole turn. */
function endOfTurn(): Promise<void> {
  return new Promise(setImmediate);
}

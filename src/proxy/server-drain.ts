/**
 * Carries a planned stop out on servers: looks again and again at what is in flight, gives it to
 * {@link PlannedStop}, and does what that decides.
 */
import type http from 'node:http';
import { Server as SocketServer } from 'node:net';
import csp from 'js-csp';
import type { PlannedStop, StopEffect, StopEvent } from './planned-stop.js';
import { SocketPoll } from './socket-poll.js';

/** Time between two looks at what is in flight, in milliseconds. */
const POLL_INTERVAL_MS = 20;
/** Reads of a listener before it is shut, at most, while connections wait there. */
const MAX_ACCEPT_READS = 500;
/** Looks in a row that are given up since the process stood still after its read. */
const MAX_STALE_POLLS = 10;

/** What a planned stop needs to know of its servers, and does beside them. */
export interface DrainOptions {
  readonly stop: PlannedStop;
  /** Longest time for which the signal may have waited for the process, in milliseconds; 0 when absent. */
  readonly signalAgeMs?: number;
  /** How late the process has lately been, in milliseconds; never when absent. */
  readonly eventLoopLagMs?: () => number;
  readonly lastArrivalAtMs: () => number;
  readonly inFlight: () => number;
  /** Connections that are closed here and not by the other side yet; none when absent. */
  readonly lingering?: () => number;
  /** Connections of callers on which nothing is under way and that are not closed yet; none when absent. */
  readonly idle?: () => number;
  readonly clock: () => number;
  /** Gives every request under way its final answer. */
  readonly giveUp: () => void;
  /** Closes connections on which nothing is under way, as long as `mayClose` says so. */
  readonly closeIdle: (mayClose: () => boolean) => void;
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
  onStopped: () => void,
): Generator<unknown, void> {
  const { stop, clock } = options;
  const poll = new SocketPoll(clock);
  const handle = (event: StopEvent): void => {
    for (const effect of stop.handle(event, clock())) {
      execute(effect, { servers, options, poll, handle });
    }
  };
  let stalePolls = 0;
  handle({ type: 'stop', signalAgeMs: options.signalAgeMs ?? 0 });
  while (stop.state !== 'closed') {
    yield csp.timeout(Math.min(POLL_INTERVAL_MS, Math.ceil(stop.msToNextBound(clock()))));
    yield renewalOf(poll);
    const status = readStatus(options);
    if (poll.isCurrent || stalePolls >= MAX_STALE_POLLS) {
      stalePolls = 0;
      handle(status);
    } else {
      stalePolls += 1;
    }
  }
  onStopped();
}

/** What a planned stop goes by, after the event loop has read what waits in the system. */
function readStatus(options: DrainOptions): StopEvent {
  const { inFlight, lingering, idle, lastArrivalAtMs, eventLoopLagMs } = options;
  return {
    type: 'look',
    inFlight: inFlight(),
    lingering: lingering?.() ?? 0,
    idle: idle?.() ?? 0,
    lastArrivalAtMs: lastArrivalAtMs(),
    eventLoopLagMs: eventLoopLagMs?.() ?? 0,
  };
}

/** What the effects of a stop are carried out with. */
interface StopExecution {
  readonly servers: readonly http.Server[];
  readonly options: DrainOptions;
  readonly poll: SocketPoll;
  readonly handle: (event: StopEvent) => void;
}

function execute(effect: StopEffect, { servers, options, poll, handle }: StopExecution): void {
  switch (effect) {
    case 'shut-listeners':
      void shutListeners(servers, poll).then((acceptedCount) =>
        handle({ type: 'listeners-shut', acceptedCount }),
      );
      return;
    case 'give-up':
      return options.giveUp();
    case 'close-idle':
      servers.forEach(shutListener);
      return options.closeIdle(() => poll.isCurrent);
    case 'close-peers':
      void poll
        .renew()
        .then(() => options.closePeers())
        .then(() => handle({ type: 'peers-closed' }));
      return;
    case 'close-all':
      return options.closeAll();
  }
}

/** A channel that gets a value once the event loop has read all sockets. */
function renewalOf(poll: SocketPoll): unknown {
  const polled = csp.chan<true>(csp.buffers.fixed(1));
  void poll.renew().then(() => csp.offer(polled, true));
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
async function shutListeners(servers: readonly http.Server[], poll: SocketPoll): Promise<number> {
  let acceptedCount = 0;
  for (const server of servers) {
    if (server.listening) {
      acceptedCount += await acceptPendingConnections(server, poll);
      shutListener(server);
    }
  }
  return acceptedCount;
}

/**
 * Takes the connections that the system has set up and that wait to be accepted: it would reset them
 * with the listener. At least one is accepted in each whole turn of the event loop while any waits.
 */
async function acceptPendingConnections(server: http.Server, poll: SocketPoll): Promise<number> {
  let accepted = 0;
  const count = (): void => {
    accepted += 1;
  };
  server.on('connection', count);
  let previouslyAccepted: number;
  let reads = 0;
  do {
    previouslyAccepted = accepted;
    await poll.renew();
    reads += 1;
  } while ((accepted > previouslyAccepted || !poll.isCurrent) && reads < MAX_ACCEPT_READS);
  server.off('connection', count);
  return accepted;
}

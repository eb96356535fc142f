/**
 * Executes a planned stop on servers: regularly passes the state of their requests and connections
 * to {@link PlannedStop} and executes its effects.
 */
import type http from 'node:http';
import { Server as SocketServer } from 'node:net';
import csp from 'js-csp';
import type { PlannedStop, StopEffect, StopEvent } from './planned-stop.js';
import { SocketPoll } from './socket-poll.js';

/** Interval between two polls, in milliseconds. */
const POLL_INTERVAL_MS = 20;
/** Maximum number of socket polls before a listener is closed while connections keep arriving. */
const MAX_ACCEPT_READS = 500;
/**
 * Maximum number of consecutive polls that are discarded because the process was suspended after
 * reading its sockets.
 */
const MAX_STALE_POLLS = 10;

/**
 * State that a planned stop depends on, and actions that it performs besides those on its servers.
 */
export interface DrainOptions {
  readonly stop: PlannedStop;
  /** Maximum age of the signal when it is handled, in milliseconds; 0 when absent. */
  readonly signalAgeMs?: number;
  /** Recent event loop lag, in milliseconds; taken as 0 when absent. */
  readonly eventLoopLagMs?: () => number;
  readonly lastArrivalAtMs: () => number;
  readonly inFlight: () => number;
  /** Number of connections that were closed here but not by the other side yet; 0 when absent. */
  readonly lingering?: () => number;
  /** Number of open connections of callers without a request in flight; 0 when absent. */
  readonly idle?: () => number;
  readonly clock: () => number;
  /** Gives every request in flight its final response. */
  readonly giveUp: () => void;
  /** Closes connections without a request in flight for as long as `mayClose` returns true. */
  readonly closeIdle: (mayClose: () => boolean) => void;
  /** Resolves once connections to peers have sent their pending data and are closed. */
  readonly closePeers: () => Promise<void>;
  /** Closes all remaining connections. */
  readonly closeAll: () => void;
}

/** Resolves when the stop is over: when nothing is in flight any more, or at its time limit. */
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

/**
 * Reads the state that a planned stop depends on; to be called after the event loop has read its
 * sockets.
 */
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

/** Context in which the effects of a stop are executed. */
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

/** Returns a channel that receives a value once the event loop has read all sockets. */
function renewalOf(poll: SocketPoll): unknown {
  const polled = csp.chan<true>(csp.buffers.fixed(1));
  void poll.renew().then(() => csp.offer(polled, true));
  return polled;
}

/**
 * Closes only the listener. `http.Server.close` would also close idle connections, and with them a
 * request that a caller is just sending or a response that it has not read yet.
 */
function shutListener(server: http.Server): void {
  if (server.listening) {
    SocketServer.prototype.close.call(server);
  }
}

/** Resolves with the number of connections that were accepted before. */
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
 * Accepts the connections that the operating system has established and that wait to be accepted:
 * it would reset them when the listener is closed. Each full iteration of the event loop accepts at
 * least one while any are waiting.
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

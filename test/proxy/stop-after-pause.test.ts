/** Guards against closing a connection on which a request arrived while the process was suspended. */
import type http from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { CallerConnections } from '../../src/proxy/caller-connections.js';
import { NATIVE_CALLER_PROTOCOL } from '../../src/proxy/caller-protocol.js';
import { createCallerServer } from '../../src/proxy/caller-server.js';
import { PlannedStop } from '../../src/proxy/planned-stop.js';
import { DEFAULT_PROXY_LIMITS } from '../../src/proxy/proxy-limits.js';
import { drainServers } from '../../src/proxy/server-drain.js';
import { LateCaller, type LateResult } from '../support/late-caller.js';

const HOST = '127.0.0.1';
const QUIET_MS = 50;
/** Duration of the suspension in milliseconds, longer than a request may stay unread. */
const PAUSE_MS = 300;
const IDLE_TIMEOUT_MS = 200;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const LIMITS = {
  stopNoticeMs: 0,
  stopQuietMs: QUIET_MS,
  stopAcceptMs: 1_000,
  stopTimeoutMs: 5_000,
  stopAnswerMs: 250,
  stopCloseMs: 200,
};

describe('a connection whose caller sends while the process is suspended', () => {
  let server: http.Server;
  let connections: CallerConnections;
  let inFlight: number;
  let lastArrivalAtMs: number;
  let caller: LateCaller;

  beforeEach(async () => {
    inFlight = 0;
    lastArrivalAtMs = performance.now();
    connections = new CallerConnections();
    server = createCallerServer({
      protocol: NATIVE_CALLER_PROTOCOL,
      limits: DEFAULT_PROXY_LIMITS,
      isStopping: () => false,
      onError: () => undefined,
      connections,
      nextRequestId: () => 'r',
      handle: (_request, response) => {
        inFlight += 1;
        lastArrivalAtMs = performance.now();
        response.onClose(() => (inFlight -= 1));
        const body = { kind: 'held', bytes: Buffer.from('whole') } as const;
        const answer = { status: 200, headers: [], body, contentLength: 5, load: undefined };
        response.answer(answer, 'r', 0, { completed: () => undefined, truncated: () => undefined });
      },
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    caller = await LateCaller.start({ host: HOST, port, first: REQUEST, request: REQUEST });
  });

  afterEach(async () => {
    server.close();
    server.closeAllConnections();
    await caller.close();
  });

  it('is answered if the process is suspended between the check of a stop and its close', async () => {
    const stop = new PlannedStop(LIMITS);
    let result: Promise<LateResult> | undefined;
    const pauseOnce = (): void => {
      const isQuiet = performance.now() - lastArrivalAtMs >= QUIET_MS;
      if (stop.state === 'refusing' && isQuiet && result === undefined) {
        result = caller.sendWhileStill(PAUSE_MS);
      }
    };
    await drainServers([server], {
      stop,
      lastArrivalAtMs: () => lastArrivalAtMs,
      inFlight: () => {
        pauseOnce();
        return inFlight;
      },
      clock: () => performance.now(),
      giveUp: () => undefined,
      closeIdle: (mayClose) => connections.closeIdle(mayClose),
      idle: () => connections.idleCount,
      closePeers: () => Promise.resolve(),
      closeAll: () => server.closeAllConnections(),
    });
    expect((await result)?.text).to.match(/^HTTP\/1.1 200 [^]*whole$/);
  });

  it('is answered if its idle timeout expires during the suspension', async () => {
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    // The keep-alive timeout of a connection is set when its answer is sent.
    const first = caller;
    const { port } = server.address() as AddressInfo;
    caller = await LateCaller.start({ host: HOST, port, first: REQUEST, request: REQUEST });
    await first.close();
    // After this callback, the event loop runs timers before it reads pending data from sockets.
    await new Promise(setImmediate);
    const { text } = await caller.sendWhileStill(IDLE_TIMEOUT_MS * 6);
    expect(text).to.match(/^HTTP\/1.1 200 [^]*whole$/);
  });
});

/** The request path of a node: callers' port, relay port and everything between. */
import type http from 'node:http';
import type { Channel } from 'js-csp';
import type { CallerLimits, Snapshot } from '../model/snapshot.js';
import { RouteTableCache, type RouteMatch } from '../routing/route-table.js';
import { MAX_CLAIMED_REQUEST_MS } from '../claims/claim-terms.js';
import type { AwaitedMachine } from './awaited-attempts.js';
import { HeldBytes, receiveBody } from './body-receiver.js';
import { NATIVE_CALLER_PROTOCOL, type CallerProtocol } from './caller-protocol.js';
import { createCallerServer, type CallerRequest, type CallerResponse } from './caller-server.js';
import { CallMeter } from './call-meter.js';
import { startWhenClaimed } from './claim-gate.js';
import { EndpointClient } from './endpoint-client.js';
import { NATIVE_ENDPOINT_PROTOCOL, type EndpointProtocol } from './endpoint-protocol.js';
import { reportEndpointStates, type EndpointStateReport } from './endpoint-states.js';
import { EndpointGateway, startUpkeep } from './endpoint-gateway.js';
import { PAUSE_CHECK_INTERVAL_MS, PauseDetector } from './pause-detector.js';
import { DEFAULT_PROXY_LIMITS, type ProxyLimits } from './proxy-limits.js';
import { RelayClient } from './relay/relay-client.js';
import type { LinkSilence } from './relay/relay-link.js';
import { RelayServer } from './relay/relay-server.js';
import { RelayTokenIssuer, verifyRelayToken } from './relay/relay-token.js';
import {
  DeadlinePassedError,
  InternalError,
  NodeStoppingError,
  NotConfiguredError,
  OverloadedError,
  RequestError,
  RouteNotFoundError,
} from './request-error.js';
import { ATTEMPT_SEPARATOR, NO_REQUEST_LOG } from './request-log.js';
import type { CallerReply } from './request-context.js';
import type { RequestProxy, RequestProxyOptions } from './request-path.js';
import { RequestRunner } from './request-runner.js';
import { RequestServices } from './request-services.js';
import { MACHINE_TIME } from './scheduler.js';
import type { ClaimedAttempt } from './idempotency-claims.js';
import { withCredential } from './route-credential.js';
import { drainServers } from './server-drain.js';
import { deadlineWithin, NO_STOP, stopTimes } from './stop-times.js';

const NOT_CONFIGURED_RETRY_MS = 1_000;
/** When to come back to a node that is about to stop; callers are sent to another one by then. */
const STOPPING_RETRY_MS = 50;
/** Idle connections of callers are kept this much longer than the configuration says. */
const IDLE_MARGIN = 1.25;
const IDLE_MARGIN_MS = 1_000;
/** A delay of the event loop that is told in the log, in milliseconds: half of a usual target. */
const LOGGED_LOOP_DELAY_MS = 100;
/** Stands for the sender of a relayed request that proves no identity. */
const UNNAMED_PEER = 'peer';

/** Makes the request path of a node. */
export function createRequestProxy(options: RequestProxyOptions): RequestProxy {
  return new NodeRequestProxy(options);
}

/** A request that has found its route. */
interface RoutedRequest {
  readonly request: CallerRequest;
  readonly snapshot: Snapshot;
  readonly match: RouteMatch;
  readonly requestId: string;
  readonly attemptPrefix: string;
  readonly deadlineAtMs: number;
}

class NodeRequestProxy implements RequestProxy {
  readonly callerServer: http.Server;
  private readonly relay: RelayServer;
  private readonly limits: ProxyLimits;
  private readonly callerProtocol: CallerProtocol;
  private readonly endpointProtocol: EndpointProtocol;
  private readonly services: RequestServices;
  private readonly gateway: EndpointGateway;
  private readonly upkeep: Channel<boolean>;
  private readonly endpointClient: EndpointClient;
  private readonly relayClient: RelayClient;
  private readonly routeTables = new RouteTableCache();
  private readonly heldBytes: HeldBytes;
  private readonly pauses: PauseDetector;
  private readonly pauseTimer: NodeJS.Timeout;
  private requestCount = 0;
  private readonly meter = new CallMeter(() => MACHINE_TIME.now());
  private isStopping = false;
  private stopTimes = NO_STOP;
  /** Callers' requests under way. */
  private readonly runners = new Set<RequestRunner>();
  private isAborted = false;

  constructor(private readonly options: RequestProxyOptions) {
    this.limits = { ...DEFAULT_PROXY_LIMITS, ...options.limits };
    this.heldBytes = new HeldBytes(this.limits.maxHeldBytes);
    const { callerProtocol, endpointProtocol } = options;
    this.callerProtocol = callerProtocol ?? NATIVE_CALLER_PROTOCOL;
    this.endpointProtocol = endpointProtocol ?? NATIVE_ENDPOINT_PROTOCOL;
    this.endpointClient = new EndpointClient(this.limits, this.endpointProtocol);
    this.relayClient = this.makeRelayClient();
    this.gateway = new EndpointGateway({
      client: this.endpointClient,
      counters: options.counters,
      scheduler: MACHINE_TIME,
      logStateChange: options.logStateChange,
      requestLog: options.requestLog ?? NO_REQUEST_LOG,
      ...(options.onEndpointMs && { onEndpointMs: options.onEndpointMs }),
      maxQueuedPerEndpoint: this.limits.maxQueuedPerEndpoint,
      maxQueuedPerSlot: this.limits.maxQueuedPerSlot,
      cancelLead: {
        cancelLeadShare: this.limits.cancelLeadShare,
        maxCancelLeadMs: this.limits.maxCancelLeadMs,
        slotFreedAfterCloseMs: this.endpointProtocol.slotFreedAfterCloseMs,
      },
      snapshot: () => options.snapshots.current(),
      slotsFor: (endpoint) => this.services.slotsFor(endpoint),
    });
    this.upkeep = startUpkeep(this.gateway);
    this.services = new RequestServices({
      ...options,
      requestLog: options.requestLog ?? NO_REQUEST_LOG,
      limits: this.limits,
      isStopping: () => this.isStopping,
      scheduler: MACHINE_TIME,
      direct: this.gateway,
      relay: this.relayClient,
    });
    this.pauses = new PauseDetector(MACHINE_TIME.now(), (ms) => this.takeLoopDelay(ms));
    this.pauseTimer = setInterval(() => this.tick(), PAUSE_CHECK_INTERVAL_MS);
    this.callerServer = this.makeCallerServer();
    this.relay = this.makeRelayServer();
  }

  get relayServer(): http.Server {
    return this.relay.http;
  }

  endpointStates(): EndpointStateReport[] {
    const snapshot = this.options.snapshots.current();
    if (snapshot === undefined) {
      return [];
    }
    const { members } = this.options;
    return reportEndpointStates(snapshot, {
      sightOf: (endpoint) => this.services.selector.sightOf(endpoint, MACHINE_TIME.now()),
      isLeaving: ({ spec }) =>
        spec.machine !== undefined && members.status(spec.machine) === 'leaving',
      isReachable: (endpoint) => this.services.pathTo(endpoint) !== undefined,
      waitingFor: (endpoint) => this.gateway.waitingFor(endpoint),
    });
  }

  /**
   * Idle connections are kept for longer than callers may use them, so that none is closed under a
   * request; one that has sent nothing yet counts as idle.
   */
  applyCallerLimits(limits: CallerLimits | undefined): void {
    if (limits !== undefined) {
      const keptMs = limits.idleTimeoutMs * IDLE_MARGIN + IDLE_MARGIN_MS;
      this.callerServer.keepAliveTimeout = Math.max(this.callerServer.keepAliveTimeout, keptMs);
      this.callerServer.headersTimeout = Math.max(limits.headerTimeoutMs, keptMs);
    }
  }

  awaitedMachines(): Iterable<AwaitedMachine> {
    return this.services.awaited.machines();
  }

  machineIsSilent(machineId: string): void {
    const address = this.options.members.relayAddress(machineId);
    if (address !== undefined) {
      this.relayClient.forget(address);
    }
    this.services.awaited.machineIsSilent(machineId);
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    const startedAtMs = MACHINE_TIME.now();
    this.stopTimes = stopTimes(startedAtMs, this.limits);
    let givenUp = 0;
    const cancelGiveUp = MACHINE_TIME.schedule(this.limits.stopTimeoutMs, () => {
      givenUp = this.giveUpAll();
    });
    this.options.logStateChange('request-path', `stopping with ${this.meter.inFlight} in flight`);
    await drainServers([this.callerServer, this.relayServer], {
      quietMs: this.limits.stopQuietMs,
      acceptMs: this.limits.stopAcceptMs,
      timeoutMs: this.stopTimes.closesAtMs - startedAtMs,
      lastArrivalAtMs: () => this.meter.lastArrivalAtMs,
      inFlight: () => this.meter.inFlight,
      clock: () => MACHINE_TIME.now(),
    });
    cancelGiveUp();
    // A caller that was connected and had sent nothing yet may still send: nobody would wait for its answer.
    this.stopTimes = { ...this.stopTimes, refusesFromMs: MACHINE_TIME.now() };
    const outcome = `drained to ${this.meter.inFlight} in flight, ${givenUp} given up`;
    this.options.logStateChange('request-path', outcome);
    await this.relay.close();
    this.abort();
  }

  abort(): void {
    if (this.isAborted) {
      return;
    }
    this.isAborted = true;
    this.isStopping = true;
    for (const server of [this.callerServer, this.relayServer]) {
      server.close();
      server.closeAllConnections();
    }
    this.relay.destroy();
    clearInterval(this.pauseTimer);
    this.upkeep.close();
    this.endpointClient.close();
    this.relayClient.close();
    this.options.logStateChange('request-path', 'stopped');
  }

  /**
   * Gives every request under way its final answer while there is time for it to go out: closed
   * connections would leave callers and peers without one. Returns how many there were.
   */
  private giveUpAll(): number {
    const callers = [...this.runners].filter((runner) => runner.giveUp()).length;
    const givenUp = callers + this.relay.giveUp();
    this.options.counters.add('ferryspool_requests_given_up_total', givenUp);
    return givenUp;
  }

  private tick(): void {
    this.pauses.tick(MACHINE_TIME.now());
    this.relayClient.look();
    this.relay.look();
  }

  private takeRelaySilence(where: string, { awaitedCount, quietMs }: LinkSilence): void {
    this.options.counters.add('ferryspool_relay_silent_total');
    const detail = `${where}: ${awaitedCount} requests, nothing heard for ${Math.round(quietMs)} ms`;
    this.options.logStateChange('relay-silent', detail);
  }

  private makeRelayClient(): RelayClient {
    const { members, fleetKey, identity } = this.options;
    const tokens = fleetKey && new RelayTokenIssuer(fleetKey, identity.id);
    return new RelayClient({
      connectTimeoutMs: this.limits.connectTimeoutMs,
      scheduler: MACHINE_TIME,
      token: () => tokens?.current(Date.now()),
      onConnect: ({ address }, connectMs, isOpen) => {
        this.options.onRelayConnectMs?.(connectMs);
        if (!isOpen) {
          const detail = `${address} after ${Math.round(connectMs)} ms`;
          this.options.logStateChange('relay-not-connected', detail);
        }
      },
      onSilence: ({ address }, silence) => this.takeRelaySilence(`to ${address}`, silence),
      addressOf: ({ spec }) =>
        spec.machine === undefined ? undefined : members.relayAddress(spec.machine),
    });
  }

  private makeCallerServer(): http.Server {
    return createCallerServer({
      protocol: this.callerProtocol,
      limits: this.limits,
      isStopping: () => this.isStopping,
      nextRequestId: () => this.nextRequestId(),
      onError: (code) => {
        this.options.counters.add(`ferryspool_request_errors_${code.toLowerCase()}_total`);
      },
      handle: (request, response) => this.handle(request, response),
    });
  }

  private makeRelayServer(): RelayServer {
    return new RelayServer({
      machineId: this.options.identity.id,
      limits: this.limits,
      counters: this.options.counters,
      scheduler: MACHINE_TIME,
      verifyToken: (token) => this.verifyToken(token),
      snapshot: () => this.options.snapshots.current(),
      endpoints: this.gateway,
      hasJustWoken: () => this.pauses.hasJustWoken(MACHINE_TIME.now()),
      isStopping: () => this.isStopping,
      refusesNewWork: () => this.refusesNewWork(),
      deadlineWithin: (deadlineAtMs) => deadlineWithin(deadlineAtMs, this.stopTimes),
      requestLog: this.options.requestLog ?? NO_REQUEST_LOG,
      onSilence: (from, silence) => this.takeRelaySilence(`from ${from}`, silence),
      began: () => this.meter.begin(),
      onTravelLostMs: this.options.onTravelLostMs,
      onBodyMs: this.options.onBodyMs,
    });
  }

  private takeLoopDelay(delayMs: number): void {
    this.options.onLoopDelayMs?.(delayMs);
    if (delayMs >= LOGGED_LOOP_DELAY_MS) {
      this.options.logStateChange('event-loop-late', `${Math.round(delayMs)} ms`);
    }
  }

  private refusesNewWork(): boolean {
    return MACHINE_TIME.now() >= this.stopTimes.refusesFromMs;
  }

  /** The sender of a relayed request; any sender is taken where the fleet has no key. */
  private verifyToken(token: string | undefined): string | undefined {
    const { fleetKey } = this.options;
    return fleetKey === undefined ? UNNAMED_PEER : verifyRelayToken(fleetKey, token, Date.now());
  }

  private handle(request: CallerRequest, response: CallerResponse): void {
    const ownId = this.nextRequestId();
    const requestId = request.requestId ?? ownId;
    const isNamedByCaller = request.requestId !== undefined;
    const attemptPrefix = isNamedByCaller ? `${requestId}${ATTEMPT_SEPARATOR}${ownId}` : ownId;
    this.options.counters.add('ferryspool_requests_total');
    const isFull = this.meter.inFlight >= this.limits.maxCallsInFlight;
    const exchange = { once: (_event: 'close', end: () => void) => response.onClose(end) };
    this.meter.count(exchange, this.options.onRequestMs);
    try {
      if (this.refusesNewWork()) {
        throw new NodeStoppingError('the node is about to stop', STOPPING_RETRY_MS);
      }
      if (isFull) {
        throw new OverloadedError('the node has too many requests in flight');
      }
      this.run(request, response, requestId, attemptPrefix);
    } catch (error) {
      const refusal = this.asRequestError(error);
      const { code, verdict } = refusal;
      this.options.requestLog?.record({
        event: 'request-failed',
        request: requestId,
        code,
        verdict,
      });
      response.fail(refusal, refusal.verdict, requestId);
    }
  }

  private run(
    request: CallerRequest,
    response: CallerResponse,
    requestId: string,
    attemptPrefix: string,
  ): void {
    const snapshot = this.options.snapshots.current();
    if (snapshot === undefined) {
      throw new NotConfiguredError('the node holds no configuration', NOT_CONFIGURED_RETRY_MS);
    }
    const match = this.routeTables
      .tableOf(snapshot)
      .match(request.host, request.path, request.method, (route) =>
        this.services.targets.next(route),
      );
    if (match === undefined) {
      throw new RouteNotFoundError('no route matches the request');
    }
    const attempt = this.attemptToClaim(request, match, attemptPrefix);
    const ownDeadlineAtMs = MACHINE_TIME.now() + timeLeftMs(request, match, attempt !== undefined);
    const deadlineAtMs = deadlineWithin(ownDeadlineAtMs, this.stopTimes);
    const start = (reply: CallerReply): void => {
      this.start({ request, snapshot, match, requestId, attemptPrefix, deadlineAtMs }, reply);
    };
    if (attempt === undefined || this.options.claims === undefined) {
      start(response);
    } else {
      void startWhenClaimed(this.options.claims, attempt, response, start);
    }
  }

  /** What has to be claimed before the request may be sent on; undefined when nothing has to be. */
  private attemptToClaim(
    request: CallerRequest,
    match: RouteMatch,
    requestId: string,
  ): ClaimedAttempt | undefined {
    const { idempotencyKey: key } = request;
    const isClaimed = key !== undefined && !match.repeatable && this.options.claims !== undefined;
    return isClaimed ? { service: match.service, key, attempt: requestId } : undefined;
  }

  private start(routed: RoutedRequest, response: CallerReply): void {
    const { request, snapshot, match, requestId, attemptPrefix, deadlineAtMs } = routed;
    const runner = new RequestRunner({
      services: this.services,
      snapshot,
      match,
      method: request.method,
      target: request.target,
      retries: request.retries,
      response,
      headers: withCredential(request.headers, match, snapshot),
      requestId,
      attemptPrefix,
      deadlineAtMs,
    });
    this.runners.add(runner);
    response.onClose(() => this.runners.delete(runner));
    if (MACHINE_TIME.now() >= this.stopTimes.givesUpAtMs) {
      runner.giveUp();
      return;
    }
    const { maxBodyBytes = this.limits.maxBodyBytes } = snapshot.callerLimits ?? {};
    this.startWithBody(runner, request, response, { ...this.limits, maxBodyBytes });
  }

  private startWithBody(
    runner: RequestRunner,
    request: CallerRequest,
    response: CallerReply,
    limits: ProxyLimits,
  ): void {
    try {
      const release = receiveBody(request.message, limits, this.heldBytes, (body) =>
        runner.start(body),
      );
      response.onClose(release);
    } catch (error) {
      runner.refuse(this.asRequestError(error));
    }
  }

  private asRequestError(error: unknown): RequestError {
    if (error instanceof RequestError) {
      return error;
    }
    this.options.logStateChange(
      'request-fault',
      error instanceof Error ? error.message : 'unknown',
    );
    return new InternalError('the node failed');
  }

  private nextRequestId(): string {
    this.requestCount += 1;
    const { id, incarnation } = this.options.identity;
    return `${id}-${incarnation.toString(36)}-${this.requestCount.toString(36)}`;
  }
}

/** Time for the request from now on, in milliseconds; throws when none is left. */
function timeLeftMs(request: CallerRequest, match: RouteMatch, isClaimed: boolean): number {
  const mostMs = isClaimed ? MAX_CLAIMED_REQUEST_MS : Infinity;
  const timeoutMs = Math.min(match.timeoutMs, request.timeoutMs ?? Infinity, mostMs);
  if (timeoutMs <= 0) {
    throw new DeadlinePassedError('the deadline has passed');
  }
  return timeoutMs;
}

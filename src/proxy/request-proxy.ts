/** The request path of a node: the caller port, the relay port, and everything in between. */
import type http from 'node:http';
import { PERIODIC_CHECKS, type StopAction } from '../clock/shared-interval.js';
import { NO_CONTAINMENT } from '../containment/containment.js';
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { CallerLimits } from '../model/snapshot.js';
import type { AwaitedMachine } from './awaited-attempts.js';
import { LINGER_MS } from './lingering-close.js';
import { NATIVE_CALLER_PROTOCOL, type CallerProtocol } from './caller-protocol.js';
import { recordAnswerOverhead, recordUnusableHead } from './answer-fault-record.js';
import { ShutdownBuffering } from './answer-collection.js';
import { BodyBufferBudget } from './body-receiver.js';
import { CallerConnections } from './caller-connections.js';
import { createCallerServer } from './caller-server.js';
import { CallMeter } from './call-meter.js';
import type { ConnectionEnd } from './connection-end.js';
import { EndpointClient } from './endpoint-client.js';
import { NATIVE_ENDPOINT_PROTOCOL, type EndpointProtocol } from './endpoint-protocol.js';
import {
  reportEndpointStates,
  type EndpointStateReport,
  type RateLimitReport,
} from './endpoint-states.js';
import { EndpointGateway } from './endpoint-gateway.js';
import { EndpointStatements } from '../routing/endpoint-statements.js';
import type { FreeSlotAnnouncement } from '../routing/free-slot-announcements.js';
import { InputBarrier } from './input-barrier.js';
import { EventLoopLag } from './loop-lateness.js';
import { PauseDetector } from './pause-detector.js';
import { DEFAULT_PROXY_LIMITS, type ProxyLimits } from './proxy-limits.js';
import { RelayClient } from './relay/relay-client.js';
import type { UnresponsiveConnection } from './relay/relay-link.js';
import { RELAY_CLOSE_TIMEOUT_MS, RelayServer } from './relay/relay-server.js';
import { RelayTokenIssuer, verifyRelayToken } from './relay/relay-token.js';
import { NO_REQUEST_LOG } from './request-log.js';
import { PlannedStop } from './planned-stop.js';
import { RequestIntake } from './request-intake.js';
import type { RequestProxy, RequestProxyOptions } from './request-path.js';
import { RequestServices, type MemberDirectory } from './request-services.js';
import { MACHINE_TIME } from './scheduler.js';
import { drainServers } from './server-drain.js';

/** Idle connections of callers are kept open longer than configured, by this factor and this constant. */
const IDLE_MARGIN_FACTOR = 1.25;
const IDLE_MARGIN_MS = 1_000;
/** Minimum event-loop lag that is logged, in milliseconds: half of a usual target latency. */
const MIN_LOGGED_EVENT_LOOP_LAG_MS = 100;
/** Upper bound for the age of a stop signal, in milliseconds; an older one arrived while the process was frozen. */
const MAX_SIGNAL_AGE_MS = 1_500;
/** Memory for answers that stopping peers may send regardless of how fast callers read them, in bytes. */
const MAX_EXTENDED_WINDOW_BYTES = 16 * 1024 * 1024;
/** Sender of a relayed request if the fleet has no key to authenticate it with. */
const ANONYMOUS_PEER = 'peer';

export function createRequestProxy(options: RequestProxyOptions): RequestProxy {
  return new NodeRequestProxy(options);
}

class NodeRequestProxy implements RequestProxy {
  readonly callerServer: http.Server;
  private readonly callerConnections = new CallerConnections((end) =>
    this.recordConnectionEnd(end),
  );
  private readonly shutdownBuffering: ShutdownBuffering;
  private readonly relay: RelayServer;
  private readonly limits: ProxyLimits;
  private readonly callerProtocol: CallerProtocol;
  private readonly endpointProtocol: EndpointProtocol;
  private readonly services: RequestServices;
  private readonly gateway: EndpointGateway;
  private readonly endpointClient: EndpointClient;
  private readonly statements = new EndpointStatements();
  private readonly relayClient: RelayClient;
  private readonly pauseDetector: PauseDetector;
  private readonly eventLoopLag = new EventLoopLag();
  private readonly inputBarrier = new InputBarrier(() => MACHINE_TIME.now());
  private readonly stopTicking: StopAction;
  private readonly meter = new CallMeter(() => MACHINE_TIME.now());
  private readonly plannedStop: PlannedStop;
  private readonly intake: RequestIntake;
  private isAborted = false;
  /** Longest keep-alive time required by any configuration so far, in milliseconds. */
  private longestKeepAliveMs = 0;

  constructor(private readonly options: RequestProxyOptions) {
    this.limits = { ...DEFAULT_PROXY_LIMITS, ...options.limits };
    this.shutdownBuffering = new ShutdownBuffering(this.limits.maxHeldBytes);
    this.plannedStop = new PlannedStop({
      ...this.limits,
      stopCloseMs: RELAY_CLOSE_TIMEOUT_MS,
      stopLingerMs: LINGER_MS,
    });
    const { callerProtocol, endpointProtocol, containment = NO_CONTAINMENT } = options;
    this.callerProtocol = callerProtocol ?? NATIVE_CALLER_PROTOCOL;
    this.endpointProtocol = endpointProtocol ?? NATIVE_ENDPOINT_PROTOCOL;
    this.endpointClient = new EndpointClient(this.limits, this.endpointProtocol, {
      beforeSend: (send) => this.inputBarrier.pass(send),
      onOverhead: (endpoint, fault) => recordAnswerOverhead(options, endpoint, fault),
      onUnusableHead: (endpoint, fault) => recordUnusableHead(options, endpoint, fault),
    });
    this.relayClient = this.makeRelayClient();
    this.gateway = new EndpointGateway({
      client: this.endpointClient,
      counters: options.counters,
      scheduler: MACHINE_TIME,
      containment,
      statements: this.statements,
      logStateChange: options.logStateChange,
      requestLog: options.requestLog ?? NO_REQUEST_LOG,
      ...(options.onEndpointMs && { onEndpointMs: options.onEndpointMs }),
      ...(options.onSendDelayMs && { onSendDelayMs: options.onSendDelayMs }),
      maxQueuedPerEndpoint: this.limits.maxQueuedPerEndpoint,
      maxQueuedPerSlot: this.limits.maxQueuedPerSlot,
      keepsHeadroom: this.limits.keepsHeadroom,
      cancelLead: {
        cancelLeadShare: this.limits.cancelLeadShare,
        maxCancelLeadMs: this.limits.maxCancelLeadMs,
        slotFreedAfterCloseMs: this.endpointProtocol.slotFreedAfterCloseMs,
      },
      eventLoopLagMs: () => this.eventLoopLag.recentMaxMs(MACHINE_TIME.now()),
      snapshot: () => options.snapshots.current(),
      announcements: {
        machineId: options.identity.id,
        maxPerS: this.limits.maxSlotAnnouncementsPerS,
        random: options.random,
        counters: options.counters,
        isStopping: () => this.plannedStop.isStopping,
        announceHere: (announcement) => this.receiveAnnouncement(announcement),
      },
      isStopping: () => this.plannedStop.isStopping,
      slotsFor: (endpoint) => this.services.slotsFor(endpoint),
      coldShareFor: (endpoint) => this.services.coldShareFor(endpoint),
      rateShareFor: (endpoint) => this.services.rateShareFor(endpoint),
    });
    this.services = new RequestServices({
      ...options,
      containment,
      requestLog: options.requestLog ?? NO_REQUEST_LOG,
      limits: this.limits,
      statements: this.statements,
      isStopping: () => this.plannedStop.isStopping,
      maxUnreadMs: () => this.inputBarrier.maxUnreadMs,
      whenInputRead: (action) => this.inputBarrier.pass(action),
      scheduler: MACHINE_TIME,
      direct: this.gateway,
      relay: this.relayClient,
    });
    this.intake = new RequestIntake({
      node: options,
      limits: this.limits,
      services: this.services,
      meter: this.meter,
      stop: this.plannedStop,
    });
    this.pauseDetector = new PauseDetector(MACHINE_TIME.now(), (ms) => this.recordEventLoopLag(ms));
    this.stopTicking = PERIODIC_CHECKS.add(() => this.tick());
    this.callerServer = this.makeCallerServer();
    this.relay = this.makeRelayServer();
    for (const server of [this.callerServer, this.relayServer]) {
      server.on('connection', () => this.inputBarrier.connectionAccepted());
    }
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
      observationOf: (endpoint) =>
        this.services.selector.observationOf(endpoint, MACHINE_TIME.now()),
      isLeaving: (endpoint) =>
        this.statements.of(endpoint).isLeaving || isOnLeavingMachine(endpoint, members),
      isReachable: (endpoint) => this.services.pathTo(endpoint) !== undefined,
      waitingFor: (endpoint) => this.gateway.waitingFor(endpoint),
      rateLimitOf: (endpoint) => this.rateLimitOf(endpoint),
    });
  }

  private rateLimitOf(endpoint: Endpoint): RateLimitReport | undefined {
    const maxRatePerS = this.services.rateLimitOf(endpoint);
    return maxRatePerS === undefined
      ? undefined
      : { maxRatePerS, ...this.gateway.rateLimitUseOf(endpoint) };
  }

  /**
   * Idle connections are kept open for longer than callers may reuse them, so that none is closed while a request
   * arrives on it; a connection that has sent nothing yet counts as idle. A later configuration can't shorten the
   * time, since callers may not know it yet. The default before the first configuration is ignored, because
   * connections whose peers have vanished would be kept for that long.
   */
  applyCallerLimits(limits: CallerLimits | undefined): void {
    if (limits !== undefined) {
      const keepAliveMs = limits.idleTimeoutMs * IDLE_MARGIN_FACTOR + IDLE_MARGIN_MS;
      this.longestKeepAliveMs = Math.max(this.longestKeepAliveMs, keepAliveMs);
      this.callerServer.keepAliveTimeout = this.longestKeepAliveMs;
      this.callerServer.headersTimeout = Math.max(limits.headerTimeoutMs, keepAliveMs);
    }
  }

  coldEndpointCount(): number {
    return this.gateway.coldCount;
  }

  headroomSlotCount(): number {
    return this.gateway.headroomSlots;
  }

  leavingEndpointCount(): number {
    return this.countEndpoints((endpoint) => this.statements.of(endpoint).isLeaving);
  }

  limitedEndpointCount(): number {
    return this.countEndpoints((endpoint) => this.statements.of(endpoint).isLimited);
  }

  waitingRequestCount(): number {
    return this.services.waiting.size;
  }

  /** Number of listed endpoints that match. */
  private countEndpoints(matches: (endpoint: Endpoint) => boolean): number {
    const snapshot = this.options.snapshots.current();
    const endpoints = [...(snapshot?.endpointsByService.values() ?? [])].flat();
    return endpoints.filter(matches).length;
  }

  applyEndpoints(): void {
    this.gateway.configureLocal(this.ownEndpoints());
  }

  private *ownEndpoints(): IterableIterator<Endpoint> {
    const { identity, snapshots } = this.options;
    for (const endpoints of snapshots.current()?.endpointsByService.values() ?? []) {
      for (const endpoint of endpoints) {
        if (endpoint.spec.machine === identity.id) {
          yield endpoint;
        }
      }
    }
  }

  awaitedMachines(): Iterable<AwaitedMachine> {
    return this.services.awaited.machines();
  }

  machineUnresponsive(machineId: string): void {
    const address = this.options.members.relayAddress(machineId);
    if (address !== undefined) {
      this.relayClient.retireConnection(address);
    }
    this.services.awaited.machineUnresponsive(machineId);
  }

  async stop(): Promise<void> {
    const { logStateChange } = this.options;
    let givenUp = 0;
    const signalAgeMs = Math.min(
      this.pauseDetector.signalAgeMs(MACHINE_TIME.now()),
      MAX_SIGNAL_AGE_MS,
    );
    this.shutdownBuffering.begin();
    const signalDelay = `signal sent at most ${Math.round(signalAgeMs)} ms ago`;
    logStateChange(
      'request-path',
      `stopping with ${this.meter.inFlight} in flight, ${signalDelay}`,
    );
    const drained = drainServers([this.callerServer, this.relayServer], {
      stop: this.plannedStop,
      signalAgeMs,
      eventLoopLagMs: () => this.eventLoopLag.recentMaxMs(MACHINE_TIME.now()),
      lastArrivalAtMs: () => this.meter.lastArrivalAtMs,
      inFlight: () => this.meter.inFlight + this.relay.unstartedCount,
      lingering: () => this.callerConnections.lingeringCount,
      idle: () => this.callerConnections.idleCount,
      clock: () => MACHINE_TIME.now(),
      giveUp: () => {
        givenUp = this.giveUpAll();
      },
      closeIdle: (mayClose) => {
        this.callerConnections.closeIdle(mayClose);
        this.relayServer.closeIdleConnections();
      },
      closePeers: () => {
        const outcome = `drained to ${this.meter.inFlight} in flight, ${givenUp} given up`;
        logStateChange('request-path', outcome);
        return this.relay.close();
      },
      closeAll: () => this.abort(),
    });
    this.refuseWaiting();
    await drained;
  }

  /** Callers whose requests wait for a slot can be served by another node in time. */
  private refuseWaiting(): void {
    const count = this.services.waiting.refuseAll();
    if (count > 0) {
      this.options.logStateChange(
        'request-path',
        `refused ${count} requests that waited for slots`,
      );
    }
  }

  abort(): void {
    if (this.isAborted) {
      return;
    }
    this.isAborted = true;
    this.callerConnections.recordEndReasonForAll('stop-bound');
    this.plannedStop.handle({ type: 'abort' }, MACHINE_TIME.now());
    for (const server of [this.callerServer, this.relayServer]) {
      server.close();
      server.closeAllConnections();
    }
    this.relay.destroy();
    this.stopTicking();
    this.endpointClient.close();
    this.relayClient.close();
    this.options.logStateChange('request-path', 'stopped');
  }

  private giveUpAll(): number {
    const { inFlight } = this.meter;
    const givenUp = this.intake.giveUp() + this.relay.giveUp();
    this.options.logStateChange('request-path', `gave up ${givenUp} of ${inFlight} in flight`);
    this.options.counters.add('ferryspool_requests_given_up_total', givenUp);
    return givenUp;
  }

  private tick(): void {
    this.inputBarrier.check();
    this.pauseDetector.tick(MACHINE_TIME.now());
    this.relayClient.checkLiveness();
    this.relay.checkLiveness();
    this.gateway.tick();
  }

  private reportUnresponsiveRelay(
    where: string,
    { awaitedCount, quietMs }: UnresponsiveConnection,
  ): void {
    this.options.counters.add('ferryspool_relay_silent_total');
    const detail = `${where}: ${awaitedCount} requests, no data received for ${Math.round(quietMs)} ms`;
    this.options.logStateChange('relay-silent', detail);
  }

  private makeRelayClient(): RelayClient {
    const { members, fleetKey, identity } = this.options;
    const tokens = fleetKey && new RelayTokenIssuer(fleetKey, identity.id);
    return new RelayClient({
      connectTimeoutMs: this.limits.connectTimeoutMs,
      scheduler: MACHINE_TIME,
      beforeSend: (send) => this.inputBarrier.pass(send),
      windowBudget: new BodyBufferBudget(MAX_EXTENDED_WINDOW_BYTES),
      token: () => tokens?.current(Date.now()),
      onConnect: ({ address }, connectMs, isOpen) => {
        this.options.onRelayConnectMs?.(connectMs);
        if (!isOpen) {
          const detail = `${address} after ${Math.round(connectMs)} ms`;
          this.options.logStateChange('relay-not-connected', detail);
        }
      },
      onUnresponsive: ({ address }, connection) =>
        this.reportUnresponsiveRelay(`to ${address}`, connection),
      onFreeSlots: (announcement) => this.receiveAnnouncement(announcement),
      isListed: (endpoint) => this.isListed(endpoint),
      onSlotOffer: (offer) => this.services.useOffer(offer),
      addressOf: ({ spec }) =>
        spec.machine === undefined ? undefined : members.relayAddress(spec.machine),
    });
  }

  private receiveAnnouncement(announcement: FreeSlotAnnouncement): void {
    this.services.selector.slotsAnnounced(announcement, MACHINE_TIME.now());
  }

  private isListed(endpoint: Endpoint): boolean {
    const { endpointsByService } = this.options.snapshots.current() ?? {};
    const listed = endpointsByService?.get(endpoint.spec.service) ?? [];
    return listed.some((candidate) => incarnationOf(candidate) === incarnationOf(endpoint));
  }

  private makeCallerServer(): http.Server {
    return createCallerServer({
      protocol: this.callerProtocol,
      limits: this.limits,
      isStopping: () => this.plannedStop.isStopping,
      nextRequestId: () => this.intake.nextRequestId(),
      onError: (code) => {
        this.options.counters.add(`ferryspool_request_errors_${code.toLowerCase()}_total`);
      },
      connections: this.callerConnections,
      shutdownBuffering: this.shutdownBuffering,
      handle: (request, response) => this.intake.handle(request, response),
    });
  }

  private recordConnectionEnd({ reason, cutCount, unsentBytes }: ConnectionEnd): void {
    const name = reason.replaceAll('-', '_');
    this.options.counters.add(`ferryspool_caller_connections_ended_${name}_total`);
    if (cutCount > 0) {
      this.options.counters.add(`ferryspool_requests_cut_${name}_total`, cutCount);
    }
    if (cutCount > 0 && reason !== 'caller') {
      const detail = `${reason}: ${cutCount} requests, ${unsentBytes} bytes unsent`;
      this.options.logStateChange('caller-connection-cut', detail);
    }
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
      whenInputRead: (action) => this.inputBarrier.pass(action),
      maxUnreadMs: () => this.inputBarrier.maxUnreadMs,
      isStopping: () => this.plannedStop.isStopping,
      refusesNewWork: () => this.plannedStop.refusesNewWork(MACHINE_TIME.now()),
      deadlineWithin: (deadlineAtMs) => this.plannedStop.deadlineWithin(deadlineAtMs),
      requestLog: this.options.requestLog ?? NO_REQUEST_LOG,
      onUnresponsive: (from, connection) =>
        this.reportUnresponsiveRelay(`from ${from}`, connection),
      trackRequest: () => this.meter.begin(),
      onTravelLostMs: this.options.onTravelLostMs,
      onBodyMs: this.options.onBodyMs,
    });
  }

  private recordEventLoopLag(lagMs: number): void {
    this.eventLoopLag.record(lagMs, MACHINE_TIME.now());
    this.options.onEventLoopLagMs?.(lagMs);
    if (lagMs >= MIN_LOGGED_EVENT_LOOP_LAG_MS) {
      this.options.logStateChange('event-loop-late', `${Math.round(lagMs)} ms`);
    }
  }

  /** Returns the sender of a relayed request; any sender is accepted if the fleet has no key. */
  private verifyToken(token: string | undefined): string | undefined {
    const { fleetKey } = this.options;
    return fleetKey === undefined ? ANONYMOUS_PEER : verifyRelayToken(fleetKey, token, Date.now());
  }
}

function isOnLeavingMachine({ spec }: Endpoint, members: MemberDirectory): boolean {
  return spec.machine !== undefined && members.status(spec.machine) === 'leaving';
}

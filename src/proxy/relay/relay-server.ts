/** Accepts attempts from other nodes for the endpoints that this node owns. */
import http from 'node:http';
import type { Duplex } from 'node:stream';
import type { CounterSink } from '../../control/control-event.js';
import type { Endpoint } from '../../model/resource.js';
import type { Snapshot } from '../../model/snapshot.js';
import type { Call } from '../call.js';
import { headerValue, parseMilliseconds } from '../headers.js';
import type { ProxyLimits } from '../proxy-limits.js';
import { NodeStoppingError, UnknownEndpointError } from '../request-error.js';
import type { RequestLog } from '../request-log.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { ConnectionLiveness, LOSS_TIMEOUT_MS, type LivenessLimits } from './link-pulse.js';
import { CancelledAttempts } from './cancelled-attempts.js';
import { PendingRequests } from './pending-requests.js';
import { RelayConnection } from './relay-connection.js';
import type { RequestFrame, StreamFrame } from './relay-frame.js';
import { ratePerSOf } from './relay-load.js';
import { RELAY_CLOCK_HEADER, RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from './relay-protocol.js';
import { CreditPool } from './credit-pool.js';
import type { UnresponsiveConnection } from './relay-link.js';
import { RelayedRequest, type OwnedEndpoints } from './relayed-request.js';
import { TravelTime } from './travel-time.js';

/** Time for connections with nothing left to send to close during a planned stop, in milliseconds. */
export const RELAY_CLOSE_TIMEOUT_MS = 200;
/**
 * A receiver pings later than senders, whose own pings show that they are alive, and abandons requests later than
 * senders do, so that no one is still waiting for them. Without a new connection from the peer the timeout is
 * longer, because the peer may only be paused.
 */
const RECEIVER_LIVENESS: LivenessLimits = { quietMs: 500, unconfirmedLossTimeoutMs: 5_000 };
const FORBIDDEN = 'HTTP/1.1 403 Forbidden\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
const UPGRADE_REQUIRED_STATUS = 426;
const UPGRADE_REQUIRED =
  `HTTP/1.1 ${UPGRADE_REQUIRED_STATUS} Upgrade Required\r\nUpgrade: ${RELAY_PROTOCOL}\r\n` +
  'Connection: close\r\nContent-Length: 0\r\n\r\n';
const SWITCHED =
  'HTTP/1.1 101 Switching Protocols\r\n' +
  `Connection: Upgrade\r\nUpgrade: ${RELAY_PROTOCOL}\r\n\r\n`;

/** Dependencies of the server on its node. */
export interface RelayServerOptions {
  readonly machineId: string;
  readonly limits: ProxyLimits;
  readonly counters: CounterSink;
  readonly scheduler: Scheduler;
  /** Returns the machine identity that a token proves; undefined if the token is invalid. */
  readonly verifyToken: (token: string | undefined) => string | undefined;
  readonly snapshot: () => Snapshot | undefined;
  readonly endpoints: OwnedEndpoints;
  /** Runs the action once the process has read what had arrived; at once if the process is on time. */
  readonly whenInputRead: (action: () => void) => void;
  /** Longest time for which input may be unread, in milliseconds; 0 if the process is on time. */
  readonly maxUnreadMs: () => number;
  /** Whether answers tell peers that the node is about to stop. */
  readonly isStopping: () => boolean;
  /** Whether new requests are refused because the node is about to stop. */
  readonly refusesNewWork: () => boolean;
  /** Limits the deadline of a new request if the node is about to stop. */
  readonly deadlineWithin: (deadlineAtMs: number) => number;
  readonly requestLog: RequestLog;
  /** Counts a request as in flight until the returned function is called. */
  readonly trackRequest: () => () => void;
  /** Called when a peer's connection is closed because it is unresponsive. */
  readonly onUnresponsive?: (from: string, silence: UnresponsiveConnection) => void;
  /** Called with the excess transit delay of each request, in milliseconds. */
  readonly onTravelLostMs?: ((ms: number) => void) | undefined;
  /** Called with the time from the head of each request to the end of its body, in milliseconds. */
  readonly onBodyMs?: ((ms: number) => void) | undefined;
}

/** Relay server with its connections. */
export class RelayServer {
  /** The owner of the relay server calls `listen` on it. */
  readonly http: http.Server;
  private readonly peers = new Set<RelayPeer>();
  private readonly credits: CreditPool;
  private readonly cancelledAttempts = new CancelledAttempts();

  constructor(private readonly options: RelayServerOptions) {
    this.credits = new CreditPool(options.scheduler, options.onBodyMs);
    this.http = http.createServer((_request, response) => {
      response.writeHead(UPGRADE_REQUIRED_STATUS, { Upgrade: RELAY_PROTOCOL, Connection: 'close' });
      response.end();
    });
    this.http.on('upgrade', (request, socket, head) => {
      // After an upgrade Node.js no longer handles socket errors: a reset would end the process.
      socket.on('error', () => socket.destroy());
      if (request.headers.upgrade !== RELAY_PROTOCOL) {
        socket.end(UPGRADE_REQUIRED);
        return;
      }
      const token = headerValue(request.rawHeaders, RELAY_TOKEN_HEADER);
      const remoteAddress = request.socket.remoteAddress;
      const openedAtMs = parseMilliseconds(headerValue(request.rawHeaders, RELAY_CLOCK_HEADER));
      this.accept(options.verifyToken(token), { socket, head, remoteAddress, openedAtMs });
    });
    this.http.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Sends peers a final failure for each request that has no answer yet; returns the number of such requests. */
  giveUp(): number {
    return [...this.peers].reduce((count, peer) => count + peer.giveUp(), 0);
  }

  /** Number of requests that were read but not started; a planned stop waits for them too. */
  get unstartedCount(): number {
    return [...this.peers].reduce((count, peer) => count + peer.unstartedCount, 0);
  }

  /** Checks the liveness of peers with requests in flight; must be called periodically. */
  checkLiveness(): void {
    this.peers.forEach((peer) => peer.checkLiveness());
  }

  /**
   * Sends all queued frames and closes all connections. Resolves when they are closed, or after a timeout that is
   * extended while a slow connection may still have answers to deliver.
   */
  close(): Promise<void> {
    return new Promise((resolve) => {
      let cancelTimer: CancelTimer | undefined;
      const resolveOnceSent = (): void => {
        if (this.hasRecentAnswers) {
          cancelTimer = this.options.scheduler.schedule(RELAY_CLOSE_TIMEOUT_MS, resolveOnceSent);
        } else {
          resolve();
        }
      };
      cancelTimer = this.options.scheduler.schedule(RELAY_CLOSE_TIMEOUT_MS, resolveOnceSent);
      const resolveIfClosed = (): void => {
        if (this.peers.size === 0) {
          cancelTimer?.();
          resolve();
        }
      };
      this.peers.forEach((peer) => peer.close(resolveIfClosed));
      resolveIfClosed();
    });
  }

  /** Whether answers to a peer may still be in flight; data not yet sent would be lost when this process ends. */
  private get hasRecentAnswers(): boolean {
    const sinceMs = this.options.scheduler.now() - LOSS_TIMEOUT_MS;
    return [...this.peers].some(({ lastAnswerSentAtMs }) => lastAnswerSentAtMs > sinceMs);
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.peers.forEach((peer) => peer.destroy());
  }

  private cancelAttempt(sender: string, requestId: string): void {
    this.options.counters.add('ferryspool_relay_cancellations_repeated_total');
    const ofSender = [...this.peers].filter((peer) => peer.sender === sender);
    if (!ofSender.some((peer) => peer.cancelAttempt(requestId))) {
      this.cancelledAttempts.add(requestId, this.options.scheduler.now());
    }
  }

  private accept(sender: string | undefined, request: PeerConnectionRequest): void {
    const { socket, remoteAddress } = request;
    if (sender === undefined) {
      this.options.counters.add('ferryspool_relay_forbidden_total');
      socket.end(FORBIDDEN);
      return;
    }
    socket.write(SWITCHED);
    const remove = (): unknown => this.peers.delete(peer);
    const peer = new RelayPeer(sender, request, this.options, {
      credits: this.credits,
      onRemove: remove,
      cancelAttempt: (requestId) => this.cancelAttempt(sender, requestId),
      wasCancelled: (requestId) => this.cancelledAttempts.take(requestId),
    });
    for (const other of this.peers) {
      if (other.remoteAddress === remoteAddress) {
        other.confirmPeerAlive();
      }
    }
    this.peers.add(peer);
  }
}

/** What the connections of one server share. */
interface SharedState {
  readonly credits: CreditPool;
  readonly onRemove: () => void;
  /** Cancels an attempt of the same sender whose request arrived, or will arrive, on another connection. */
  readonly cancelAttempt: (requestId: string) => void;
  /** Whether an attempt was cancelled before its request arrived. */
  readonly wasCancelled: (requestId: string) => boolean;
}

/** Upgrade of a connection opened by a peer. */
interface PeerConnectionRequest {
  readonly socket: Duplex;
  readonly head: Buffer;
  /** IP address of the peer's machine. */
  readonly remoteAddress: string | undefined;
  /** When the peer began to open it, on the peer's clock; undefined if the peer does not tell. */
  readonly openedAtMs: number | undefined;
}

/** Connection of one peer with its requests. */
class RelayPeer {
  readonly remoteAddress: string | undefined;
  private readonly requests = new Map<number, RelayedRequest>();
  private readonly connection: RelayConnection;
  private readonly travelTime = new TravelTime();
  private readonly pendingRequests: PendingRequests;
  private onClosed: () => void = () => undefined;
  /** When the last frame was sent to the peer in response to a request. */
  lastAnswerSentAtMs = -Infinity;

  constructor(
    readonly sender: string,
    { socket, head, remoteAddress, openedAtMs }: PeerConnectionRequest,
    private readonly options: RelayServerOptions,
    private readonly shared: SharedState,
  ) {
    this.remoteAddress = remoteAddress;
    const { scheduler } = options;
    const watch = {
      liveness: new ConnectionLiveness(RECEIVER_LIVENESS, 0, scheduler.now()),
      scheduler,
      onLivenessStep: (step: 'suspect' | 'silent' | 'lost', quietMs: number) =>
        this.handleLivenessStep(step, quietMs),
    };
    const observer = {
      received: (frames: readonly StreamFrame[]) => this.receive(frames),
      attemptCancelled: (requestId: string) => shared.cancelAttempt(requestId),
      closed: () => this.end(),
    };
    this.connection = new RelayConnection(socket, head, observer, watch);
    if (openedAtMs !== undefined) {
      this.travelTime.lostMs(openedAtMs, scheduler.now());
    }
    this.pendingRequests = new PendingRequests({
      scheduler,
      whenInputRead: options.whenInputRead,
      whenPeerHasRead: (action) => this.connection.whenPeerHasRead(action),
      transitDelayMs: ({ sentAtMs }) =>
        this.travelTime.lostMs(sentAtMs, scheduler.now()) - options.maxUnreadMs(),
      start: (frame) => this.start(frame),
      onHeld: () => options.counters.add('ferryspool_relayed_requests_held_total'),
    });
  }

  checkLiveness(): void {
    this.connection.checkLiveness(this.activeCount > 0);
  }

  /** The peer has opened another connection. */
  confirmPeerAlive(): void {
    this.connection.confirmPeerAlive();
  }

  get unstartedCount(): number {
    return this.pendingRequests.size;
  }

  private get activeCount(): number {
    return this.requests.size + this.pendingRequests.size;
  }

  /** Closing a lost connection frees the slots and the credit of its requests. */
  private handleLivenessStep(step: 'suspect' | 'silent' | 'lost', quietMs: number): void {
    if (step === 'lost') {
      this.options.onUnresponsive?.(this.remoteAddress ?? this.sender, {
        awaitedCount: this.activeCount,
        quietMs,
      });
      this.connection.destroy();
    }
  }

  close(onClosed: () => void): void {
    this.onClosed = onClosed;
    this.connection.end();
  }

  destroy(): void {
    this.connection.destroy();
  }

  giveUp(): number {
    const { requestLog } = this.options;
    return [...this.requests.values()].filter((request) => request.giveUp(requestLog)).length;
  }

  /** Cancels a request of this connection; returns false if there is none with the id. */
  cancelAttempt(requestId: string): boolean {
    if (this.pendingRequests.removeById(requestId)) {
      return true;
    }
    const found = [...this.requests.values()].find((request) => request.requestId === requestId);
    found?.abandon('cancelled', this.options.requestLog);
    return found !== undefined;
  }

  private receive(frames: readonly StreamFrame[]): void {
    frames.forEach((frame) => this.handleFrame(frame));
    this.pendingRequests.startWhenRead();
  }

  private handleFrame(frame: StreamFrame): void {
    if (frame.kind === 'request') {
      if (!this.shared.wasCancelled(frame.requestId)) {
        this.pendingRequests.add(frame);
      }
      return;
    }
    if (frame.kind === 'cancel' && this.pendingRequests.remove(frame.streamId)) {
      return;
    }
    const request = this.requests.get(frame.streamId);
    if (frame.kind === 'cancel') {
      request?.abandon('cancelled', this.options.requestLog);
    } else {
      request?.handleFrame(frame);
    }
  }

  private start(frame: RequestFrame): void {
    const { options } = this;
    options.counters.add('ferryspool_relayed_requests_total');
    const { streamId } = frame;
    const untrackRequest = options.trackRequest();
    const link = {
      send: (outgoing: StreamFrame) => this.send(outgoing),
      ended: () => {
        this.requests.delete(streamId);
        untrackRequest();
      },
      isStopping: options.isStopping,
    };
    const { limits, scheduler } = options;
    const request = new RelayedRequest(
      frame,
      limits.maxBodyBytes,
      link,
      this.shared.credits,
      scheduler,
    );
    this.requests.set(streamId, request);
    if (options.refusesNewWork()) {
      request.failed(new NodeStoppingError('the node is about to stop'));
      return;
    }
    const endpoint = this.ownedEndpoint(frame);
    if (endpoint === undefined) {
      request.failed(new UnknownEndpointError('this node does not own the endpoint'));
      return;
    }
    const maxRatePerS = ratePerSOf(frame.knownMaxRatePerKs);
    if (maxRatePerS !== undefined) {
      options.endpoints.rateLimitReported(endpoint, maxRatePerS);
    }
    request.start(options.endpoints, endpoint, this.callOf(frame, request));
  }

  private send(frame: StreamFrame): boolean {
    this.lastAnswerSentAtMs = this.options.scheduler.now();
    return this.connection.send(frame);
  }

  private callOf(frame: RequestFrame, request: RelayedRequest): Call {
    const nowMs = this.options.scheduler.now();
    const travelLostMs = this.travelTime.lostMs(frame.sentAtMs, nowMs);
    const sentAtMs = nowMs - travelLostMs;
    this.options.onTravelLostMs?.(travelLostMs);
    const { targetLeftMs, startLeftMs } = frame;
    return {
      requestId: frame.requestId,
      method: frame.method,
      target: frame.target,
      headers: frame.headers,
      body: request.body,
      deadlineAtMs: this.options.deadlineWithin(sentAtMs + frame.remainingMs),
      callerNode: this.sender,
      retriesLeft: Math.min(frame.retriesLeft, this.options.limits.maxRetries),
      priority: frame.priority,
      workClass: frame.workClass,
      travelLostMs,
      ...(targetLeftMs !== undefined && { targetAtMs: sentAtMs + targetLeftMs }),
      ...(startLeftMs !== undefined && { startByMs: sentAtMs + startLeftMs }),
    };
  }

  private ownedEndpoint({ service, endpoint: name }: RequestFrame): Endpoint | undefined {
    const { snapshot, machineId } = this.options;
    const endpoints = snapshot()?.endpointsByService.get(service);
    return endpoints?.find((one) => one.name === name && one.spec.machine === machineId);
  }

  private end(): void {
    this.pendingRequests.clear();
    for (const request of [...this.requests.values()]) {
      request.abandon('connection-closed', this.options.requestLog);
    }
    this.shared.onRemove();
    this.onClosed();
  }
}

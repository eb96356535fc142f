/** Takes attempts from other nodes for the endpoints that this node owns. */
import http from 'node:http';
import type { Duplex } from 'node:stream';
import type { CounterSink } from '../../control/control-event.js';
import type { Endpoint } from '../../model/resource.js';
import type { Snapshot } from '../../model/snapshot.js';
import type { Call } from '../call.js';
import { headerValue } from '../headers.js';
import type { ProxyLimits } from '../proxy-limits.js';
import { NodeStoppingError, UnknownEndpointError } from '../request-error.js';
import type { RequestLog } from '../request-log.js';
import type { CancelTimer, Scheduler } from '../scheduler.js';
import { ConnectionLiveness, LOSS_TIMEOUT_MS, type LivenessLimits } from './connection-liveness.js';
import { RelayConnection } from './relay-connection.js';
import type { RequestFrame, StreamFrame } from './relay-frame.js';
import { RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from './relay-protocol.js';
import { CreditPool } from './credit-pool.js';
import type { UnresponsiveConnection } from './relay-link.js';
import { RelayedRequest, type OwnedEndpoints } from './relayed-request.js';
import { TravelTime } from './travel-time.js';

/** Time after a pause in which cancellations that came meanwhile are read, in milliseconds. */
const RESUME_SETTLE_MS = 10;
/** Time in which connections with nothing left to send are closed at a planned stop, in milliseconds. */
export const RELAY_CLOSE_TIMEOUT_MS = 200;
/**
 * A receiver asks later than senders do, whose questions are signs of life, and lets go later than they:
 * nobody awaits what it gives up. Without a new connection of the peer it waits for longer, since the
 * peer may only stand still.
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

/** What the server needs of its node. */
export interface RelayServerOptions {
  readonly machineId: string;
  readonly limits: ProxyLimits;
  readonly counters: CounterSink;
  readonly scheduler: Scheduler;
  /** The machine identity that a token proves, or undefined. */
  readonly verifyToken: (token: string | undefined) => string | undefined;
  readonly snapshot: () => Snapshot | undefined;
  readonly endpoints: OwnedEndpoints;
  /** Whether the process was paused until just now; see {@link ../pause-detector.ts}. */
  readonly hasJustWoken: () => boolean;
  /** Calls its action once the process has read what has arrived. */
  readonly afterRead: (action: () => void) => void;
  /** Whether peers are told that the node is about to stop. */
  readonly isStopping: () => boolean;
  /** Whether new requests are refused, since the node is about to stop. */
  readonly refusesNewWork: () => boolean;
  /** The deadline of a new request that has this one, given that the node may be about to stop. */
  readonly deadlineWithin: (deadlineAtMs: number) => number;
  readonly requestLog: RequestLog;
  /** Counts a request until the returned function is called. */
  readonly trackRequest: () => () => void;
  /** Told that a peer's connection was given up, since nothing arrived on it. */
  readonly onUnresponsive?: (from: string, silence: UnresponsiveConnection) => void;
  /** Gets how much longer than usual each request was on its way, in milliseconds. */
  readonly onTravelLostMs?: ((ms: number) => void) | undefined;
  /** Gets the time from the head of each request to the end of its body, in milliseconds. */
  readonly onBodyMs?: ((ms: number) => void) | undefined;
}

/** The server and its connections. */
export class RelayServer {
  /** Its owner listens on it. */
  readonly http: http.Server;
  private readonly peers = new Set<RelayPeer>();
  private readonly credits: CreditPool;

  constructor(private readonly options: RelayServerOptions) {
    this.credits = new CreditPool(options.scheduler, options.onBodyMs);
    this.http = http.createServer((_request, response) => {
      response.writeHead(UPGRADE_REQUIRED_STATUS, { Upgrade: RELAY_PROTOCOL, Connection: 'close' });
      response.end();
    });
    this.http.on('upgrade', (request, socket, head) => {
      // Node leaves the socket to its new owner: a reset would end the process.
      socket.on('error', () => socket.destroy());
      if (request.headers.upgrade !== RELAY_PROTOCOL) {
        socket.end(UPGRADE_REQUIRED);
        return;
      }
      const token = headerValue(request.rawHeaders, RELAY_TOKEN_HEADER);
      const remoteAddress = request.socket.remoteAddress;
      this.accept(options.verifyToken(token), { socket, head, remoteAddress });
    });
    this.http.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Tells peers the final failure of every request that has no answer yet; gives their number. */
  giveUp(): number {
    return [...this.peers].reduce((count, peer) => count + peer.giveUp(), 0);
  }

  /** Requests that were read and are not looked at yet: a planned stop waits for them too. */
  get unstartedCount(): number {
    return [...this.peers].reduce((count, peer) => count + peer.unstartedCount, 0);
  }

  /** Looks whether peers whose requests are under way are silent; to be called now and then. */
  checkLiveness(): void {
    this.peers.forEach((peer) => peer.checkLiveness());
  }

  /**
   * Sends what waits and closes all connections. Resolves when they are closed, or after a while: answers that a
   * slow connection still has to deliver are waited for as long as it may be slow.
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

  /** Whether answers to a peer may still be on their way: its process ends with what the system has not sent. */
  private get hasRecentAnswers(): boolean {
    const sinceMs = this.options.scheduler.now() - LOSS_TIMEOUT_MS;
    return [...this.peers].some(({ lastAnswerSentAtMs }) => lastAnswerSentAtMs > sinceMs);
  }

  /** Cuts all connections. */
  destroy(): void {
    this.peers.forEach((peer) => peer.destroy());
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
    const peer = new RelayPeer(sender, request, this.options, this.credits, remove);
    for (const other of this.peers) {
      if (other.remoteAddress === remoteAddress) {
        other.confirmPeerAlive();
      }
    }
    this.peers.add(peer);
  }
}

/** A connection that a peer has opened. */
interface PeerConnectionRequest {
  readonly socket: Duplex;
  readonly head: Buffer;
  /** IP number of the peer's machine. */
  readonly remoteAddress: string | undefined;
}

/** The connection of one peer, and its requests. */
class RelayPeer {
  readonly remoteAddress: string | undefined;
  private readonly requests = new Map<number, RelayedRequest>();
  private readonly connection: RelayConnection;
  private readonly travelTime = new TravelTime();
  /** Requests that are not looked at yet, by stream. */
  private readonly pendingRequests = new Map<number, RequestFrame>();
  private onClosed: () => void = () => undefined;
  /** When a frame of an answer was sent last. */
  lastAnswerSentAtMs = -Infinity;

  constructor(
    private readonly sender: string,
    { socket, head, remoteAddress }: PeerConnectionRequest,
    private readonly options: RelayServerOptions,
    private readonly credits: CreditPool,
    private readonly onRemove: () => void,
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
      closed: () => this.end(),
    };
    this.connection = new RelayConnection(socket, head, observer, watch);
  }

  checkLiveness(): void {
    this.connection.checkLiveness(this.activeCount > 0);
  }

  /** The peer opened another connection. */
  confirmPeerAlive(): void {
    this.connection.confirmPeerAlive();
  }

  get unstartedCount(): number {
    return this.pendingRequests.size;
  }

  private get activeCount(): number {
    return this.requests.size + this.pendingRequests.size;
  }

  /** The slots and the credit of requests whose sender is gone are needed by others. */
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

  /**
   * Requests are looked at once all that came with them is read: one that was cancelled meanwhile is
   * not run. After a pause of the process, more may be waiting in the system.
   */
  private receive(frames: readonly StreamFrame[]): void {
    frames.forEach((frame) => this.handleFrame(frame));
    if (this.pendingRequests.size === 0) {
      return;
    }
    if (this.options.hasJustWoken()) {
      const { scheduler, afterRead } = this.options;
      scheduler.schedule(RESUME_SETTLE_MS, () => afterRead(() => this.startPending()));
    } else {
      this.startPending();
    }
  }

  private handleFrame(frame: StreamFrame): void {
    if (frame.kind === 'request') {
      this.pendingRequests.set(frame.streamId, frame);
      return;
    }
    if (frame.kind === 'cancel' && this.pendingRequests.delete(frame.streamId)) {
      return;
    }
    if (frame.kind === 'body' && this.pendingRequests.has(frame.streamId)) {
      this.startPending();
    }
    const request = this.requests.get(frame.streamId);
    if (frame.kind === 'cancel') {
      request?.abandon('cancelled', this.options.requestLog);
    } else {
      request?.handleFrame(frame);
    }
  }

  private startPending(): void {
    const frames = [...this.pendingRequests.values()];
    this.pendingRequests.clear();
    frames.forEach((frame) => this.start(frame));
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
    const request = new RelayedRequest(frame, limits.maxBodyBytes, link, this.credits, scheduler);
    this.requests.set(streamId, request);
    if (options.refusesNewWork()) {
      request.failed(new NodeStoppingError('the node is about to stop'));
      return;
    }
    const endpoint = this.ownedEndpoint(frame);
    if (endpoint === undefined) {
      request.failed(new UnknownEndpointError('the endpoint is not of this node'));
      return;
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
    this.onRemove();
    this.onClosed();
  }
}

/** Accepts attempts from other nodes for the endpoints that this node owns. */
import http from 'node:http';
import { headerValue, parseMilliseconds } from '../headers.js';
import type { CancelTimer } from '../scheduler.js';
import { CancelledAttempts } from './cancelled-attempts.js';
import { CreditPool } from './credit-pool.js';
import { LOSS_TIMEOUT_MS } from './link-pulse.js';
import { RelayPeer, type PeerConnectionRequest, type RelayServerOptions } from './relay-peer.js';
import { RELAY_CLOCK_HEADER, RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from './relay-protocol.js';

/** Time for connections with nothing left to send to close during a planned stop, in milliseconds. */
export const RELAY_CLOSE_TIMEOUT_MS = 200;
const FORBIDDEN = 'HTTP/1.1 403 Forbidden\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
const UPGRADE_REQUIRED_STATUS = 426;
const UPGRADE_REQUIRED =
  `HTTP/1.1 ${UPGRADE_REQUIRED_STATUS} Upgrade Required\r\nUpgrade: ${RELAY_PROTOCOL}\r\n` +
  'Connection: close\r\nContent-Length: 0\r\n\r\n';
const SWITCHED =
  'HTTP/1.1 101 Switching Protocols\r\n' +
  `Connection: Upgrade\r\nUpgrade: ${RELAY_PROTOCOL}\r\n\r\n`;

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

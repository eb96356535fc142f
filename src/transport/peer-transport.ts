/**
 * Links to peers over TCP or TLS, at most one per peer. Each link is authenticated by the handshake before
 * it carries messages. Events are delivered as plain calls in the order in which they occurred; the runtime
 * forwards them to its channel.
 */
import { randomBytes } from 'node:crypto';
import type { Socket } from 'node:net';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import { FrameError } from '../wire/frame-error.js';
import type { PeerMessage } from '../wire/message.js';
import { DeadlineQueue } from './deadline-queue.js';
import { DialTable, isDialable, isSameAddress } from './dial-table.js';
import { HandshakeError, isSentToPeer } from './handshake-error.js';
import { NONCE_BYTES } from './handshake-proof.js';
import { channelBindingOf, SocketDialer, SocketListener } from './link-sockets.js';
import { LinkTable } from './link-table.js';
import { PeerLink, type LinkOwner } from './peer-link.js';
import {
  refusedFrameCounter,
  refusedHandshakeCounter,
  TRANSPORT_COUNTERS,
} from './transport-counters.js';
import {
  DEFAULT_TRANSPORT_LIMITS,
  MIN_FLEET_KEY_LENGTH,
  TransportOptionsError,
  type PeerTransport,
  type TransportEvent,
  type TransportLimits,
  type TransportOptions,
} from './transport-options.js';

/**
 * Starts listening and resolves with the transport once its port is known. Rejects with the system's error
 * if the address can't be bound, and with {@link TransportOptionsError} if the fleet key is too short.
 */
export async function createPeerTransport(options: TransportOptions): Promise<PeerTransport> {
  if (options.fleetKey.length < MIN_FLEET_KEY_LENGTH) {
    throw new TransportOptionsError(
      `fleet key must have at least ${MIN_FLEET_KEY_LENGTH} characters`,
    );
  }
  const transport = new SocketTransport(options);
  await transport.start();
  return transport;
}

class SocketTransport implements PeerTransport, LinkOwner {
  port = 0;
  identity: PeerIdentity;
  private readonly limits: TransportLimits;
  private readonly listener: SocketListener;
  private readonly dialer: SocketDialer;
  private readonly links: LinkTable;
  /** All links whose sockets have not closed yet. */
  private readonly sockets = new Set<PeerLink>();
  private readonly unproven = new Set<PeerLink>();
  private readonly dials = new DialTable();
  /** Links in the handshake, or closing. */
  private readonly deadlines: DeadlineQueue<PeerLink>;
  private stopped = false;
  private onAllClosed: () => void = () => undefined;

  constructor(private readonly options: TransportOptions) {
    this.identity = options.identity;
    this.limits = { ...DEFAULT_TRANSPORT_LIMITS, ...options.limits };
    this.links = new LinkTable(this.limits.maxInboundLinks);
    this.dialer = new SocketDialer(options.tls);
    this.deadlines = new DeadlineQueue(this.limits.handshakeTimeoutMs, (link) => {
      this.expire(link);
    });
    this.listener = new SocketListener({
      tls: options.tls,
      maxConnections: this.limits.maxInboundLinks + 2 * this.limits.maxUnprovenConnections,
      handshakeTimeoutMs: this.limits.handshakeTimeoutMs,
      onSocket: (socket) => {
        this.accept(socket);
      },
      onTlsFailure: () => {
        options.counters.add(refusedHandshakeCounter('tls'));
      },
    });
  }

  async start(): Promise<void> {
    const { address, port } = this.options.listen;
    this.port = await this.listener.listen(address, port);
    if (this.identity.controlPort === 0) {
      this.identity = { ...this.identity, controlPort: this.port };
    }
  }

  dial(target: PeerAddress): void {
    if (this.stopped || this.dials.has(target)) {
      return;
    }
    this.options.counters.add(TRANSPORT_COUNTERS.dials);
    this.dials.add(target);
    if (!isDialable(target) || isSameAddress(target, this.identity)) {
      setImmediate(() => {
        this.concludeDial(target);
      });
      return;
    }
    const socket = this.dialer.open(target, () => {
      this.beginHandshake(link, socket);
    });
    const link = this.addLink(socket, target);
  }

  send(peerId: string, message: PeerMessage): boolean {
    const link = this.links.get(peerId);
    if (link?.isUsable !== true) {
      this.options.counters.add(TRANSPORT_COUNTERS.messagesDropped);
      return false;
    }
    try {
      const accepted = link.send(message, this.limits.maxBufferedBytes);
      if (!accepted) {
        this.options.counters.add(TRANSPORT_COUNTERS.linksSlow);
        link.destroy();
      }
      return accepted;
    } catch (error) {
      if (!(error instanceof FrameError)) {
        throw error;
      }
      this.options.counters.add(TRANSPORT_COUNTERS.messagesUnencodable);
      return false;
    }
  }

  hangUp(peerId: string): void {
    const link = this.links.get(peerId);
    if (link !== undefined) {
      this.removeLink(link, peerId);
      link.destroySoon();
      this.deadlines.add(link);
    }
  }

  async stop(): Promise<void> {
    this.stopped = true;
    this.listener.close();
    this.deadlines.drain().forEach((link) => {
      link.destroy();
    });
    this.links.all().forEach((link) => {
      link.end();
    });
    const timer = setTimeout(() => {
      this.sockets.forEach((link) => {
        link.destroy();
      });
    }, this.limits.stopFlushMs);
    if (this.sockets.size > 0) {
      await new Promise<void>((resolve) => {
        this.onAllClosed = resolve;
      });
    }
    clearTimeout(timer);
    await this.listener.destroyConnections();
  }

  onProved(link: PeerLink, peer: PeerIdentity): void {
    const refusal = this.links.refusalOf(link, peer, this.identity.id);
    if (refusal !== undefined) {
      this.onHandshakeFailed(link, new HandshakeError(refusal));
      return;
    }
    const held = this.links.get(peer.id);
    if (held !== undefined) {
      this.options.counters.add(TRANSPORT_COUNTERS.linksReplaced);
      this.dropLink(held);
      held.destroySoon();
      this.deadlines.add(held);
    }
    this.deadlines.remove(link);
    this.unproven.delete(link);
    this.links.set(peer.id, link);
    link.open();
    this.options.counters.add(TRANSPORT_COUNTERS.linksOpened);
    this.dials.markAnswered(peer);
    this.dials.markAnswered(link.target);
    this.emit({ type: 'peer-up', peer });
    this.concludeDial(link.target);
  }

  onHandshakeFailed(link: PeerLink, error: HandshakeError): void {
    this.options.counters.add(refusedHandshakeCounter(error.code));
    this.unproven.delete(link);
    if (link.role === 'acceptor' && isSentToPeer(error.code)) {
      link.refuse(error.code);
    } else {
      link.phase = 'closed';
      link.destroy();
    }
    this.concludeDial(link.target);
  }

  onMessage(_link: PeerLink, from: PeerIdentity, message: PeerMessage): void {
    this.emit({ type: 'message', from, message });
  }

  onFrameRefused(link: PeerLink, error: FrameError): void {
    this.options.counters.add(refusedFrameCounter(error.code));
    link.destroy();
    this.dropLink(link);
  }

  onLinkClosed(link: PeerLink): void {
    this.sockets.delete(link);
    this.deadlines.remove(link);
    if (link.phase === 'handshaking') {
      this.onHandshakeFailed(link, new HandshakeError('closed'));
    } else if (link.phase === 'open') {
      this.dropLink(link);
    }
    if (this.sockets.size === 0) {
      this.onAllClosed();
    }
  }

  private accept(socket: Socket): void {
    if (this.stopped) {
      socket.destroy();
      return;
    }
    const [oldest] = this.unproven;
    if (oldest !== undefined && this.unproven.size >= this.limits.maxUnprovenConnections) {
      this.onHandshakeFailed(oldest, new HandshakeError('evicted'));
    }
    const link = this.addLink(socket, undefined);
    this.unproven.add(link);
    this.beginHandshake(link, socket);
  }

  private addLink(socket: Socket, target: PeerAddress | undefined): PeerLink {
    const link = new PeerLink(socket, {
      role: target === undefined ? 'acceptor' : 'dialer',
      target,
      owner: this,
      counters: this.options.counters,
      usesTls: this.options.tls !== undefined,
    });
    this.sockets.add(link);
    this.deadlines.add(link);
    return link;
  }

  private beginHandshake(link: PeerLink, socket: Socket): void {
    link.begin({
      role: link.role,
      fleetKey: this.options.fleetKey,
      identity: this.identity,
      nonce: randomBytes(NONCE_BYTES),
      channelBinding: channelBindingOf(socket),
    });
  }

  private expire(link: PeerLink): void {
    if (link.phase === 'handshaking') {
      this.onHandshakeFailed(link, new HandshakeError('timeout'));
    } else {
      link.destroy();
    }
  }

  /** Removes an open link and emits `peer-down`. */
  private dropLink(link: PeerLink): void {
    if (link.peer !== undefined && this.removeLink(link, link.peer.id)) {
      this.emit({ type: 'peer-down', peer: link.peer });
    }
  }

  private removeLink(link: PeerLink, peerId: string): boolean {
    link.phase = 'closed';
    const removed = this.links.remove(peerId, link);
    if (removed) {
      this.options.counters.add(TRANSPORT_COUNTERS.linksClosed);
    }
    return removed;
  }

  private concludeDial(target: PeerAddress | undefined): void {
    if (target !== undefined && this.dials.conclude(target) === 'failed') {
      this.options.counters.add(TRANSPORT_COUNTERS.dialsFailed);
      this.emit({ type: 'dial-failed', target });
    }
  }

  private emit(event: TransportEvent): void {
    if (!this.stopped) {
      this.options.onEvent(event);
    }
  }
}

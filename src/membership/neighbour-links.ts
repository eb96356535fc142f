/**
 * Life cycle of links: they are opened, confirmed as overlay links by the first heartbeat, kept
 * alive by heartbeats, and closed when unresponsive or idle.
 */
import type { ControlEffect, CounterSink } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { HeartbeatMessage, MemberUpdate } from '../wire/message.js';
import { EMPTY_VERSIONS_DIGEST } from '../wire/versions-digest.js';
import type { MachineIndex } from './machine-index.js';
import type { MemberTable } from './member-table.js';
import { Overlay, type OverlayOptions } from './overlay.js';
import type { PeerAddress, PeerIdentity } from './peer-identity.js';
import type { PeerLink } from './peer-link.js';

/** Idle timeout of a link that is not part of the overlay, in milliseconds. */
export const TRANSIENT_IDLE_MS = 30_000;

/** Options of links and heartbeats; times in milliseconds. */
export interface NeighbourLinkOptions extends OverlayOptions {
  readonly heartbeatIntervalMs: number;
  /** Time without a message after which a neighbour is suspected. */
  readonly suspectAfterMs: number;
}

/** Listener for changes to the set of overlay neighbours. */
export interface NeighbourListener {
  neighbourUp(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void;
  neighbourDown(peerId: string, nowMs: number, effects: ControlEffect[]): void;
  heartbeatMessage(): HeartbeatMessage;
}

/** Manages all links of a node. */
export class NeighbourLinks {
  private readonly links = new Map<string, PeerLink>();
  private readonly overlay: Overlay;
  private readonly counters: CounterSink;
  private heartbeatAt = Infinity;
  private isStopping = false;

  constructor(
    private readonly options: NeighbourLinkOptions,
    private readonly listener: NeighbourListener,
    members: MemberTable,
    machines: MachineIndex,
  ) {
    this.overlay = new Overlay(options, this.links, members, machines);
    this.counters = options.counters;
  }

  /** Time at which {@link wake} must be called next, in milliseconds. */
  nextWakeAt(): number {
    return Math.min(this.heartbeatAt, this.overlay.nextWakeAt());
  }

  *neighbours(): Iterable<PeerIdentity> {
    for (const link of this.links.values()) {
      if (link.isConfirmed) {
        yield link.peer;
      }
    }
  }

  *neighbourIds(): Iterable<string> {
    for (const peer of this.neighbours()) {
      yield peer.id;
    }
  }

  /**
   * Whether the link to the peer is part of the overlay or awaits confirmation as an overlay link.
   */
  isOverlayPeer(peerId: string): boolean {
    const role = this.links.get(peerId)?.role;
    return role === 'outbound' || role === 'inbound';
  }

  start(nowMs: number): void {
    this.heartbeatAt = nowMs + this.options.random() * this.options.heartbeatIntervalMs;
    this.overlay.start(nowMs);
  }

  /** Starts a planned stop: no more dials and no more inbound neighbours. */
  stop(): void {
    this.isStopping = true;
    this.overlay.stop();
  }

  setMachines(machines: MachineIndex, nowMs: number): void {
    this.overlay.setMachines(machines, nowMs);
  }

  /**
   * Restarts the receive timeouts after a pause of this process and sends heartbeats on the next
   * wake.
   */
  restartTimeouts(nowMs: number): void {
    for (const link of this.links.values()) {
      link.lastReceivedAt = nowMs;
    }
    this.heartbeatAt = Math.min(this.heartbeatAt, nowMs);
  }

  /** Handles all timers that are due; returns the neighbours that became unresponsive. */
  wake(nowMs: number, effects: ControlEffect[]): PeerIdentity[] {
    const silent = nowMs >= this.heartbeatAt ? this.sendHeartbeats(nowMs, effects) : [];
    this.overlay.wake(nowMs, effects);
    return silent;
  }

  /** Handles an opened link. One that only served a probe (`isProbe`) is closed. */
  linkOpened(peer: PeerIdentity, isProbe: boolean, nowMs: number, effects: ControlEffect[]): void {
    const dial = this.overlay.completeDial(peer);
    let link = this.links.get(peer.id);
    if (link !== undefined && link.peer.incarnation !== peer.incarnation) {
      this.close(link, nowMs, effects);
      link = undefined;
    }
    if (link === undefined && dial === undefined && isProbe) {
      effects.push({ type: 'hang-up', peerId: peer.id });
      return;
    }
    link ??= newLink(peer, nowMs);
    this.links.set(peer.id, link);
    if (dial !== undefined && link.role === 'transient') {
      link.role = 'outbound';
      link.scope = dial.scope;
      link.replaces = dial.replaces;
      effects.push({ type: 'send', to: peer.id, message: this.listener.heartbeatMessage() });
    }
  }

  /** Handles the close of the last link to a peer; returns whether the peer was a neighbour. */
  lost(peerId: string, nowMs: number, effects: ControlEffect[]): boolean {
    const link = this.links.get(peerId);
    if (link === undefined) {
      return false;
    }
    const wasNeighbour = link.isConfirmed;
    this.close(link, nowMs, effects);
    return wasNeighbour;
  }

  /** Handles a failed dial. */
  dialFailed(target: PeerAddress, nowMs: number): void {
    this.overlay.dialFailed(target, nowMs);
  }

  /** Records a received message. Overlay traffic does not keep a transient link open. */
  messageReceived(peerId: string, isOverlayTraffic: boolean, nowMs: number): void {
    const link = this.links.get(peerId);
    if (link === undefined) {
      return;
    }
    link.lastReceivedAt = nowMs;
    if (!isOverlayTraffic) {
      link.lastUsedAt = nowMs;
    }
  }

  /**
   * Dials again sooner if a peer that did not confirm its link sent members, which can be dialled.
   */
  memberUpdatesReceived(peerId: string, nowMs: number): void {
    const link = this.links.get(peerId);
    if (link?.role === 'outbound' && !link.isConfirmed) {
      this.overlay.expediteContactDial(nowMs);
    }
  }

  /** Restarts the idle timeout of a link that another part of the control plane uses. */
  markUsed(peerId: string, nowMs: number): void {
    const link = this.links.get(peerId);
    if (link !== undefined) {
      link.lastUsedAt = nowMs;
    }
  }

  /** Handles a heartbeat, which confirms or requests an overlay link; returns whether it is new. */
  handleHeartbeat(
    peerId: string,
    message: HeartbeatMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): boolean {
    const link = this.links.get(peerId);
    if (link === undefined || link.isConfirmed) {
      return false;
    }
    if (link.role === 'transient') {
      if (this.isStopping || !this.overlay.acceptsInbound()) {
        this.refuse(link, message, nowMs, effects);
        return false;
      }
      link.role = 'inbound';
      effects.push({ type: 'send', to: peerId, message: this.listener.heartbeatMessage() });
    }
    this.confirm(link, nowMs, effects);
    return true;
  }

  /**
   * Closes the link; a peer that holds no documents yet is first sent neighbours that it can dial.
   */
  private refuse(
    link: PeerLink,
    message: HeartbeatMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.counters.add(CONTROL_COUNTERS.inboundRefused);
    const updates: MemberUpdate[] = [];
    for (const peer of this.neighbours()) {
      updates.push({ member: peer, status: 'alive' });
    }
    if (message.versionsDigest === EMPTY_VERSIONS_DIGEST && updates.length > 0) {
      const to = link.peer.id;
      effects.push({ type: 'send', to, message: { type: 'members', updates } });
    }
    this.hangUp(link, nowMs, effects);
  }

  private sendHeartbeats(nowMs: number, effects: ControlEffect[]): PeerIdentity[] {
    this.heartbeatAt = nowMs + this.options.heartbeatIntervalMs;
    const silent = this.closeStaleLinks(nowMs, effects);
    const message = this.listener.heartbeatMessage();
    for (const link of this.links.values()) {
      if (link.role !== 'transient') {
        effects.push({ type: 'send', to: link.peer.id, message });
      }
    }
    const surplus = this.overlay.surplusLink();
    if (surplus !== undefined) {
      this.hangUp(surplus, nowMs, effects);
    }
    return silent;
  }

  private closeStaleLinks(nowMs: number, effects: ControlEffect[]): PeerIdentity[] {
    const silent: PeerIdentity[] = [];
    for (const link of this.links.values()) {
      const isTransient = link.role === 'transient';
      const isIdle = isTransient && nowMs - link.lastUsedAt >= TRANSIENT_IDLE_MS;
      const isSilent = !isTransient && nowMs - link.lastReceivedAt >= this.options.suspectAfterMs;
      if (isSilent && link.isConfirmed) {
        silent.push(link.peer);
      }
      if (isIdle || isSilent) {
        this.hangUp(link, nowMs, effects);
      }
    }
    return silent;
  }

  private hangUp(link: PeerLink, nowMs: number, effects: ControlEffect[]): void {
    this.close(link, nowMs, effects);
    effects.push({ type: 'hang-up', peerId: link.peer.id });
  }

  private close(link: PeerLink, nowMs: number, effects: ControlEffect[]): void {
    this.links.delete(link.peer.id);
    this.overlay.lost(link, nowMs);
    if (link.isConfirmed) {
      this.listener.neighbourDown(link.peer.id, nowMs, effects);
    }
  }

  private confirm(link: PeerLink, nowMs: number, effects: ControlEffect[]): void {
    link.isConfirmed = true;
    if (link.role === 'outbound') {
      this.overlay.linkConfirmed(link);
    }
    this.listener.neighbourUp(link.peer, nowMs, effects);
    const replaced = link.replaces === undefined ? undefined : this.links.get(link.replaces);
    if (replaced?.role === 'outbound') {
      this.hangUp(replaced, nowMs, effects);
    }
    link.replaces = undefined;
  }
}

function newLink(peer: PeerIdentity, nowMs: number): PeerLink {
  return {
    peer,
    role: 'transient',
    scope: 'contact',
    isConfirmed: false,
    lastReceivedAt: nowMs,
    lastUsedAt: nowMs,
    replaces: undefined,
  };
}

/**
 * The life of links: opened, confirmed as overlay links by a first heartbeat, kept by heartbeats,
 * closed when silent or idle.
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

/** Idle time after which a link that is not part of the overlay is closed, in milliseconds. */
export const TRANSIENT_IDLE_MS = 30_000;

/** Numbers of links and heartbeats; times in milliseconds. */
export interface NeighbourLinkOptions extends OverlayOptions {
  readonly heartbeatIntervalMs: number;
  /** Silence after which a neighbour is suspected. */
  readonly suspectAfterMs: number;
}

/** Told of changes to the set of overlay neighbours. */
export interface NeighbourListener {
  neighbourUp(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void;
  neighbourDown(peerId: string, nowMs: number, effects: ControlEffect[]): void;
  /** The heartbeat to send now. */
  heartbeatMessage(): HeartbeatMessage;
}

/** All links of a node. */
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

  /** Time of the next {@link wake} that is needed, in milliseconds. */
  nextWakeAt(): number {
    return Math.min(this.heartbeatAt, this.overlay.nextWakeAt());
  }

  /** Identities of the overlay neighbours. */
  *neighbours(): Iterable<PeerIdentity> {
    for (const link of this.links.values()) {
      if (link.isConfirmed) {
        yield link.peer;
      }
    }
  }

  /** Machine ids of the overlay neighbours. */
  *neighbourIds(): Iterable<string> {
    for (const peer of this.neighbours()) {
      yield peer.id;
    }
  }

  /** Whether the link to the peer is, or is about to become, part of the overlay. */
  isOverlayPeer(peerId: string): boolean {
    const role = this.links.get(peerId)?.role;
    return role === 'outbound' || role === 'inbound';
  }

  /** The process started. */
  start(nowMs: number): void {
    this.heartbeatAt = nowMs + this.options.random() * this.options.heartbeatIntervalMs;
    this.overlay.start(nowMs);
  }

  /** A planned stop: no more dials, no more inbound neighbours. */
  stop(): void {
    this.isStopping = true;
    this.overlay.stop();
  }

  /** A newer machine list came into force. */
  setMachines(machines: MachineIndex, nowMs: number): void {
    this.overlay.setMachines(machines, nowMs);
  }

  /** The node was paused: heartbeats go out first, and no silence of that time counts. */
  grantGrace(nowMs: number): void {
    for (const link of this.links.values()) {
      link.heardAt = nowMs;
    }
    this.heartbeatAt = Math.min(this.heartbeatAt, nowMs);
  }

  /** Acts on what is due; returns the neighbours that fell silent. */
  wake(nowMs: number, effects: ControlEffect[]): PeerIdentity[] {
    const silent = nowMs >= this.heartbeatAt ? this.beat(nowMs, effects) : [];
    this.overlay.wake(nowMs, effects);
    return silent;
  }

  /** A link opened; `isProbe` when it answers a probe and is of no further use. */
  opened(peer: PeerIdentity, isProbe: boolean, nowMs: number, effects: ControlEffect[]): void {
    const dial = this.overlay.claimLink(peer);
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
      link.place = dial.place;
      link.replaces = dial.replaces;
      effects.push({ type: 'send', to: peer.id, message: this.listener.heartbeatMessage() });
    }
  }

  /** The last link to a peer closed; returns whether a neighbour was lost by it. */
  lost(peerId: string, nowMs: number, effects: ControlEffect[]): boolean {
    const link = this.links.get(peerId);
    if (link === undefined) {
      return false;
    }
    const wasNeighbour = link.isConfirmed;
    this.close(link, nowMs, effects);
    return wasNeighbour;
  }

  /** A dial failed. */
  dialFailed(target: PeerAddress, nowMs: number): void {
    this.overlay.dialFailed(target, nowMs);
  }

  /** A message arrived; `isOverlayTraffic` for those that keep no other link open. */
  heard(peerId: string, isOverlayTraffic: boolean, nowMs: number): void {
    const link = this.links.get(peerId);
    if (link === undefined) {
      return;
    }
    link.heardAt = nowMs;
    if (!isOverlayTraffic) {
      link.usedAt = nowMs;
    }
  }

  /** A peer told of members; one that has not confirmed its link gives hints whom to dial. */
  heardOfMembers(peerId: string, nowMs: number): void {
    const link = this.links.get(peerId);
    if (link?.role === 'outbound' && !link.isConfirmed) {
      this.overlay.hinted(nowMs);
    }
  }

  /** Another part of the control plane uses the link. */
  used(peerId: string, nowMs: number): void {
    const link = this.links.get(peerId);
    if (link !== undefined) {
      link.usedAt = nowMs;
    }
  }

  /** A heartbeat arrived: the peer is, or wants to be, a neighbour. Returns whether it is new. */
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

  /** Closes the link; a node that holds nothing yet is told of others that it may dial. */
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
    this.giveUp(link, nowMs, effects);
  }

  private beat(nowMs: number, effects: ControlEffect[]): PeerIdentity[] {
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
      this.giveUp(surplus, nowMs, effects);
    }
    return silent;
  }

  private closeStaleLinks(nowMs: number, effects: ControlEffect[]): PeerIdentity[] {
    const silent: PeerIdentity[] = [];
    for (const link of this.links.values()) {
      const isTransient = link.role === 'transient';
      const isIdle = isTransient && nowMs - link.usedAt >= TRANSIENT_IDLE_MS;
      const isSilent = !isTransient && nowMs - link.heardAt >= this.options.suspectAfterMs;
      if (isSilent && link.isConfirmed) {
        silent.push(link.peer);
      }
      if (isIdle || isSilent) {
        this.giveUp(link, nowMs, effects);
      }
    }
    return silent;
  }

  private giveUp(link: PeerLink, nowMs: number, effects: ControlEffect[]): void {
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
      this.overlay.confirmed(link);
    }
    this.listener.neighbourUp(link.peer, nowMs, effects);
    const old = link.replaces === undefined ? undefined : this.links.get(link.replaces);
    if (old?.role === 'outbound') {
      this.giveUp(old, nowMs, effects);
    }
    link.replaces = undefined;
  }
}

function newLink(peer: PeerIdentity, nowMs: number): PeerLink {
  return {
    peer,
    role: 'transient',
    place: 'contact',
    isConfirmed: false,
    heardAt: nowMs,
    usedAt: nowMs,
    replaces: undefined,
  };
}

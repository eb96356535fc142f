/**
 * Who is there: heartbeats on overlay links, suspicion of silent or lost neighbours, the flood of
 * claims about members, and the overlay that all of it runs on.
 */
import type { ControlEffect, CounterSink, RandomSource } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { HeartbeatMessage, MemberStatus, MemberUpdate } from '../wire/message.js';
import { LinkProbes } from './link-probes.js';
import type { MachineIndex } from './machine-index.js';
import { MemberFlood } from './member-flood.js';
import { MEMBER_SWEEP_INTERVAL_MS, MemberTable } from './member-table.js';
import { Overlay } from './overlay.js';
import type { PeerAddress, PeerIdentity } from './peer-identity.js';
import type { PeerLink } from './peer-link.js';
import { SelfClaim } from './self-claim.js';

/** Idle time after which a link that is not part of the overlay is closed, in milliseconds. */
export const TRANSIENT_IDLE_MS = 30_000;
/** Claims about leaving members told to a new neighbour at most. */
const MAX_SYNCED_UPDATES = 32;

/** What membership needs; times in milliseconds. */
export interface MembershipOptions {
  readonly self: PeerIdentity;
  readonly seeds: readonly PeerAddress[];
  readonly neighbours: number;
  readonly maxInbound: number;
  readonly heartbeatIntervalMs: number;
  /** Silence after which a neighbour is suspected. */
  readonly suspectAfterMs: number;
  /** Time a suspect has to refute. */
  readonly deadAfterMs: number;
  readonly random: RandomSource;
  readonly counters: CounterSink;
}

/** Told of changes to the set of overlay neighbours. */
export interface NeighbourListener {
  neighbourUp(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void;
  neighbourDown(peerId: string, nowMs: number, effects: ControlEffect[]): void;
  /** The heartbeat to send now. */
  heartbeatMessage(): HeartbeatMessage;
}

/** The membership of one node. */
export class Membership {
  readonly members: MemberTable;
  private readonly links = new Map<string, PeerLink>();
  private readonly probes = new LinkProbes();
  private readonly flood: MemberFlood;
  private readonly overlay: Overlay;
  private readonly self: SelfClaim;
  private readonly counters: CounterSink;
  private heartbeatAt = Infinity;
  private sweepAt = Infinity;

  constructor(
    private readonly options: MembershipOptions,
    private readonly listener: NeighbourListener,
    machines: MachineIndex,
  ) {
    this.members = new MemberTable(machines, options.deadAfterMs);
    this.flood = new MemberFlood(options.random, options.counters);
    this.overlay = new Overlay(options, this.links, this.members, machines);
    this.self = new SelfClaim(options.self);
    this.counters = options.counters;
  }

  /** Time of the next `wake` that is needed, in milliseconds. */
  nextWakeAt(): number {
    return Math.min(
      this.heartbeatAt,
      this.sweepAt,
      this.overlay.nextWakeAt(),
      this.flood.nextFlushAt(),
      this.members.nextExpiryAt(),
      this.probes.nextExpiryAt(),
    );
  }

  /** Open overlay links whose peer is a neighbour. */
  neighbours(): PeerIdentity[] {
    return [...this.links.values()].filter((link) => link.isConfirmed).map((link) => link.peer);
  }

  /** Whether the peer is an overlay neighbour or about to become one. */
  isOverlayPeer(peerId: string): boolean {
    const role = this.links.get(peerId)?.role;
    return role === 'outbound' || role === 'inbound';
  }

  /** Status of a machine; undefined when nothing is known of it. */
  status(machineId: string): MemberStatus | undefined {
    if (machineId === this.options.self.id) {
      return this.self.status;
    }
    const status = this.members.status(machineId);
    return status === 'alive' && this.probes.has(machineId) ? 'suspect' : status;
  }

  /** The process started. */
  start(nowMs: number): void {
    this.heartbeatAt = nowMs + this.options.random() * this.options.heartbeatIntervalMs;
    this.sweepAt = nowMs + MEMBER_SWEEP_INTERVAL_MS * (0.5 + this.options.random());
    this.overlay.start(nowMs);
  }

  /** A planned stop: the fleet is told at once. */
  stop(nowMs: number, effects: ControlEffect[]): void {
    this.overlay.stop();
    this.flood.queue(this.self.leave(), undefined, nowMs);
    this.flood.flush(this.neighbourIds(), nowMs, effects, true);
  }

  /** A newer machine list came into force. */
  setMachines(machines: MachineIndex, nowMs: number): void {
    this.members.setMachines(machines);
    this.overlay.setMachines(machines, nowMs);
  }

  /** The node was paused: heartbeats go out first, and nobody is blamed for the pause. */
  grantGrace(nowMs: number): void {
    this.counters.add(CONTROL_COUNTERS.lateWakes);
    this.members.grantGrace(nowMs);
    this.probes.grantGrace(nowMs);
    for (const link of this.links.values()) {
      link.heardAt = nowMs;
    }
    this.heartbeatAt = Math.min(this.heartbeatAt, nowMs);
  }

  /** Acts on what is due. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    if (nowMs >= this.heartbeatAt) {
      this.beat(nowMs, effects);
    }
    if (nowMs >= this.probes.nextExpiryAt()) {
      for (const peer of this.probes.takeExpired(nowMs)) {
        this.suspect(peer, nowMs);
      }
    }
    if (nowMs >= this.members.nextExpiryAt()) {
      this.expireSuspects(nowMs, effects);
    }
    this.overlay.wake(nowMs, effects);
    this.flood.flush(this.neighbourIds(), nowMs, effects);
    if (nowMs >= this.sweepAt) {
      this.members.sweep(nowMs);
      this.sweepAt = nowMs + MEMBER_SWEEP_INTERVAL_MS;
    }
  }

  /** A link opened. */
  peerUp(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    if (peer.id === this.options.self.id) {
      return;
    }
    this.noteEvidence(peer, nowMs, effects);
    const wasProbe = this.probes.succeeded(peer);
    const known = this.links.get(peer.id);
    if (known !== undefined && known.peer.incarnation === peer.incarnation) {
      return;
    }
    if (known !== undefined) {
      this.closeLink(known, nowMs, effects);
    }
    const dial = this.overlay.claimLink(peer);
    const link: PeerLink = {
      peer,
      role: dial === undefined ? 'transient' : 'outbound',
      place: dial?.place ?? 'contact',
      isConfirmed: false,
      heardAt: nowMs,
      usedAt: nowMs,
      replaces: dial?.replaces,
    };
    if (dial === undefined && wasProbe) {
      effects.push({ type: 'hang-up', peerId: peer.id });
      return;
    }
    this.links.set(peer.id, link);
    if (dial !== undefined) {
      effects.push({ type: 'send', to: peer.id, message: this.listener.heartbeatMessage() });
    }
  }

  /** The last link to a peer closed. A lost neighbour is suspected until a probe reaches it. */
  peerDown(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    const link = this.links.get(peer.id);
    if (link === undefined) {
      return;
    }
    const wasNeighbour = link.isConfirmed;
    this.closeLink(link, nowMs, effects);
    if (wasNeighbour && this.status(peer.id) !== 'leaving' && this.self.status === 'alive') {
      this.probes.begin(link.peer, nowMs);
      const { address, controlPort } = link.peer;
      effects.push({ type: 'dial', target: { address, controlPort } });
    }
  }

  /** A dial failed. */
  dialFailed(target: PeerAddress, nowMs: number): void {
    this.overlay.dialFailed(target, nowMs);
    const peer = this.probes.failed(target);
    if (peer !== undefined) {
      this.suspect(peer, nowMs);
    }
  }

  /** Any message arrived on a link; `isOverlayTraffic` for those that keep no other link open. */
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

  /** Another part of the control plane uses the link. */
  used(peerId: string, nowMs: number): void {
    const link = this.links.get(peerId);
    if (link !== undefined) {
      link.usedAt = nowMs;
    }
  }

  /** A heartbeat arrived: the peer is, or wants to be, a neighbour. */
  handleHeartbeat(peerId: string, nowMs: number, effects: ControlEffect[]): void {
    const link = this.links.get(peerId);
    if (link === undefined || link.isConfirmed) {
      return;
    }
    if (link.role === 'transient') {
      if (!this.overlay.acceptsInbound() || this.self.status !== 'alive') {
        this.counters.add(CONTROL_COUNTERS.inboundRefused);
        this.closeLink(link, nowMs, effects);
        effects.push({ type: 'hang-up', peerId });
        return;
      }
      link.role = 'inbound';
      effects.push({ type: 'send', to: peerId, message: this.listener.heartbeatMessage() });
    }
    this.confirm(link, nowMs, effects);
  }

  /** Claims about members arrived. */
  handleMembers(
    from: string,
    updates: readonly MemberUpdate[],
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    for (const update of updates) {
      if (update.member.id === this.options.self.id) {
        this.answerClaim(update, nowMs);
        continue;
      }
      const news = this.members.apply(update, nowMs);
      if (news === undefined) {
        this.flood.heardAgain(update, from);
      } else {
        this.flood.queue(news, from, nowMs);
        this.logChange(news, effects);
      }
    }
  }

  private beat(nowMs: number, effects: ControlEffect[]): void {
    this.heartbeatAt = nowMs + this.options.heartbeatIntervalMs;
    this.closeStaleLinks(nowMs, effects);
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
  }

  private closeStaleLinks(nowMs: number, effects: ControlEffect[]): void {
    for (const link of this.links.values()) {
      const isIdle = link.role === 'transient' && nowMs - link.usedAt >= TRANSIENT_IDLE_MS;
      const isSilent =
        link.role !== 'transient' && nowMs - link.heardAt >= this.options.suspectAfterMs;
      if (isIdle || isSilent) {
        const wasNeighbour = link.isConfirmed;
        this.giveUp(link, nowMs, effects);
        if (wasNeighbour) {
          this.suspect(link.peer, nowMs);
        }
      }
    }
  }

  private giveUp(link: PeerLink, nowMs: number, effects: ControlEffect[]): void {
    this.closeLink(link, nowMs, effects);
    effects.push({ type: 'hang-up', peerId: link.peer.id });
  }

  private closeLink(link: PeerLink, nowMs: number, effects: ControlEffect[]): void {
    this.links.delete(link.peer.id);
    this.overlay.lost(link, link.isConfirmed, nowMs);
    if (link.isConfirmed) {
      link.isConfirmed = false;
      this.listener.neighbourDown(link.peer.id, nowMs, effects);
    }
  }

  private confirm(link: PeerLink, nowMs: number, effects: ControlEffect[]): void {
    link.isConfirmed = true;
    if (link.role === 'outbound') {
      this.overlay.confirmed(link);
    }
    this.listener.neighbourUp(link.peer, nowMs, effects);
    this.synchronise(link.peer.id, effects);
    const old = link.replaces === undefined ? undefined : this.links.get(link.replaces);
    if (old?.role === 'outbound') {
      this.giveUp(old, nowMs, effects);
    }
    link.replaces = undefined;
  }

  /** Tells a new neighbour who is leaving: work must not be sent to those. */
  private synchronise(peerId: string, effects: ControlEffect[]): void {
    const updates: MemberUpdate[] = [];
    for (const record of this.members.all()) {
      if (record.status === 'leaving' && updates.length < MAX_SYNCED_UPDATES) {
        updates.push({ member: record.identity, status: record.status });
      }
    }
    if (updates.length > 0) {
      effects.push({ type: 'send', to: peerId, message: { type: 'members', updates } });
    }
  }

  /** A link proves that the peer lives: a newer incarnation is news, an accused one is told. */
  private noteEvidence(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    const held = this.members.record(peer.id);
    const news = this.members.apply({ member: peer, status: 'alive' }, nowMs);
    if (news !== undefined) {
      this.flood.queue(news, peer.id, nowMs);
    } else if (held !== undefined && held.status !== 'alive') {
      const claim = { member: held.identity, status: held.status };
      effects.push({ type: 'send', to: peer.id, message: { type: 'members', updates: [claim] } });
    }
  }

  private suspect(peer: PeerIdentity, nowMs: number): void {
    const incarnation = this.members.record(peer.id)?.identity.incarnation ?? peer.incarnation;
    const member = { ...peer, incarnation: Math.max(incarnation, peer.incarnation) };
    const news = this.members.apply({ member, status: 'suspect' }, nowMs);
    if (news !== undefined) {
      this.counters.add(CONTROL_COUNTERS.suspicions);
      this.flood.queue(news, undefined, nowMs);
    }
  }

  private expireSuspects(nowMs: number, effects: ControlEffect[]): void {
    for (const member of this.members.expire(nowMs)) {
      this.logChange({ member, status: 'dead' }, effects);
    }
  }

  private answerClaim(update: MemberUpdate, nowMs: number): void {
    const refutation = this.self.refute(update);
    if (refutation !== undefined) {
      this.counters.add(CONTROL_COUNTERS.refutations);
      this.flood.queue(refutation, undefined, nowMs);
    }
  }

  private logChange(update: MemberUpdate, effects: ControlEffect[]): void {
    if (update.status !== 'alive') {
      const detail = `${update.member.id} is ${update.status}`;
      effects.push({ type: 'state-change', what: 'member', detail });
    }
  }

  private *neighbourIds(): Iterable<string> {
    for (const link of this.links.values()) {
      if (link.isConfirmed) {
        yield link.peer.id;
      }
    }
  }
}

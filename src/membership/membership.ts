/**
 * Failure detection and membership: suspicion of unresponsive or disconnected neighbours,
 * refutation, and flooding of claims about members over the overlay links.
 */
import type { ControlEffect, CounterSink } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { HeartbeatMessage, MemberStatus, MemberUpdate } from '../wire/message.js';
import { LinkProbes } from './link-probes.js';
import type { MachineIndex } from './machine-index.js';
import { MemberFlood } from './member-flood.js';
import { MEMBER_SWEEP_INTERVAL_MS, MemberTable } from './member-table.js';
import {
  NeighbourLinks,
  type NeighbourLinkOptions,
  type NeighbourListener,
} from './neighbour-links.js';
import type { PeerAddress, PeerIdentity } from './peer-identity.js';
import { SelfClaim } from './self-claim.js';

/** Maximum number of claims about leaving members that are sent to a new neighbour. */
const MAX_SYNCED_UPDATES = 32;
/** Mean interval between dials to dead members, in milliseconds. */
export const RECHECK_INTERVAL_MS = 10_000;

/** Options of the membership; times in milliseconds. */
export interface MembershipOptions extends NeighbourLinkOptions {
  /** Time that a suspect has to refute the suspicion. */
  readonly deadAfterMs: number;
}

/** Membership state of one node. */
export class Membership {
  readonly members: MemberTable;
  readonly links: NeighbourLinks;
  private readonly probes = new LinkProbes();
  private readonly flood: MemberFlood;
  private readonly self: SelfClaim;
  private readonly counters: CounterSink;
  private sweepAt = Infinity;
  private recheckAt = Infinity;

  constructor(
    private readonly options: MembershipOptions,
    listener: NeighbourListener,
    machines: MachineIndex,
  ) {
    this.members = new MemberTable(machines, options.deadAfterMs);
    this.links = new NeighbourLinks(options, listener, this.members, machines);
    this.flood = new MemberFlood(options.random, options.counters);
    this.self = new SelfClaim(options.self);
    this.counters = options.counters;
  }

  /** Time at which {@link wake} must be called next, in milliseconds. */
  nextWakeAt(): number {
    return Math.min(
      this.sweepAt,
      this.recheckAt,
      this.links.nextWakeAt(),
      this.flood.nextFlushAt(),
      this.members.nextExpiryAt(),
      this.probes.nextExpiryAt(),
    );
  }

  /** Status of a machine; undefined if the machine is unknown. */
  status(machineId: string): MemberStatus | undefined {
    if (machineId === this.options.self.id) {
      return this.self.status;
    }
    const status = this.members.status(machineId);
    return status === 'alive' && this.probes.has(machineId) ? 'suspect' : status;
  }

  start(nowMs: number): void {
    this.sweepAt = nowMs + MEMBER_SWEEP_INTERVAL_MS * (0.5 + this.options.random());
    this.scheduleRecheck(nowMs);
    this.links.start(nowMs);
  }

  /** Starts a planned stop: announces the departure to the neighbours immediately. */
  stop(nowMs: number, effects: ControlEffect[]): void {
    this.links.stop();
    this.recheckAt = Infinity;
    this.flood.queue(this.self.leave(), undefined, nowMs);
    this.flood.flush(this.links.neighbourIds(), nowMs, effects);
  }

  setMachines(machines: MachineIndex, nowMs: number): void {
    this.members.setMachines(machines);
    this.links.setMachines(machines, nowMs);
  }

  /**
   * Restarts all timeouts after a pause of this process, so that no peer is suspected because of
   * it. The next wake sends heartbeats first.
   */
  restartTimeouts(nowMs: number): void {
    this.counters.add(CONTROL_COUNTERS.lateWakes);
    this.members.restartTimeouts(nowMs);
    this.probes.restartTimeouts(nowMs);
    this.links.restartTimeouts(nowMs);
  }

  /** Handles all timers that are due. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    for (const peer of this.links.wake(nowMs, effects)) {
      this.suspect(peer, nowMs);
    }
    if (nowMs >= this.probes.nextExpiryAt()) {
      for (const peer of this.probes.takeExpired(nowMs)) {
        this.suspect(peer, nowMs);
      }
    }
    if (nowMs >= this.members.nextExpiryAt()) {
      for (const member of this.members.expire(nowMs)) {
        logChange({ member, status: 'dead' }, effects);
      }
    }
    if (nowMs >= this.flood.nextFlushAt()) {
      this.flood.flush(this.links.neighbourIds(), nowMs, effects);
    }
    if (nowMs >= this.recheckAt) {
      this.recheck(nowMs, effects);
    }
    if (nowMs >= this.sweepAt) {
      this.members.sweep(nowMs);
      this.sweepAt = nowMs + MEMBER_SWEEP_INTERVAL_MS;
    }
  }

  /** Handles an opened link. */
  peerUp(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    if (peer.id !== this.options.self.id) {
      this.recordLinkOpened(peer, nowMs, effects);
      this.links.linkOpened(peer, this.probes.succeeded(peer), nowMs, effects);
    }
  }

  /**
   * Handles the close of the last link to a peer. A disconnected neighbour is suspect on this node
   * until a probe shows whether the peer failed or only closed the link. The suspicion is flooded
   * only if the probe fails.
   */
  peerDown(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    const wasNeighbour = this.links.lost(peer.id, nowMs, effects);
    const isExpected = this.self.status === 'leaving' || this.status(peer.id) === 'leaving';
    if (wasNeighbour && !isExpected) {
      this.probes.begin(peer, nowMs);
      const { address, controlPort } = peer;
      effects.push({ type: 'dial', target: { address, controlPort } });
    }
  }

  /** Handles a failed dial. */
  dialFailed(target: PeerAddress, nowMs: number): void {
    this.links.dialFailed(target, nowMs);
    const peer = this.probes.failed(target);
    if (peer !== undefined) {
      this.suspect(peer, nowMs);
    }
  }

  /**
   * Handles a heartbeat. A new neighbour is sent the leaving members, which must get no new work.
   */
  handleHeartbeat(
    peerId: string,
    message: HeartbeatMessage,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    if (this.links.handleHeartbeat(peerId, message, nowMs, effects)) {
      this.sendLeavingMembers(peerId, effects);
    }
  }

  /** Handles claims about members. */
  handleMembers(
    from: string,
    updates: readonly MemberUpdate[],
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    this.links.memberUpdatesReceived(from, nowMs);
    for (const update of updates) {
      if (update.member.id === this.options.self.id) {
        this.refuteClaim(from, update, nowMs, effects);
        continue;
      }
      const change = this.members.apply(update, nowMs);
      if (change === undefined) {
        this.flood.duplicateReceived(update, from);
      } else {
        this.flood.queue(change, from, nowMs);
        logChange(change, effects);
      }
    }
  }

  private sendLeavingMembers(peerId: string, effects: ControlEffect[]): void {
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

  /**
   * Records an opened link, which proves that the peer is alive: floods a newer incarnation and
   * sends the peer the recorded claim about it, if it is not alive, so that the peer can refute it.
   */
  private recordLinkOpened(peer: PeerIdentity, nowMs: number, effects: ControlEffect[]): void {
    const change = this.members.apply({ member: peer, status: 'alive' }, nowMs);
    const held = this.members.record(peer.id);
    if (change !== undefined) {
      this.flood.queue(change, peer.id, nowMs);
    } else if (held !== undefined && held.status !== 'alive') {
      const claim = { member: held.identity, status: held.status };
      effects.push({ type: 'send', to: peer.id, message: { type: 'members', updates: [claim] } });
    }
  }

  private suspect(peer: PeerIdentity, nowMs: number): void {
    const held = this.members.record(peer.id)?.identity.incarnation ?? 0;
    const member = { ...peer, incarnation: Math.max(held, peer.incarnation) };
    const change = this.members.apply({ member, status: 'suspect' }, nowMs);
    if (change !== undefined) {
      this.counters.add(CONTROL_COUNTERS.suspicions);
      this.flood.queue(change, undefined, nowMs);
    }
  }

  /** Sends a refutation to the sender of the claim, which may not be a neighbour, and floods it. */
  private refuteClaim(
    from: string,
    update: MemberUpdate,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const refutation = this.self.refute(update);
    if (refutation !== undefined) {
      this.counters.add(CONTROL_COUNTERS.refutations);
      this.flood.queue(refutation, from, nowMs);
      const message = { type: 'members', updates: [refutation] } as const;
      effects.push({ type: 'send', to: from, message });
    }
  }

  /**
   * Dials one dead member. If it is alive, as after a healed partition, the link lets it refute the
   * claim. This clears every wrong claim, even about members to which no node with the claim has a
   * link.
   */
  private recheck(nowMs: number, effects: ControlEffect[]): void {
    this.scheduleRecheck(nowMs);
    const member = this.members.randomDead(this.options.random);
    if (member !== undefined) {
      const { address, controlPort } = member;
      effects.push({ type: 'dial', target: { address, controlPort } });
    }
  }

  private scheduleRecheck(nowMs: number): void {
    this.recheckAt = nowMs + RECHECK_INTERVAL_MS * (0.5 + this.options.random());
  }
}

function logChange(update: MemberUpdate, effects: ControlEffect[]): void {
  if (update.status !== 'alive') {
    const detail = `${update.member.id} is ${update.status}`;
    effects.push({ type: 'state-change', what: 'member', detail });
  }
}

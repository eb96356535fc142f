/**
 * Keeps a bounded number of overlay links: dials a few targets spread over zones and regions, accepts
 * a bounded number, replaces those that are gone and now and then exchanges one.
 */
import type { ControlEffect, CounterSink, RandomSource } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import {
  DialCandidates,
  LINK_SCOPES,
  addressKey,
  type DialCandidate,
  type LinkScope,
} from './dial-candidates.js';
import { DialSchedule } from './dial-schedule.js';
import {
  missingLinks,
  noLinks,
  quotasFor,
  surplusLink,
  withFallback,
  type LinkCounts,
} from './link-quotas.js';
import type { MachineIndex } from './machine-index.js';
import type { MemberTable } from './member-table.js';
import { distanceBetween, type PeerAddress, type PeerIdentity } from './peer-identity.js';
import type { PeerLink } from './peer-link.js';

/** Time after which an unanswered dial counts as failed, in milliseconds. */
export const DIAL_TIMEOUT_MS = 5_000;
/** Longest wait before the first dials of a process, in milliseconds. */
export const MAX_START_DELAY_MS = 300;
/** Mean time between two exchanges of a neighbour, in milliseconds. */
export const RESHUFFLE_INTERVAL_MS = 600_000;
/** Failures in a row after which a place's links are sought elsewhere, too. */
const FAILURES_BEFORE_FALLBACK = 3;

/** Numbers of the overlay. */
export interface OverlayOptions {
  readonly self: PeerIdentity;
  readonly seeds: readonly PeerAddress[];
  /** Links to dial. */
  readonly neighbours: number;
  /** Links to accept at most. */
  readonly maxInbound: number;
  readonly random: RandomSource;
  readonly counters: CounterSink;
}

/** What a dial is for. */
export interface DialPurpose {
  readonly scope: LinkScope;
  /** Neighbour that is given up once the dialled one confirms. */
  readonly replaces: string | undefined;
}

interface PendingDial extends DialPurpose {
  readonly deadline: number;
}

/** Decides on overlay links; `links` is shared with the membership that owns it. */
export class Overlay {
  private readonly candidates: DialCandidates;
  private readonly schedules: Record<LinkScope, DialSchedule>;
  private readonly pending = new Map<string, PendingDial>();
  private desired: LinkCounts;
  private maintainAt = Infinity;
  private reshuffleAt = Infinity;
  private isStopping = false;

  constructor(
    private readonly options: OverlayOptions,
    private readonly links: ReadonlyMap<string, PeerLink>,
    members: MemberTable,
    private machines: MachineIndex,
  ) {
    const { self, seeds, random } = options;
    this.candidates = new DialCandidates(self, seeds, members, random);
    this.schedules = {
      zone: new DialSchedule(random),
      region: new DialSchedule(random),
      remote: new DialSchedule(random),
      contact: new DialSchedule(random),
    };
    this.desired = quotasFor(self, options.neighbours, machines);
  }

  /** The process started: dial soon, but not all processes at the same moment. */
  start(nowMs: number): void {
    this.maintainAt = nowMs + this.options.random() * MAX_START_DELAY_MS;
    this.scheduleReshuffle(nowMs);
  }

  /** A planned stop: no more dials. */
  stop(): void {
    this.isStopping = true;
    this.maintainAt = Infinity;
    this.reshuffleAt = Infinity;
  }

  /** Time at which {@link wake} has something to do, in milliseconds. */
  nextWakeAt(): number {
    return Math.min(this.maintainAt, this.reshuffleAt);
  }

  /** Acts on what is due. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    if (nowMs >= this.reshuffleAt) {
      this.reshuffle(nowMs, effects);
    }
    if (nowMs >= this.maintainAt) {
      this.maintain(nowMs, effects);
    }
  }

  /** A newer machine list came into force: links are counted by the places it names. */
  setMachines(machines: MachineIndex, nowMs: number): void {
    const { self, neighbours } = this.options;
    this.machines = machines;
    this.desired = quotasFor(self, neighbours, machines);
    if (this.desired.contact === 0) {
      for (const link of this.links.values()) {
        link.scope = distanceBetween(self, link.peer);
      }
    }
    this.requestMaintenance(nowMs);
  }

  /** A neighbour beyond those wanted, to be given up; undefined when there is none. */
  surplusLink(): PeerLink | undefined {
    return surplusLink(this.desired, this.options.neighbours, this.links.values());
  }

  /** A link opened: what it was dialled for, or undefined when the overlay did not dial it. */
  completeDial(peer: PeerIdentity): DialPurpose | undefined {
    const key = addressKey(peer);
    const dial = this.pending.get(key);
    this.pending.delete(key);
    return dial;
  }

  /** Whether one more inbound link may be accepted. */
  acceptsInbound(): boolean {
    let inbound = 0;
    for (const link of this.links.values()) {
      inbound += link.role === 'inbound' ? 1 : 0;
    }
    return inbound < this.options.maxInbound;
  }

  /** The peer of an outbound link confirmed it. */
  linkConfirmed(link: PeerLink): void {
    this.schedules[link.scope].succeeded();
  }

  /** A link closed; one that was never confirmed was refused. */
  lost(link: PeerLink, nowMs: number): void {
    if (link.role === 'outbound' && !link.isConfirmed) {
      this.schedules[link.scope].failed(nowMs);
    }
    this.requestMaintenance(nowMs);
  }

  /** A dial failed; dials of others are left alone. */
  dialFailed(target: PeerAddress, nowMs: number): void {
    const key = addressKey(target);
    const dial = this.pending.get(key);
    if (dial !== undefined) {
      this.pending.delete(key);
      this.recordFailure(dial, nowMs);
    }
  }

  /** Members were named by a peer that is no neighbour: it was full. */
  expediteContactDial(nowMs: number): void {
    this.schedules.contact.expedite(nowMs);
    this.requestMaintenance(nowMs);
  }

  private requestMaintenance(nowMs: number): void {
    if (!this.isStopping) {
      this.maintainAt = Math.min(this.maintainAt, nowMs);
    }
  }

  private recordFailure(dial: PendingDial, nowMs: number): void {
    this.options.counters.add(CONTROL_COUNTERS.dialFailures);
    if (dial.replaces === undefined) {
      this.schedules[dial.scope].failed(nowMs);
    }
    this.requestMaintenance(nowMs);
  }

  /** Dials for every place that has too few links, and plans the next look. */
  private maintain(nowMs: number, effects: ControlEffect[]): void {
    this.expireDials(nowMs);
    const missing = withFallback(
      missingLinks(this.desired, this.links.values(), this.pendingCounts()),
      this.desired,
      (scope) => this.schedules[scope].failures >= FAILURES_BEFORE_FALLBACK,
    );
    this.maintainAt = this.earliestDialDeadline();
    for (const scope of LINK_SCOPES) {
      this.dialFor(scope, missing[scope], nowMs, effects);
    }
  }

  private dialFor(
    scope: LinkScope,
    missing: number,
    nowMs: number,
    effects: ControlEffect[],
  ): void {
    const schedule = this.schedules[scope];
    for (let count = 0; count < missing && nowMs >= schedule.nextDialAt; count += 1) {
      if (!this.dialOne({ scope, replaces: undefined }, nowMs, effects)) {
        schedule.failed(nowMs);
      } else if (schedule.failures > 0) {
        break;
      }
    }
    if (missing > 0 && schedule.nextDialAt > nowMs) {
      this.maintainAt = Math.min(this.maintainAt, schedule.nextDialAt);
    }
  }

  private dialOne(purpose: DialPurpose, nowMs: number, effects: ControlEffect[]): boolean {
    const isAvailable = (candidate: DialCandidate): boolean => this.isAvailable(candidate);
    const target = this.candidates.pick(purpose.scope, this.machines, isAvailable);
    if (target === undefined) {
      return false;
    }
    const deadline = nowMs + DIAL_TIMEOUT_MS;
    this.pending.set(addressKey(target), { ...purpose, deadline });
    this.maintainAt = Math.min(this.maintainAt, deadline);
    this.options.counters.add(CONTROL_COUNTERS.dials);
    const { address, controlPort } = target;
    effects.push({ type: 'dial', target: { address, controlPort } });
    return true;
  }

  /** Neither linked nor being dialled. */
  private isAvailable(candidate: DialCandidate): boolean {
    const key = addressKey(candidate);
    if (this.pending.has(key)) {
      return false;
    }
    for (const link of this.links.values()) {
      if (link.peer.id === candidate.id || addressKey(link.peer) === key) {
        return false;
      }
    }
    return true;
  }

  private expireDials(nowMs: number): void {
    for (const [key, dial] of this.pending) {
      if (nowMs >= dial.deadline) {
        this.pending.delete(key);
        this.recordFailure(dial, nowMs);
      }
    }
  }

  private earliestDialDeadline(): number {
    let earliest = Infinity;
    for (const dial of this.pending.values()) {
      earliest = Math.min(earliest, dial.deadline);
    }
    return earliest;
  }

  private pendingCounts(): LinkCounts {
    const counts = noLinks();
    for (const dial of this.pending.values()) {
      counts[dial.scope] += dial.replaces === undefined ? 1 : 0;
    }
    return counts;
  }

  private scheduleReshuffle(nowMs: number): void {
    this.reshuffleAt = nowMs + RESHUFFLE_INTERVAL_MS * (0.5 + this.options.random());
  }

  /** Dials a substitute for one confirmed outbound neighbour; the old one goes when it is there. */
  private reshuffle(nowMs: number, effects: ControlEffect[]): void {
    this.scheduleReshuffle(nowMs);
    const outbound = [...this.links.values()].filter(
      (link) => link.role === 'outbound' && link.isConfirmed,
    );
    const replaced = outbound[Math.floor(this.options.random() * outbound.length)];
    if (replaced !== undefined) {
      this.dialOne({ scope: replaced.scope, replaces: replaced.peer.id }, nowMs, effects);
    }
  }
}

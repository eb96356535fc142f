/**
 * Maintains a bounded number of overlay links: dials a few peers spread over zones and regions,
 * accepts a bounded number of inbound links, replaces closed links and periodically exchanges one.
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
/** Maximum random delay before the first dials of a process, in milliseconds. */
export const MAX_START_DELAY_MS = 300;
/** Mean interval between exchanges of a neighbour, in milliseconds. */
export const RESHUFFLE_INTERVAL_MS = 600_000;
/** Consecutive failures in a scope after which its links are also sought in another scope. */
const FAILURES_BEFORE_FALLBACK = 3;

/** Options of the overlay. */
export interface OverlayOptions {
  readonly self: PeerIdentity;
  readonly seeds: readonly PeerAddress[];
  /** Number of links to dial. */
  readonly neighbours: number;
  /** Maximum number of inbound links. */
  readonly maxInbound: number;
  readonly random: RandomSource;
  readonly counters: CounterSink;
}

/** Purpose of a dial. */
export interface DialPurpose {
  readonly scope: LinkScope;
  /** Neighbour whose link is closed once the dialled peer confirms. */
  readonly replaces: string | undefined;
}

interface PendingDial extends DialPurpose {
  readonly deadline: number;
}

/** Decides which overlay links to dial and accept. `links` is owned by {@link NeighbourLinks}. */
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

  /** Schedules the first dials after a random delay, so that processes do not all dial at once. */
  start(nowMs: number): void {
    this.maintainAt = nowMs + this.options.random() * MAX_START_DELAY_MS;
    this.scheduleReshuffle(nowMs);
  }

  /** Stops dialling, for a planned stop. */
  stop(): void {
    this.isStopping = true;
    this.maintainAt = Infinity;
    this.reshuffleAt = Infinity;
  }

  /** Time at which {@link wake} must be called next, in milliseconds. */
  nextWakeAt(): number {
    return Math.min(this.maintainAt, this.reshuffleAt);
  }

  /** Handles all timers that are due. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    if (nowMs >= this.reshuffleAt) {
      this.reshuffle(nowMs, effects);
    }
    if (nowMs >= this.maintainAt) {
      this.maintain(nowMs, effects);
    }
  }

  /** Replaces the machine list and recomputes quotas and link scopes from it. */
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

  /** A link in excess of the quotas, to be closed; undefined if there is none. */
  surplusLink(): PeerLink | undefined {
    return surplusLink(this.desired, this.options.neighbours, this.links.values());
  }

  /**
   * Returns the purpose of the dial that opened a link; undefined if the overlay did not dial it.
   */
  completeDial(peer: PeerIdentity): DialPurpose | undefined {
    const key = addressKey(peer);
    const dial = this.pending.get(key);
    this.pending.delete(key);
    return dial;
  }

  acceptsInbound(): boolean {
    let inbound = 0;
    for (const link of this.links.values()) {
      inbound += link.role === 'inbound' ? 1 : 0;
    }
    return inbound < this.options.maxInbound;
  }

  /** Resets the back-off of the scope of an outbound link that the peer confirmed. */
  linkConfirmed(link: PeerLink): void {
    this.schedules[link.scope].succeeded();
  }

  /** Handles a closed link. An outbound link that was never confirmed counts as refused. */
  lost(link: PeerLink, nowMs: number): void {
    if (link.role === 'outbound' && !link.isConfirmed) {
      this.schedules[link.scope].failed(nowMs);
    }
    this.requestMaintenance(nowMs);
  }

  /** Handles a failed dial; ignores dials that the overlay did not start. */
  dialFailed(target: PeerAddress, nowMs: number): void {
    const key = addressKey(target);
    const dial = this.pending.get(key);
    if (dial !== undefined) {
      this.pending.delete(key);
      this.recordFailure(dial, nowMs);
    }
  }

  /** Shortens the back-off when a peer that had no capacity left suggested other members. */
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

  /** Dials for every scope that has too few links, and schedules the next check. */
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

  /** Whether the candidate is neither linked nor being dialled. */
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

  /** Dials a replacement for one confirmed outbound neighbour, which is kept until then. */
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

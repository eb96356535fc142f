/**
 * Who grants which lease, as this node sees it.
 *
 * A zone's slots: the zone's five oldest machines on the held list. Two lists differ in machines
 * that are dead (gone from the newer one) and in younger machines, so of two majorities either both
 * contain a common live elector, or one has an elector that is new to the set. The latter waits for
 * `ENTRY_GUARD_DURATIONS` leases, by when leases granted by the dead have run out.
 *
 * The recovery slot: the seeds, which stand in the settings of every node.
 */
import type { ElectorateView } from '../control/control-ports.js';
import { addressKey, isTarget, type LinkTarget } from '../control/target-links.js';
import type { PeerAddress } from '../membership/peer-identity.js';
import type { Machine } from '../model/machine.js';
import { MAX_ELECTORS, RECOVERY_SLOT, zoneSlots, type ReaderShares } from './lease-terms.js';

/**
 * Leases for which an elector that is new to its zone's set grants nothing: one for the leases
 * granted by those whom it replaces, one for holders that learn of the new list later than it did.
 */
export const ENTRY_GUARD_DURATIONS = 2;
/** Rank of a node that no list and no seed names. */
const UNKNOWN_RANK = 32;

/** One elector, and where it listens. */
export interface ElectorTarget extends LinkTarget {
  /** Names the elector in a round: the machine's identity, or the seed's address and port. */
  readonly key: string;
}

/** What the electorate is made from. */
export interface ElectorateOptions {
  readonly view: ElectorateView;
  readonly seeds: readonly PeerAddress[];
  readonly readerShares: ReaderShares;
  readonly durationMs: number;
}

/** This node's view of the electors; `refresh` follows the machine list. */
export class Electorate {
  /** Slots of the own zone's share. */
  readonly slots: readonly string[];
  /** Electors of the recovery slot. */
  readonly recoveryElectors: readonly ElectorTarget[];
  /** Electors of the own zone's slots; empty while no list names any. */
  zoneElectors: readonly ElectorTarget[] = [];
  private machines: readonly Machine[] | undefined;
  private startedAtMs = Infinity;
  /** Since when this node is an elector of its zone; Infinity while it is not. */
  private electorSinceMs = Infinity;

  constructor(private readonly options: ElectorateOptions) {
    const { view, seeds, readerShares } = options;
    this.slots = zoneSlots(readerShares, view.identity.zone);
    const addresses = seeds.length === 0 ? [view.identity] : seeds;
    const targets = addresses.map(seedTarget);
    this.recoveryElectors = [...new Map(targets.map((target) => [target.key, target])).values()];
  }

  /** The process started: what it granted before is unknown. */
  start(nowMs: number): void {
    this.startedAtMs = nowMs;
  }

  /** The clock was advanced by so much although no time passed: guards end that much later. */
  postpone(byMs: number): void {
    this.startedAtMs += byMs;
    this.electorSinceMs += byMs;
  }

  /** Follows the held machine list; true when the zone's machines changed. */
  refresh(nowMs: number): boolean {
    const { identity } = this.options.view;
    const machines = this.options.view.machinesInZone(identity.zone);
    if (machines === this.machines || (machines.length === 0 && this.machines?.length === 0)) {
      return false;
    }
    this.machines = machines;
    this.zoneElectors = machines.slice(0, MAX_ELECTORS).map(machineTarget);
    if (!this.isZoneElector()) {
      this.electorSinceMs = Infinity;
    } else if (this.electorSinceMs === Infinity) {
      this.electorSinceMs = nowMs;
    }
    return true;
  }

  /** Whether the held list names no machine of any zone with a share. */
  isCold(): boolean {
    const { readerShares, view } = this.options;
    return Object.keys(readerShares).every((zone) => view.machinesInZone(zone).length === 0);
  }

  /** Until when this node may only renew leases of the slot; Infinity when it is no elector of it. */
  guardedUntilMs(slot: string): number {
    const { durationMs } = this.options;
    if (slot === RECOVERY_SLOT) {
      return this.isRecoveryElector() ? this.startedAtMs + durationMs : Infinity;
    }
    return this.slots.includes(slot)
      ? this.electorSinceMs + ENTRY_GUARD_DURATIONS * durationMs
      : Infinity;
  }

  isZoneElector(): boolean {
    return this.zoneElectors.some((target) => this.isSelf(target));
  }

  /** Whether this node is an elector of its zone and was not long enough to grant anything. */
  isEntering(nowMs: number): boolean {
    const guardMs = ENTRY_GUARD_DURATIONS * this.options.durationMs;
    return this.isZoneElector() && nowMs < this.electorSinceMs + guardMs;
  }

  isRecoveryElector(): boolean {
    return this.recoveryElectors.some((target) => this.isSelf(target));
  }

  /** Whether the target is this node. */
  isSelf(target: ElectorTarget): boolean {
    return isTarget(target, this.options.view.identity);
  }

  /** Position of this node among its zone's machines, 0 for the oldest. */
  zoneRank(): number {
    const { id } = this.options.view.identity;
    const rank = this.machines?.findIndex((machine) => machine.id === id) ?? -1;
    return rank < 0 ? Math.max(UNKNOWN_RANK, this.machines?.length ?? 0) : rank;
  }

  /** Position of this node among the seeds, then by zone rank. */
  recoveryRank(): number {
    const rank = this.recoveryElectors.findIndex((target) => this.isSelf(target));
    return rank < 0 ? this.recoveryElectors.length + this.zoneRank() : rank;
  }
}

function seedTarget(seed: PeerAddress): ElectorTarget {
  const { address, controlPort } = seed;
  return { key: addressKey(seed), id: undefined, address, controlPort };
}

function machineTarget({ id, address, controlPort }: Machine): ElectorTarget {
  return { key: id, id, address, controlPort };
}

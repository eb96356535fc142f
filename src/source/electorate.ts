/**
 * Determines which nodes grant which lease, according to this node's machine list.
 *
 * The electors of a zone's slots are the five oldest machines of the zone on the list. Two lists differ only in
 * dead machines (absent from the newer list) and in younger machines. Of two majorities, therefore, either both
 * contain the same live elector, or one contains an elector that is new to the set. A new elector waits for
 * `ENTRY_GUARD_DURATIONS` lease durations, after which leases granted by dead electors have expired.
 *
 * The electors of the recovery slot are the seeds, which are in the settings of every node.
 */
import type { ElectorateView } from '../control/control-ports.js';
import { addressKey, isTarget, type LinkTarget } from '../control/target-links.js';
import type { PeerAddress } from '../membership/peer-identity.js';
import type { Machine } from '../model/machine.js';
import { MAX_ELECTORS, RECOVERY_SLOT, zoneSlots, type ReaderShares } from './lease-terms.js';

/**
 * Lease durations for which an elector that is new to its zone's set grants nothing: one for leases granted by
 * the electors that it replaces, one for holders that receive the new list later than this elector.
 */
export const ENTRY_GUARD_DURATIONS = 2;
/** Minimum rank of a node that is not on the machine list. */
const UNKNOWN_RANK = 32;

/** One elector and its control address. */
export interface ElectorTarget extends LinkTarget {
  /** Identifies the elector within a round: the machine's identity, or the seed's address and port. */
  readonly key: string;
}

export interface ElectorateOptions {
  readonly view: ElectorateView;
  readonly seeds: readonly PeerAddress[];
  readonly readerShares: ReaderShares;
  readonly durationMs: number;
}

/** This node's view of the electors; `refresh` updates it from the machine list. */
export class Electorate {
  /** Slots in the share of this node's zone. */
  readonly slots: readonly string[];
  /** Electors of the recovery slot. */
  readonly recoveryElectors: readonly ElectorTarget[];
  /** Electors of the slots of this node's zone; empty while the machine list has none. */
  zoneElectors: readonly ElectorTarget[] = [];
  private machines: readonly Machine[] | undefined;
  private startedAtMs = Infinity;
  /** Time at which this node became an elector of its zone; Infinity while it is not one. */
  private electorSinceMs = Infinity;

  constructor(private readonly options: ElectorateOptions) {
    const { view, seeds, readerShares } = options;
    this.slots = zoneSlots(readerShares, view.identity.zone);
    const addresses = seeds.length === 0 ? [view.identity] : seeds;
    const targets = addresses.map(seedTarget);
    this.recoveryElectors = [...new Map(targets.map((target) => [target.key, target])).values()];
  }

  /** Records the start of the process; grants from before it are unknown. */
  start(nowMs: number): void {
    this.startedAtMs = nowMs;
  }

  /** Extends the guard periods by `byMs`, after the clock was set forward by that amount. */
  postpone(byMs: number): void {
    this.startedAtMs += byMs;
    this.electorSinceMs += byMs;
  }

  /** Updates the electors from the current machine list; returns whether the zone's machines changed. */
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

  /** Whether the machine list contains no machine in any zone that has a share. */
  hasNoMachines(): boolean {
    const { readerShares, view } = this.options;
    return Object.keys(readerShares).every((zone) => view.machinesInZone(zone).length === 0);
  }

  /** Time until which this node may only renew leases of the slot; Infinity if it is not one of its electors. */
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

  /** Whether this node is an elector of its zone but has not been one long enough to grant leases. */
  isInEntryGuard(nowMs: number): boolean {
    const guardMs = ENTRY_GUARD_DURATIONS * this.options.durationMs;
    return this.isZoneElector() && nowMs < this.electorSinceMs + guardMs;
  }

  isRecoveryElector(): boolean {
    return this.recoveryElectors.some((target) => this.isSelf(target));
  }

  isSelf(target: ElectorTarget): boolean {
    return isTarget(target, this.options.view.identity);
  }

  /** Position of this node among its zone's machines; 0 for the oldest. */
  zoneRank(): number {
    const { id } = this.options.view.identity;
    const rank = this.machines?.findIndex((machine) => machine.id === id) ?? -1;
    return rank < 0 ? Math.max(UNKNOWN_RANK, this.machines?.length ?? 0) : rank;
  }

  /** Position of this node among the seeds; nodes that are not seeds follow in order of their zone rank. */
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

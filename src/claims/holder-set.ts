/**
 * The machines that hold a group's claims according to this node: the five oldest machines of the
 * group in its current machine list. As for readers, two versions of the list differ only in dead
 * and in younger machines. Two majorities therefore either share a live holder that has the claims,
 * or one of them contains a new holder, which synchronizes with the others first.
 */
import { fleetGroupOf } from '../control/fleet-group.js';
import type { OldestMachinesView } from '../control/control-ports.js';
import type { LinkTarget } from '../control/target-links.js';
import type { Machine } from '../model/machine.js';

/** A machine that holds claims. */
export interface Holder extends LinkTarget {
  readonly id: string;
}

/** Holders of one group, derived from the machine list. */
export class HolderSet {
  holders: readonly Holder[] = [];
  private machines: readonly Machine[] | undefined;

  constructor(
    private readonly view: OldestMachinesView,
    private readonly group: number,
    private readonly groups: number,
  ) {}

  /** Rereads the machine list; returns true if it changed. */
  refresh(): boolean {
    const machines = this.view.oldestMachines(this.group, this.groups);
    if (machines === this.machines) {
      return false;
    }
    this.machines = machines;
    this.holders = machines.map(({ id, address, controlPort }) => ({ id, address, controlPort }));
    return true;
  }

  isMember(): boolean {
    return this.holders.some((holder) => this.isSelf(holder));
  }

  otherHolders(): Holder[] {
    return this.holders.filter((holder) => !this.isSelf(holder));
  }

  isSelf(holder: Holder): boolean {
    return holder.id === this.view.identity.id;
  }
}

/** The holders of all groups. */
export class HolderGroups {
  /** Holders of this machine's group, which may include this machine. */
  readonly own: HolderSet;
  private readonly ownGroup: number;
  private readonly otherGroups = new Map<number, HolderSet>();

  /** `groups`: number of groups into which machines and claims are partitioned. */
  constructor(
    private readonly view: OldestMachinesView,
    private readonly groups: number,
  ) {
    this.ownGroup = fleetGroupOf(view.identity.id, groups);
    this.own = new HolderSet(view, this.ownGroup, groups);
  }

  /** Whether the claim belongs to this machine's group. */
  isOwn(claim: string): boolean {
    return fleetGroupOf(claim, this.groups) === this.ownGroup;
  }

  /** Holders of the claim. Holders of other groups are derived from the current machine list. */
  of(claim: string): HolderSet {
    if (this.isOwn(claim)) {
      return this.own;
    }
    const group = fleetGroupOf(claim, this.groups);
    const set = this.otherGroups.get(group) ?? new HolderSet(this.view, group, this.groups);
    this.otherGroups.set(group, set);
    set.refresh();
    return set;
  }
}

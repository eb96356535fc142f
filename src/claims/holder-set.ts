/**
 * Which machines hold a group's claims, as this node sees it: the group's five oldest on the held
 * list. As for readers, two lists differ in dead and in younger machines, so of two majorities both contain
 * the same live holder that remembers, or one contains a new holder, which asks the others first.
 */
import { fleetGroupOf } from '../control/fleet-group.js';
import type { OldestMachinesView } from '../control/control-ports.js';
import type { LinkTarget } from '../control/target-links.js';
import type { Machine } from '../model/machine.js';

/** One holder. */
export interface Holder extends LinkTarget {
  readonly id: string;
}

/** Follows the machine list. */
export class HolderSet {
  holders: readonly Holder[] = [];
  private machines: readonly Machine[] | undefined;

  constructor(
    private readonly view: OldestMachinesView,
    private readonly group: number,
    private readonly groups: number,
  ) {}

  /** Follows the held list; true when it changed. */
  refresh(): boolean {
    const machines = this.view.oldestMachines(this.group, this.groups);
    if (machines === this.machines) {
      return false;
    }
    this.machines = machines;
    this.holders = machines.map(({ id, address, controlPort }) => ({ id, address, controlPort }));
    return true;
  }

  /** Whether this node is a holder. */
  isMember(): boolean {
    return this.holders.some((holder) => this.isSelf(holder));
  }

  /** Holders other than this node. */
  others(): Holder[] {
    return this.holders.filter((holder) => !this.isSelf(holder));
  }

  isSelf(holder: Holder): boolean {
    return holder.id === this.view.identity.id;
  }
}

/** The holders of all groups. */
export class HolderGroups {
  /** Holders of the group of this machine; it may be one of them. */
  readonly own: HolderSet;
  private readonly ownGroup: number;
  private readonly others = new Map<number, HolderSet>();

  /** `groups`: how many groups machines and claims are divided into. */
  constructor(
    private readonly view: OldestMachinesView,
    private readonly groups: number,
  ) {
    this.ownGroup = fleetGroupOf(view.identity.id, groups);
    this.own = new HolderSet(view, this.ownGroup, groups);
  }

  /** Whether the claim belongs to the group of this machine. */
  isOwn(claim: string): boolean {
    return fleetGroupOf(claim, this.groups) === this.ownGroup;
  }

  /** Holders of the claim; those of other groups by the list that is held now. */
  of(claim: string): HolderSet {
    if (this.isOwn(claim)) {
      return this.own;
    }
    const group = fleetGroupOf(claim, this.groups);
    const set = this.others.get(group) ?? new HolderSet(this.view, group, this.groups);
    this.others.set(group, set);
    set.refresh();
    return set;
  }
}

/**
 * Which machines hold the fleet's claims, as this node sees it: the five oldest on the held list. As
 * for readers, two lists differ in dead and in younger machines, so of two majorities both contain
 * the same live holder that remembers, or one contains a new holder, which asks the others first.
 */
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

  constructor(private readonly view: OldestMachinesView) {}

  /** Follows the held list; true when it changed. */
  refresh(): boolean {
    const machines = this.view.oldestMachines();
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

/**
 * Provides the replication's view of the fleet, from the members and the platform's machine list.
 */
import type { FleetView } from '../control/control-ports.js';
import type { PeerAddress, PeerIdentity } from '../membership/peer-identity.js';
import type { Machine } from '../model/machine.js';
import type { ReplicationFleet } from './replica-options.js';

/** Adapts a {@link FleetView} to the replication's port. */
export class FleetAdapter implements ReplicationFleet {
  /**
   * Machines that this process has seen in any machine list. The list lags behind the fleet, so a
   * machine that was never listed may only be too new for it.
   */
  private readonly everListedIds = new Set<string>();
  private lastMachineList: ReadonlyMap<string, Machine> | undefined;

  constructor(private readonly view: FleetView) {}

  liveMembers(): readonly PeerIdentity[] {
    const listed = this.view.listedMachines();
    return this.view
      .members()
      .filter(({ member, status }) => status === 'alive' && member.incarnation > 0)
      .map(({ member }) => member)
      .filter(({ id }) => !this.isLeaving(id) && !this.isGone(id))
      .sort((left, right) => compareSeniority(listed, left.id, right.id));
  }

  addressOf(id: string): PeerAddress | undefined {
    const listed = this.view.listedMachines().get(id);
    return listed ?? this.view.members().find(({ member }) => member.id === id)?.member;
  }

  isGone(id: string): boolean {
    const listed = this.view.listedMachines();
    if (listed !== this.lastMachineList) {
      this.lastMachineList = listed;
      for (const listedId of listed.keys()) {
        this.everListedIds.add(listedId);
      }
    }
    return this.everListedIds.has(id) && !listed.has(id);
  }

  isLeaving(id: string): boolean {
    const isListedLeaving = this.view.listedMachines().get(id)?.state === 'leaving';
    return isListedLeaving || this.view.memberStatus(id) === 'leaving';
  }
}

/** Orders by ascending seniority; unlisted machines come last, ordered by identity. */
function compareSeniority(
  listed: ReadonlyMap<string, Machine>,
  left: string,
  right: string,
): number {
  const leftSeniority = listed.get(left)?.seniority ?? Infinity;
  const rightSeniority = listed.get(right)?.seniority ?? Infinity;
  if (leftSeniority !== rightSeniority) {
    return leftSeniority - rightSeniority;
  }
  return left < right ? -1 : 1;
}

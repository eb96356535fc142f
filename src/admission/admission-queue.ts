/**
 * Requests that wait for a slot of one endpoint: the most urgent rank first, within a rank one
 * caller's node after the other. Pure.
 */

/** A request that asks for a slot. */
export interface AdmissionTicket {
  readonly requestId: string;
  /** Machine identity of the caller's node: slots are shared fairly among these. */
  readonly callerNode: string;
  readonly deadlineAtMs: number;
  /** Rank; 0, the default, goes first. */
  readonly priority?: number;
  /** Requests of one class take about equally long. */
  readonly workClass?: string;
  /** Until when the answer should be there; the deadline when absent. */
  readonly targetAtMs?: number | undefined;
  /** Until when the request waits for a slot; while it can still be in time if absent. */
  readonly startByMs?: number | undefined;
}

/** Tickets of one rank by caller's node, the nodes in the order of their turns. */
type Rank = Map<string, AdmissionTicket[]>;

/** Where a ticket can be taken out for another one. */
interface Displaceable {
  readonly rank: number;
  readonly queues: Rank;
  readonly tickets: AdmissionTicket[];
}

/** The rank of a ticket. */
export function rankOf({ priority = 0 }: AdmissionTicket): number {
  return priority;
}

/** The queue. */
export class AdmissionQueue {
  private readonly ranks = new Map<number, Rank>();
  private count = 0;

  /** Requests that wait. */
  get size(): number {
    return this.count;
  }

  /** Requests that wait and are at least as urgent as `rank`. */
  countUpTo(rank: number): number {
    let count = 0;
    for (const [other, queues] of this.ranks) {
      if (other <= rank) {
        queues.forEach((tickets) => {
          count += tickets.length;
        });
      }
    }
    return count;
  }

  /** Puts a ticket at the end of its node's requests of its rank. */
  push(ticket: AdmissionTicket): void {
    const rank = rankOf(ticket);
    const queues: Rank = this.ranks.get(rank) ?? new Map<string, AdmissionTicket[]>();
    const tickets = queues.get(ticket.callerNode) ?? [];
    tickets.push(ticket);
    queues.set(ticket.callerNode, tickets);
    this.ranks.set(rank, queues);
    this.count += 1;
  }

  /** Takes the next ticket; the node whose turn it was goes to the end of its rank. */
  takeNext(): AdmissionTicket | undefined {
    const rank = this.extremeRank(Math.min);
    const queues = rank === undefined ? undefined : this.ranks.get(rank);
    const [first] = queues ?? [];
    if (queues === undefined || rank === undefined || first === undefined) {
      return undefined;
    }
    const [callerNode, tickets] = first;
    const ticket = tickets.shift();
    queues.delete(callerNode);
    if (tickets.length > 0) {
      queues.set(callerNode, tickets);
    }
    this.dropEmptyRank(rank, queues);
    this.count -= 1;
    return ticket;
  }

  /** Takes a ticket out; false when it does not wait. */
  remove(requestId: string, callerNode: string): boolean {
    for (const [rank, queues] of this.ranks) {
      const tickets = queues.get(callerNode);
      const index = tickets?.findIndex((ticket) => ticket.requestId === requestId) ?? -1;
      if (tickets !== undefined && index >= 0) {
        tickets.splice(index, 1);
        this.dropEmptyNode(rank, queues, callerNode);
        this.count -= 1;
        return true;
      }
    }
    return false;
  }

  /** Takes all tickets out. */
  removeAll(): AdmissionTicket[] {
    const tickets = [...this.ranks.values()].flatMap((queues) => [...queues.values()].flat());
    this.ranks.clear();
    this.count = 0;
    return tickets;
  }

  /** Whether a ticket of the same rank would have to make room for `ticket` after `ahead` others. */
  canDisplacePeerFor(ticket: AdmissionTicket, ahead: number): boolean {
    const found = this.displaceableBy(ticket, ahead);
    return found?.rank === rankOf(ticket);
  }

  /**
   * Takes out the newest ticket that has to make room for `ticket`: one of a less urgent rank, or of
   * the node that has the most tickets of the same rank.
   */
  displaceFor(ticket: AdmissionTicket): AdmissionTicket | undefined {
    const found = this.displaceableBy(ticket);
    const displaced = found?.tickets.pop();
    if (found !== undefined && displaced !== undefined) {
      this.dropEmptyNode(found.rank, found.queues, displaced.callerNode);
      this.count -= 1;
    }
    return displaced;
  }

  /**
   * The tickets of which the last has to make room for `ticket`, whose node counts as having `ahead` tickets
   * more; never empty.
   */
  private displaceableBy(ticket: AdmissionTicket, ahead = 0): Displaceable | undefined {
    const rank = this.extremeRank(Math.max);
    const queues = rank === undefined ? undefined : this.ranks.get(rank);
    if (queues === undefined || rank === undefined || rank < rankOf(ticket)) {
      return undefined;
    }
    let tickets: AdmissionTicket[] = [];
    for (const others of queues.values()) {
      tickets = others.length > tickets.length ? others : tickets;
    }
    const ownLength = ahead + (queues.get(ticket.callerNode)?.length ?? 0);
    const isLessUrgent = rank > rankOf(ticket);
    return isLessUrgent || tickets.length > ownLength + 1 ? { rank, queues, tickets } : undefined;
  }

  private extremeRank(pick: (...ranks: number[]) => number): number | undefined {
    return this.ranks.size === 0 ? undefined : pick(...this.ranks.keys());
  }

  private dropEmptyNode(rank: number, queues: Rank, callerNode: string): void {
    if (queues.get(callerNode)?.length === 0) {
      queues.delete(callerNode);
    }
    this.dropEmptyRank(rank, queues);
  }

  private dropEmptyRank(rank: number, queues: Rank): void {
    if (queues.size === 0) {
      this.ranks.delete(rank);
    }
  }
}

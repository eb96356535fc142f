/**
 * Queue of the requests waiting for a slot of one endpoint. Lower ranks are dequeued first; within a rank, the
 * callers' nodes are served round robin. Pure.
 */

/** A request for a slot. */
export interface AdmissionTicket {
  readonly requestId: string;
  /** Machine identity of the caller's node; slots are shared fairly among nodes. */
  readonly callerNode: string;
  readonly deadlineAtMs: number;
  /** Rank; 0, the default, is the most urgent. */
  readonly priority?: number;
  /** Rank before any promotion; see {@link ./priority-shares.ts}. `priority` if absent. */
  readonly offeredRank?: number;
  /** Whether the work is so short that it takes no place of other work in the queue. */
  readonly isShort?: boolean;
  /** Class of work; requests of one class have similar service times. */
  readonly workClass?: string;
  /** Time by which the response should have arrived; the deadline when absent. */
  readonly targetAtMs?: number | undefined;
  /** Latest time at which the request may start; when absent, it waits as long as it can finish in time. */
  readonly startByMs?: number | undefined;
}

type TicketFilter = (ticket: AdmissionTicket) => boolean;

/** Tickets of one rank by caller's node, in round-robin order. */
type RankQueues = Map<string, AdmissionTicket[]>;

/** The queue from which a ticket can be displaced. */
interface Displaceable {
  readonly rank: number;
  readonly queues: RankQueues;
  readonly tickets: AdmissionTicket[];
}

export function rankOf({ priority = 0 }: AdmissionTicket): number {
  return priority;
}

/** Priority queue of one endpoint. */
export class AdmissionQueue {
  private readonly ranks = new Map<number, RankQueues>();
  private queuedCount = 0;

  /** Number of queued requests. */
  get size(): number {
    return this.queuedCount;
  }

  /** Number of queued requests that are at least as urgent as `rank` and match. */
  countAtLeastAsUrgent(rank: number, matches?: TicketFilter): number {
    return this.count(rank, (tickets) =>
      matches === undefined ? tickets.length : tickets.filter(matches).length,
    );
  }

  /** Number of queued requests that take places in the queue and are at least as urgent as `rank`. */
  placesTaken(rank = Infinity): number {
    return this.count(rank, (tickets) => tickets.filter(({ isShort }) => isShort !== true).length);
  }

  /** Appends a ticket to the queue of its rank and node. */
  enqueue(ticket: AdmissionTicket): void {
    const rank = rankOf(ticket);
    const queues: RankQueues = this.ranks.get(rank) ?? new Map<string, AdmissionTicket[]>();
    const tickets = queues.get(ticket.callerNode) ?? [];
    tickets.push(ticket);
    queues.set(ticket.callerNode, tickets);
    this.ranks.set(rank, queues);
    this.queuedCount += 1;
  }

  /**
   * Removes and returns the next ticket that `canStart`; its node moves to the end of the round-robin order. Tickets that
   * cannot start stay in their places.
   */
  dequeue(canStart: TicketFilter = () => true): AdmissionTicket | undefined {
    const ranks = [...this.ranks.keys()].sort((one, other) => one - other);
    for (const rank of ranks) {
      const ticket = this.dequeueOfRank(rank, canStart);
      if (ticket !== undefined) {
        return ticket;
      }
    }
    return undefined;
  }

  private dequeueOfRank(rank: number, canStart: TicketFilter): AdmissionTicket | undefined {
    const queues: RankQueues = this.ranks.get(rank) ?? new Map<string, AdmissionTicket[]>();
    for (const [callerNode, tickets] of queues) {
      const index = tickets.findIndex(canStart);
      const [ticket] = index < 0 ? [] : tickets.splice(index, 1);
      if (ticket !== undefined) {
        queues.delete(callerNode);
        if (tickets.length > 0) {
          queues.set(callerNode, tickets);
        }
        this.dropEmptyRank(rank, queues);
        this.queuedCount -= 1;
        return ticket;
      }
    }
    return undefined;
  }

  /** Whether a queued ticket matches. */
  has(matches: TicketFilter): boolean {
    return this.countAtLeastAsUrgent(Infinity, matches) > 0;
  }

  /** Removes a ticket; false when it is not queued. */
  remove(requestId: string, callerNode: string): boolean {
    for (const [rank, queues] of this.ranks) {
      const tickets = queues.get(callerNode);
      const index = tickets?.findIndex((ticket) => ticket.requestId === requestId) ?? -1;
      if (tickets !== undefined && index >= 0) {
        tickets.splice(index, 1);
        this.dropEmptyNode(rank, queues, callerNode);
        this.queuedCount -= 1;
        return true;
      }
    }
    return false;
  }

  /** Removes and returns all tickets. */
  removeAll(): AdmissionTicket[] {
    const tickets = [...this.ranks.values()].flatMap((queues) => [...queues.values()].flat());
    this.ranks.clear();
    this.queuedCount = 0;
    return tickets;
  }

  /**
   * Whether `ticket` would displace a ticket of its own rank when its node has `reservedAhead` reservations
   * besides its queued tickets.
   */
  canDisplacePeerFor(ticket: AdmissionTicket, reservedAhead: number): boolean {
    const found = this.displaceableBy(ticket, reservedAhead);
    return found?.rank === rankOf(ticket);
  }

  /**
   * Removes and returns the newest ticket that `ticket` displaces: one of a less urgent rank, or one of the
   * node with the most tickets of the same rank.
   */
  displaceFor(ticket: AdmissionTicket): AdmissionTicket | undefined {
    const found = this.displaceableBy(ticket);
    const displaced = found?.tickets.pop();
    if (found !== undefined && displaced !== undefined) {
      this.dropEmptyNode(found.rank, found.queues, displaced.callerNode);
      this.queuedCount -= 1;
    }
    return displaced;
  }

  /**
   * The tickets of which `ticket` displaces the last; never empty. The node of `ticket` counts as having
   * `reservedAhead` more tickets than are queued.
   */
  private displaceableBy(ticket: AdmissionTicket, reservedAhead = 0): Displaceable | undefined {
    const rank = this.extremeRank(Math.max);
    const queues = rank === undefined ? undefined : this.ranks.get(rank);
    if (queues === undefined || rank === undefined || rank < rankOf(ticket)) {
      return undefined;
    }
    let tickets: AdmissionTicket[] = [];
    for (const nodeTickets of queues.values()) {
      tickets = nodeTickets.length > tickets.length ? nodeTickets : tickets;
    }
    const ownLength = reservedAhead + (queues.get(ticket.callerNode)?.length ?? 0);
    const isLessUrgent = rank > rankOf(ticket);
    return isLessUrgent || tickets.length > ownLength + 1 ? { rank, queues, tickets } : undefined;
  }

  private count(rank: number, countOf: (tickets: readonly AdmissionTicket[]) => number): number {
    let count = 0;
    for (const [other, queues] of this.ranks) {
      if (other <= rank) {
        queues.forEach((tickets) => {
          count += countOf(tickets);
        });
      }
    }
    return count;
  }

  private extremeRank(pick: (...ranks: number[]) => number): number | undefined {
    return this.ranks.size === 0 ? undefined : pick(...this.ranks.keys());
  }

  private dropEmptyNode(rank: number, queues: RankQueues, callerNode: string): void {
    if (queues.get(callerNode)?.length === 0) {
      queues.delete(callerNode);
    }
    this.dropEmptyRank(rank, queues);
  }

  private dropEmptyRank(rank: number, queues: RankQueues): void {
    if (queues.size === 0) {
      this.ranks.delete(rank);
    }
  }
}

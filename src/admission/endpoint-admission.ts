/**
 * Admission to one endpoint, at the one node that owns its slots: at most `slots` requests run at
 * once; a short queue waits for them, fair among the callers' nodes; a request that can't finish in
 * time is refused at once. Pure: time is passed in.
 */

/** Requests that may wait, as a multiple of the slots. */
const QUEUE_PER_SLOT = 2;
/** Weight of a new measurement in the running mean of service time. */
const SERVICE_TIME_WEIGHT = 0.1;
/** What is left of the limit after the endpoint refused. */
const REFUSAL_FACTOR = 0.9;
/** Least time after which a refused caller is told to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

/** A request that asks for a slot. */
export interface AdmissionTicket {
  readonly requestId: string;
  /** Machine identity of the caller's node: slots are shared fairly among these. */
  readonly callerNode: string;
  readonly deadlineAtMs: number;
}

/** Why a request is refused. Each is decided before the request is sent. */
export type RefusalReason = 'queue-full' | 'cannot-finish-in-time' | 'deadline-passed' | 'draining';

/** What is to be done with a request. */
export type AdmissionEffect =
  | { readonly type: 'dispatch'; readonly requestId: string }
  | {
      readonly type: 'refuse';
      readonly requestId: string;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** The slots and the queue of one endpoint. */
export class EndpointAdmission {
  /** Waiting requests of each caller's node, in order of arrival; nodes in order of their turn. */
  private readonly queues = new Map<string, AdmissionTicket[]>();
  private readonly running = new Set<string>();
  private waiting = 0;
  private meanServiceMs: number | undefined;
  private draining = false;

  /** Requests that may run at once: at most the slots, fewer while the endpoint refuses. */
  private limit: number;

  /** `maxWaiting` bounds the queue besides the slots. */
  constructor(
    private slots: number,
    private readonly maxWaiting = Infinity,
  ) {
    this.limit = slots;
  }

  /** Requests that run. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.waiting;
  }

  /** Whether new work is refused. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** The last moment at which a request with this deadline can start and still finish in time. */
  latestStartAtMs(deadlineAtMs: number): number {
    return deadlineAtMs - (this.meanServiceMs ?? 0);
  }

  /** Takes a change of the endpoint's slots; running requests are left alone. */
  setSlots(slots: number, nowMs: number): AdmissionEffect[] {
    this.slots = slots;
    this.limit = slots;
    return this.fillSlots(nowMs);
  }

  /** Takes no new work while `draining`; what waits has not started and is refused. */
  setDraining(draining: boolean): AdmissionEffect[] {
    this.draining = draining;
    if (!draining) {
      return [];
    }
    const waiting = [...this.queues.values()].flat();
    this.queues.clear();
    this.waiting = 0;
    return waiting.map((ticket) => this.refuse(ticket, 'draining'));
  }

  /**
   * The endpoint refused a request that it was sent: it has less room than its slots say, or others
   * use it too. The limit falls by a part, and rises again by one with each full round of answers.
   */
  endpointRefused(): void {
    this.limit = Math.max(1, this.limit * REFUSAL_FACTOR);
  }

  /** A request arrives. */
  offer(ticket: AdmissionTicket, nowMs: number): AdmissionEffect[] {
    const reason = this.refusalOf(ticket, nowMs);
    if (reason !== undefined) {
      return [this.refuse(ticket, reason)];
    }
    const displaced = this.displaceFor(ticket);
    const hasFreeSlot = this.waiting === 0 && this.running.size < Math.floor(this.limit);
    if (this.waiting >= this.queueBound && !hasFreeSlot) {
      return [this.refuse(ticket, 'queue-full')];
    }
    const queue = this.queues.get(ticket.callerNode) ?? [];
    queue.push(ticket);
    this.queues.set(ticket.callerNode, queue);
    this.waiting += 1;
    return [...displaced, ...this.fillSlots(nowMs)];
  }

  /**
   * A dispatched request no longer occupies the endpoint. `serviceMs` is given when it was answered,
   * as a measurement of the endpoint's pace.
   */
  release(requestId: string, nowMs: number, serviceMs?: number): AdmissionEffect[] {
    if (!this.running.delete(requestId)) {
      return [];
    }
    if (serviceMs !== undefined) {
      this.measure(serviceMs);
      this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
    }
    return this.fillSlots(nowMs);
  }

  /** Whether a waiting request was taken out: its caller gave up, and it will not be dispatched. */
  withdraw(requestId: string, callerNode: string): boolean {
    const queue = this.queues.get(callerNode);
    const index = queue?.findIndex((ticket) => ticket.requestId === requestId) ?? -1;
    if (queue === undefined || index < 0) {
      return false;
    }
    queue.splice(index, 1);
    this.waiting -= 1;
    if (queue.length === 0) {
      this.queues.delete(callerNode);
    }
    return true;
  }

  private get queueBound(): number {
    return Math.min(this.maxWaiting, this.slots * QUEUE_PER_SLOT);
  }

  /** Makes room in a full queue at the cost of the node that has the most requests in it. */
  private displaceFor(ticket: AdmissionTicket): AdmissionEffect[] {
    if (this.waiting < this.queueBound) {
      return [];
    }
    const ownLength = this.queues.get(ticket.callerNode)?.length ?? 0;
    let longest: AdmissionTicket[] = [];
    for (const queue of this.queues.values()) {
      longest = queue.length > longest.length ? queue : longest;
    }
    const newest = longest.length > ownLength + 1 ? longest.pop() : undefined;
    if (newest === undefined) {
      return [];
    }
    this.waiting -= 1;
    return [this.refuse(newest, 'queue-full')];
  }

  private refusalOf(ticket: AdmissionTicket, nowMs: number): RefusalReason | undefined {
    if (this.draining) {
      return 'draining';
    }
    if (ticket.deadlineAtMs <= nowMs) {
      return 'deadline-passed';
    }
    const startAtMs = nowMs + this.expectedWaitMs();
    return this.isTooLate(ticket, startAtMs) ? 'cannot-finish-in-time' : undefined;
  }

  /** An idle endpoint gets the request all the same, so that its pace is measured anew. */
  private isTooLate(ticket: AdmissionTicket, startAtMs: number): boolean {
    return this.running.size > 0 && startAtMs > this.latestStartAtMs(ticket.deadlineAtMs);
  }

  /** Time until a request that arrives now gets a slot, at the measured pace. */
  private expectedWaitMs(): number {
    const ahead = this.running.size + this.waiting - this.limit + 1;
    return ahead <= 0 ? 0 : (ahead * (this.meanServiceMs ?? 0)) / this.limit;
  }

  private refuse(ticket: AdmissionTicket, reason: RefusalReason): AdmissionEffect {
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, this.expectedWaitMs());
    return { type: 'refuse', requestId: ticket.requestId, reason, retryAfterMs };
  }

  private fillSlots(nowMs: number): AdmissionEffect[] {
    const effects: AdmissionEffect[] = [];
    while (this.running.size < Math.floor(this.limit)) {
      const ticket = this.takeNext();
      if (ticket === undefined) {
        break;
      }
      effects.push(this.dispatchOrRefuse(ticket, nowMs));
    }
    return effects;
  }

  /** The clock is checked again: the process may have been paused while the request waited. */
  private dispatchOrRefuse(ticket: AdmissionTicket, nowMs: number): AdmissionEffect {
    if (ticket.deadlineAtMs <= nowMs) {
      return this.refuse(ticket, 'deadline-passed');
    }
    if (this.isTooLate(ticket, nowMs)) {
      return this.refuse(ticket, 'cannot-finish-in-time');
    }
    this.running.add(ticket.requestId);
    return { type: 'dispatch', requestId: ticket.requestId };
  }

  /** Round-robin among the callers' nodes: the node whose turn it was goes to the end. */
  private takeNext(): AdmissionTicket | undefined {
    for (const [callerNode, queue] of this.queues) {
      const ticket = queue.shift();
      this.queues.delete(callerNode);
      if (queue.length > 0) {
        this.queues.set(callerNode, queue);
      }
      if (ticket !== undefined) {
        this.waiting -= 1;
        return ticket;
      }
    }
    return undefined;
  }

  private measure(serviceMs: number): void {
    const previous = this.meanServiceMs ?? serviceMs;
    this.meanServiceMs = previous + (serviceMs - previous) * SERVICE_TIME_WEIGHT;
  }
}

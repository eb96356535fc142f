/**
 * Batches claims about members and floods them over the overlay. A claim is sent once on each link
 * on which it was not heard; departures and refutations go first.
 */
import type { ControlEffect, CounterSink, RandomSource } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { MemberUpdate } from '../wire/message.js';

/** Claims sent in one batch at most. */
export const MAX_UPDATES_PER_BATCH = 32;
/** Longest and shortest wait before a batch goes out, in milliseconds. */
const MIN_BATCH_DELAY_MS = 20;
const MAX_BATCH_DELAY_MS = 80;
/** Wait before the next batch when one was full, in milliseconds. */
const FULL_BATCH_DELAY_MS = 500;

interface PendingUpdate {
  readonly update: MemberUpdate;
  /** Neighbours from which the claim was heard; they need not be told. */
  readonly heardFrom: string[];
}

/** Claims that wait to be flooded. */
export class MemberFlood {
  private readonly urgent = new Map<string, PendingUpdate>();
  private readonly suspicions = new Map<string, PendingUpdate>();
  private flushAt = Infinity;

  constructor(
    private readonly random: RandomSource,
    private readonly counters: CounterSink,
  ) {}

  /** Time of the next batch, in milliseconds. */
  nextFlushAt(): number {
    return this.flushAt;
  }

  /** Queues a claim that was learned from `from`, or found out here; it replaces an older one. */
  queue(update: MemberUpdate, from: string | undefined, nowMs: number): void {
    const memberId = update.member.id;
    this.urgent.delete(memberId);
    this.suspicions.delete(memberId);
    const isUrgent = update.status === 'alive' || update.status === 'leaving';
    const pending = { update, heardFrom: from === undefined ? [] : [from] };
    (isUrgent ? this.urgent : this.suspicions).set(memberId, pending);
    const delay = MIN_BATCH_DELAY_MS + this.random() * (MAX_BATCH_DELAY_MS - MIN_BATCH_DELAY_MS);
    this.flushAt = Math.min(this.flushAt, nowMs + delay);
  }

  /** The same claim came from another neighbour before it was passed on. */
  heardAgain(update: MemberUpdate, from: string): void {
    const memberId = update.member.id;
    const pending = this.urgent.get(memberId) ?? this.suspicions.get(memberId);
    const held = pending?.update;
    if (held?.status === update.status && held.member.incarnation === update.member.incarnation) {
      pending?.heardFrom.push(from);
    }
  }

  /** Sends one batch to the neighbours; `isForced` sends without waiting. */
  flush(
    neighbours: Iterable<string>,
    nowMs: number,
    effects: ControlEffect[],
    isForced = false,
  ): void {
    if (nowMs < this.flushAt && !isForced) {
      return;
    }
    const batch = this.takeBatch();
    const hasMore = this.urgent.size + this.suspicions.size > 0;
    this.flushAt = hasMore ? nowMs + FULL_BATCH_DELAY_MS : Infinity;
    for (const neighbourId of neighbours) {
      const updates = batch
        .filter((pending) => !pending.heardFrom.includes(neighbourId))
        .map((pending) => pending.update);
      if (updates.length > 0) {
        this.counters.add(CONTROL_COUNTERS.memberUpdatesSent, updates.length);
        effects.push({ type: 'send', to: neighbourId, message: { type: 'members', updates } });
      }
    }
  }

  private takeBatch(): PendingUpdate[] {
    const batch: PendingUpdate[] = [];
    for (const queue of [this.urgent, this.suspicions]) {
      for (const [memberId, pending] of queue) {
        if (batch.length >= MAX_UPDATES_PER_BATCH) {
          return batch;
        }
        queue.delete(memberId);
        batch.push(pending);
      }
    }
    return batch;
  }
}

/**
 * Batches claims about members and floods them over the overlay. A claim is sent once on each link
 * on which it was not received. Departures are sent after a short delay. Other claims are delayed
 * longer, so that batches grow and many claims arrive from neighbours before they would be sent to
 * them.
 */
import type { ControlEffect, CounterSink, RandomSource } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { MemberUpdate } from '../wire/message.js';

/** Maximum number of claims in one batch. */
export const MAX_UPDATES_PER_BATCH = 64;
/** Maximum delay before a departure is sent, in milliseconds. */
export const MAX_URGENT_DELAY_MS = 80;
/** Maximum delay of other claims, in milliseconds; far shorter than the refutation timeout. */
export const MAX_BATCH_DELAY_MS = 800;
/** Minimum delay, as a share of the maximum. */
const MIN_DELAY_SHARE = 0.25;

interface PendingUpdate {
  readonly update: MemberUpdate;
  /** Neighbours from which the claim was received; it is not sent to them. */
  readonly receivedFrom: string[];
}

/** Queues claims and floods them in batches. */
export class MemberFlood {
  /** Queues in sending order. */
  private readonly queues: Record<'leaving' | 'alive' | 'accused', Map<string, PendingUpdate>> = {
    leaving: new Map(),
    alive: new Map(),
    accused: new Map(),
  };
  private flushAt = Infinity;

  constructor(
    private readonly random: RandomSource,
    private readonly counters: CounterSink,
  ) {}

  /** Time of the next batch, in milliseconds. */
  nextFlushAt(): number {
    return this.flushAt;
  }

  /**
   * Queues a claim received from `from`, or made by this node; replaces the queued claim, if any.
   */
  queue(update: MemberUpdate, from: string | undefined, nowMs: number): void {
    const memberId = update.member.id;
    for (const queue of Object.values(this.queues)) {
      queue.delete(memberId);
    }
    const pending = { update, receivedFrom: from === undefined ? [] : [from] };
    this.queues[queueName(update)].set(memberId, pending);
    const maxDelayMs = update.status === 'leaving' ? MAX_URGENT_DELAY_MS : MAX_BATCH_DELAY_MS;
    this.flushAt = Math.min(this.flushAt, nowMs + this.delay(maxDelayMs));
  }

  /** Records that a neighbour sent a claim that is still queued, so that it is not sent back. */
  duplicateReceived(update: MemberUpdate, from: string): void {
    const pending = this.queues[queueName(update)].get(update.member.id);
    const held = pending?.update;
    const isSameClaim =
      held?.status === update.status && held.member.incarnation === update.member.incarnation;
    if (isSameClaim) {
      pending?.receivedFrom.push(from);
    }
  }

  flush(neighbours: Iterable<string>, nowMs: number, effects: ControlEffect[]): void {
    const batch = this.takeBatch();
    const hasMore = Object.values(this.queues).some((queue) => queue.size > 0);
    this.flushAt = hasMore ? nowMs + this.delay(MAX_BATCH_DELAY_MS) : Infinity;
    for (const neighbourId of neighbours) {
      const updates = batch
        .filter((pending) => !pending.receivedFrom.includes(neighbourId))
        .map((pending) => pending.update);
      if (updates.length > 0) {
        this.counters.add(CONTROL_COUNTERS.memberUpdatesSent, updates.length);
        effects.push({ type: 'send', to: neighbourId, message: { type: 'members', updates } });
      }
    }
  }

  private delay(maxDelayMs: number): number {
    return maxDelayMs * (MIN_DELAY_SHARE + this.random() * (1 - MIN_DELAY_SHARE));
  }

  private takeBatch(): PendingUpdate[] {
    const batch: PendingUpdate[] = [];
    for (const queue of Object.values(this.queues)) {
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

function queueName(update: MemberUpdate): 'leaving' | 'alive' | 'accused' {
  return update.status === 'leaving' || update.status === 'alive' ? update.status : 'accused';
}

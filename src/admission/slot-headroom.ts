/**
 * Slots of one endpoint that long work leaves free for more urgent, shorter work. Answers this load: long work of low
 * priority would occupy all slots, and short, urgent requests would wait for one for longer than they have. Pure: time
 * is passed in.
 */
import { DecayingCount } from '../routing/decaying-count.js';
import { shareWaitingLongerThan } from './slot-wait.js';
import { priorityOf, targetLatencyOf } from './work-rank.js';

/**
 * Work is short if its service time is below this share of that of other work: it delays that work little, and its
 * caller may occupy a slot of another endpoint in the meantime.
 */
export const SHORT_WORK_RATIO = 0.6;
/** Share of the urgent requests that may wait for a slot for longer than their target latency allows. */
const MAX_LATE_SHARE = 0.1;
/** Mean number of slots that urgent work must use at least for slots to be kept free for it. */
const MIN_URGENT_SLOTS = 0.05;
/** Half-life of the arrivals from which rates are measured, in milliseconds. */
const RATE_HALF_LIFE_MS = 2_000;
/** Time over which arrivals with that half-life add up, in milliseconds. */
const RATE_WINDOW_MS = RATE_HALF_LIFE_MS / Math.LN2;
/** Interval at which the headroom is computed again, in milliseconds. */
const UPDATE_INTERVAL_MS = 200;
/** Number of arrivals below which a priority counts as absent. */
const MIN_ARRIVALS = 0.5;

/** A request's rank and the mean service time of its class. */
export interface RankedWork {
  readonly rank: number;
  readonly serviceMs: number;
}

/** Slots that work outside a group of priorities leaves free for the group. */
export interface Headroom {
  /** The least urgent priority of the group, which contains all more urgent ones. */
  readonly priority: number;
  /** Mean service time of the group, in milliseconds. */
  readonly serviceMs: number;
  readonly slots: number;
}

/** Slots and service time of the work that occupies them, as the owner of the endpoint knows them. */
export interface SlotUse {
  readonly slots: number;
  /** Mean service time of the work that occupies a slot at any moment, in milliseconds. */
  readonly occupyingMs: number;
}

/** Recent arrivals of one priority. */
class PriorityArrivals {
  readonly count = new DecayingCount(RATE_HALF_LIFE_MS);
  readonly workMs = new DecayingCount(RATE_HALF_LIFE_MS);
  /** Sum of the times for which the requests could wait, in milliseconds. */
  readonly slackMs = new DecayingCount(RATE_HALF_LIFE_MS);

  record({ rank, serviceMs }: RankedWork, nowMs: number): void {
    this.count.add(nowMs);
    this.workMs.add(nowMs, serviceMs);
    this.slackMs.add(nowMs, Math.max(0, targetLatencyOf(rank) - serviceMs));
  }
}

/** Whether the headroom restricts the work: it is less urgent and clearly longer than the group's. */
export function restricts({ priority, serviceMs }: Headroom, work: RankedWork): boolean {
  return priorityOf(work.rank) > priority && serviceMs < SHORT_WORK_RATIO * work.serviceMs;
}

/** Number of slots out of `slots` that restricted work may occupy; at least one. */
export function slotsBeside(headroom: Headroom, slots: number): number {
  return Math.max(1, slots - headroom.slots);
}

/** Measures the arrivals of each priority and derives the headroom for it. */
export class SlotHeadroom {
  private readonly arrivals = new Map<number, PriorityArrivals>();
  private current: readonly Headroom[] = [];
  private computedAtMs = -Infinity;

  /** Records an arrival, also of a request that is then refused. */
  recordArrival(work: RankedWork, nowMs: number): void {
    const priority = priorityOf(work.rank);
    const arrivals = this.arrivals.get(priority) ?? new PriorityArrivals();
    arrivals.record(work, nowMs);
    this.arrivals.set(priority, arrivals);
  }

  /** The headroom in force, for the most urgent priorities first; none without recent work of several priorities. */
  at(use: SlotUse, nowMs: number): readonly Headroom[] {
    if (nowMs >= this.computedAtMs + UPDATE_INTERVAL_MS) {
      this.computedAtMs = nowMs;
      this.evictAbsent(nowMs);
      this.current = use.slots > 1 && this.arrivals.size > 1 ? this.compute(use, nowMs) : [];
    }
    return this.current;
  }

  private evictAbsent(nowMs: number): void {
    for (const [priority, { count }] of this.arrivals) {
      if (count.at(nowMs) < MIN_ARRIVALS) {
        this.arrivals.delete(priority);
      }
    }
  }

  private compute(use: SlotUse, nowMs: number): Headroom[] {
    const priorities = [...this.arrivals.keys()].sort((one, other) => one - other);
    const group = { count: 0, workMs: 0 };
    const headrooms: Headroom[] = [];
    // The least urgent priority has no work below it that could leave slots free.
    for (const priority of priorities.slice(0, -1)) {
      const arrivals = this.arrivals.get(priority);
      const count = arrivals?.count.at(nowMs) ?? 0;
      group.count += count;
      group.workMs += arrivals?.workMs.at(nowMs) ?? 0;
      const slackMs = (arrivals?.slackMs.at(nowMs) ?? 0) / count;
      const slots = neededSlots(group, slackMs, use);
      if (slots > 0) {
        headrooms.push({ priority, serviceMs: group.workMs / group.count, slots });
      }
    }
    return headrooms;
  }
}

/** Least number of free slots with which at most {@link MAX_LATE_SHARE} of the group's requests wait too long. */
function neededSlots(
  group: { readonly count: number; readonly workMs: number },
  slackMs: number,
  { slots, occupyingMs }: SlotUse,
): number {
  const ratePerMs = group.count / RATE_WINDOW_MS;
  const serviceMs = group.workMs / group.count;
  if (ratePerMs * serviceMs < MIN_URGENT_SLOTS || serviceMs >= SHORT_WORK_RATIO * occupyingMs) {
    return 0;
  }
  for (let free = 0; free < slots - 1; free += 1) {
    const otherReleasesPerMs = (slots - free) / occupyingMs;
    const load = { ratePerMs, serviceMs, otherReleasesPerMs };
    if (shareWaitingLongerThan(slackMs, load, free) <= MAX_LATE_SHARE) {
      return free;
    }
  }
  return slots - 1;
}

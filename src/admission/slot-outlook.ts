/**
 * Expected wait for free slots that work in time does not need, by the rate at which there were some lately. Answers
 * bursts of some seconds: no such slot is free until the burst is over, then many are within a short time. While there
 * are none, the wait is expected to last for as long as it has lasted already. Pure: time is passed in.
 */
import { DecayingCount } from '../routing/decaying-count.js';

/** Half-life of the weight of a slot in the rate, in milliseconds. */
const RATE_HALF_LIFE_MS = 500;
/** Weight of the recent slots below which the rate says nothing. */
const MIN_RECENT_SLOTS = 0.25;
/** Half-life of what is known of a time without slots once nothing waits, in milliseconds. */
const DROUGHT_HALF_LIFE_MS = 2_000;

export class SlotOutlook {
  private readonly slots = new DecayingCount(RATE_HALF_LIFE_MS);
  /** When the time without slots began; undefined while nothing waits. */
  private beganAtMs: number | undefined;
  private lastDroughtMs = 0;
  private endedAtMs = -Infinity;

  /** A request waits where none may have waited before. */
  waitingBegan(nowMs: number): void {
    this.beganAtMs ??= nowMs - this.droughtMs(nowMs);
  }

  /** A slot was free. */
  slotFreed(nowMs: number): void {
    this.slots.add(nowMs);
    this.lastDroughtMs = 0;
    if (this.beganAtMs !== undefined) {
      this.beganAtMs = nowMs;
    }
  }

  /** No request waits any more. */
  waitingEnded(nowMs: number): void {
    this.lastDroughtMs = this.droughtMs(nowMs);
    this.beganAtMs = undefined;
    this.endedAtMs = nowMs;
  }

  /** Expected time until a request gets a slot behind `ahead` others. */
  expectedWaitMs(ahead: number, nowMs: number): number {
    const recentSlots = this.slots.at(nowMs);
    return recentSlots < MIN_RECENT_SLOTS
      ? this.droughtMs(nowMs)
      : ((ahead + 1) * RATE_HALF_LIFE_MS) / (recentSlots * Math.LN2);
  }

  private droughtMs(nowMs: number): number {
    return this.beganAtMs === undefined
      ? this.lastDroughtMs * 0.5 ** ((nowMs - this.endedAtMs) / DROUGHT_HALF_LIFE_MS)
      : nowMs - this.beganAtMs;
  }
}

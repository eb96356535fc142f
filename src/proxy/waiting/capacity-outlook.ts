/**
 * When room is expected for refused work, from the share of it that was refused lately and for how long that has been so.
 * Answers bursts of some seconds: callers that come back after a fraction of a second use up their tries within the same
 * burst. Pure: time is passed in.
 */
import { DecayingCount } from '../../routing/decaying-count.js';

/** Half-life of the weight of a request, in milliseconds. */
const HALF_LIFE_MS = 500;
/** Share of refused requests from which a class of work counts as overloaded, and below which no longer. */
const OVERLOADED_SHARE = 0.35;
const RELIEVED_SHARE = 0.2;
/** Requests up to which nothing is concluded. */
const MIN_REFUSED = 2;
/** An overload that has lasted for the first time is expected to last for the second one at least, in milliseconds. */
const MIN_AGE_MS = 250;
const MIN_REMAINING_MS = 1_000;
/** Longest time that is expected, in milliseconds. */
const MAX_REMAINING_MS = 3_000;
/** Maximum number of classes of work; beyond it, the one that was used first is forgotten. */
const MAX_CLASSES = 1_000;

class ClassOutlook {
  private readonly refused = new DecayingCount(HALF_LIFE_MS);
  private readonly served = new DecayingCount(HALF_LIFE_MS);
  private overloadedSinceMs: number | undefined;

  record(isServed: boolean, nowMs: number): void {
    (isServed ? this.served : this.refused).add(nowMs);
    const share = this.refusedShare(nowMs);
    if (share < RELIEVED_SHARE) {
      this.overloadedSinceMs = undefined;
    } else if (share > OVERLOADED_SHARE) {
      this.overloadedSinceMs ??= nowMs;
    }
  }

  roomInMs(nowMs: number): number {
    const ageMs = nowMs - (this.overloadedSinceMs ?? nowMs);
    if (ageMs < MIN_AGE_MS || this.refusedShare(nowMs) < RELIEVED_SHARE) {
      return 0;
    }
    return Math.min(MAX_REMAINING_MS, Math.max(MIN_REMAINING_MS, ageMs));
  }

  private refusedShare(nowMs: number): number {
    const refused = this.refused.at(nowMs);
    return refused < MIN_REFUSED ? 0 : refused / (refused + this.served.at(nowMs));
  }
}

export class CapacityOutlook {
  private readonly classes = new Map<string, ClassOutlook>();

  /** Records that a request of the class was answered, or refused for lack of capacity. */
  record(workClass: string, isServed: boolean, nowMs: number): void {
    const known = this.classes.get(workClass) ?? new ClassOutlook();
    known.record(isServed, nowMs);
    this.classes.set(workClass, known);
    if (this.classes.size > MAX_CLASSES) {
      const [first = ''] = this.classes.keys();
      this.classes.delete(first);
    }
  }

  /** Expected time until there is room for work of the class, in milliseconds; 0 while it is not overloaded. */
  roomInMs(workClass: string, nowMs: number): number {
    return this.classes.get(workClass)?.roomInMs(nowMs) ?? 0;
  }
}

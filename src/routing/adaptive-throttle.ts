/**
 * Adaptive throttling at the caller's node: while endpoints refuse most of a class of work, the node refuses a share of
 * it itself, without the messages of an attempt. A fixed share keeps being sent, so that recovery is noticed. Pure: time
 * and random numbers are passed in.
 */
import type { RandomSource } from '../control/control-event.js';
import { DecayingCount } from './decaying-count.js';

/** Half-life of the weight of an attempt, in milliseconds. */
const HALF_LIFE_MS = 500;
/** Refused attempts for each accepted one up to which nothing is throttled. */
const REFUSED_PER_ACCEPTED = 1;
/** Refused attempts below which nothing is throttled, so that a node with few requests draws no conclusion from them. */
const MIN_REFUSED = 2;
/** Maximum number of classes; beyond it, the one that was used first is evicted. */
const MAX_CLASSES = 1_000;

/** Recent attempts of one class. */
class ClassAttempts {
  readonly refused = new DecayingCount(HALF_LIFE_MS);
  readonly accepted = new DecayingCount(HALF_LIFE_MS);
}

export class AdaptiveThrottle {
  private readonly classes = new Map<string, ClassAttempts>();

  constructor(private readonly random: RandomSource) {}

  /** Whether an attempt may be sent; one that may not counts as refused. */
  admits(workClass: string, nowMs: number): boolean {
    const attempts = this.attemptsOf(workClass);
    const refused = attempts.refused.at(nowMs);
    const accepted = attempts.accepted.at(nowMs);
    const excess = refused - accepted * REFUSED_PER_ACCEPTED;
    const rejectedShare = refused < MIN_REFUSED ? 0 : excess / (refused + accepted + 1);
    if (this.random() >= rejectedShare) {
      return true;
    }
    attempts.refused.add(nowMs);
    return false;
  }

  /** Share of the recent attempts of the class that were refused; 0 while there are too few to tell. */
  refusedShare(workClass: string, nowMs: number): number {
    const attempts = this.attemptsOf(workClass);
    const refused = attempts.refused.at(nowMs);
    return refused < MIN_REFUSED ? 0 : refused / (refused + attempts.accepted.at(nowMs));
  }

  /** Records that an endpoint's node refused an attempt for lack of capacity. */
  refused(workClass: string, nowMs: number): void {
    this.attemptsOf(workClass).refused.add(nowMs);
  }

  /** Records that an endpoint answered an attempt. */
  accepted(workClass: string, nowMs: number): void {
    this.attemptsOf(workClass).accepted.add(nowMs);
  }

  private attemptsOf(workClass: string): ClassAttempts {
    const known = this.classes.get(workClass);
    if (known !== undefined) {
      return known;
    }
    const attempts = new ClassAttempts();
    this.classes.set(workClass, attempts);
    if (this.classes.size > MAX_CLASSES) {
      const [first = ''] = this.classes.keys();
      this.classes.delete(first);
    }
    return attempts;
  }
}

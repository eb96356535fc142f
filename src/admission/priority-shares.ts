/**
 * Shares of the work of each priority that an endpoint has started lately, and the promotion of work that falls behind.
 * Answers a shortage that lasts: under strict priority the requests of one priority, late ones included, take all slots,
 * and those of the next one get none (proportional loss differentiation). Pure: time is passed in.
 */
import { DecayingCount } from '../routing/decaying-count.js';
import { isLateRank, lateRank, onTimeRank, priorityOf } from './work-rank.js';

/** Least share of its work that a priority is to have started, relative to that of a more urgent one. */
const MIN_RELATIVE_SHARE = 0.6;
/** Half-life of the weight of a request, in milliseconds. */
const HALF_LIFE_MS = 2_000;
/** Number of requests of a priority up to which nothing is concluded. */
const MIN_OFFERED = 2;

/** A request's rank and the mean service time of its class, in milliseconds. */
export interface OfferedWork {
  readonly rank: number;
  readonly serviceMs: number;
}

/** Recent work of one priority. */
class PriorityWork {
  /** Rank of the most urgent class of work. */
  rank = Infinity;
  private readonly offered = new DecayingCount(HALF_LIFE_MS);
  private readonly started = new DecayingCount(HALF_LIFE_MS);
  private readonly serviceMs = new DecayingCount(HALF_LIFE_MS);

  recordOffer({ rank, serviceMs }: OfferedWork, nowMs: number): void {
    this.rank = Math.min(this.rank, onTimeRank(rank));
    this.offered.add(nowMs);
    this.serviceMs.add(nowMs, serviceMs);
  }

  recordStart(nowMs: number): void {
    this.started.add(nowMs);
  }

  isKnown(nowMs: number): boolean {
    return this.offered.at(nowMs) >= MIN_OFFERED;
  }

  startedShare(nowMs: number): number {
    return Math.min(1, this.started.at(nowMs) / this.offered.at(nowMs));
  }

  meanServiceMs(nowMs: number): number {
    return this.serviceMs.at(nowMs) / this.offered.at(nowMs);
  }
}

export class PriorityShares {
  private readonly priorities = new Map<number, PriorityWork>();

  /** Records a request that is offered, also of one that is then refused. */
  recordOffer(work: OfferedWork, nowMs: number): void {
    const priority = priorityOf(work.rank);
    const known = this.priorities.get(priority) ?? new PriorityWork();
    known.recordOffer(work, nowMs);
    this.priorities.set(priority, known);
  }

  /** Records the start of a request that was offered with this rank. */
  recordStart(rank: number, nowMs: number): void {
    this.priorities.get(priorityOf(rank))?.recordStart(nowMs);
  }

  /**
   * The rank of the work at present. Work of a priority that has fallen behind has that of the more urgent work, unless it
   * is longer than that: a request then takes no more from the more urgent ones than one of their own would.
   */
  rankOf({ rank, serviceMs }: OfferedWork, nowMs: number): number {
    const own = this.priorities.get(priorityOf(rank));
    if (own?.isKnown(nowMs) !== true) {
      return rank;
    }
    const maxShare = own.startedShare(nowMs) / MIN_RELATIVE_SHARE;
    if (maxShare >= 1) {
      return rank;
    }
    const ranksAhead = [...this.priorities.values()]
      .filter((other) => other.rank < own.rank && other.isKnown(nowMs))
      .filter((other) => other.startedShare(nowMs) > maxShare)
      .filter((other) => other.meanServiceMs(nowMs) >= serviceMs)
      .map((other) => other.rank);
    const promoted = Math.min(onTimeRank(rank), ...ranksAhead);
    return isLateRank(rank) ? lateRank(promoted) : promoted;
  }
}

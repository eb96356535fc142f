/** A count of events whose weights decay with their age. Pure: time is passed in. */
export class DecayingCount {
  private count = 0;
  private updatedAtMs = -Infinity;

  /** `halfLifeMs` is the time after which an event has half of its weight. */
  constructor(private readonly halfLifeMs: number) {}

  /** Adds an event; its weight is 1 unless given. */
  add(nowMs: number, weight = 1): void {
    this.count = this.at(nowMs) + weight;
    this.updatedAtMs = nowMs;
  }

  /** The sum of the weights. */
  at(nowMs: number): number {
    return this.count === 0
      ? 0
      : this.count * 0.5 ** ((nowMs - this.updatedAtMs) / this.halfLifeMs);
  }
}

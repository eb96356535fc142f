/** Share of the recent attempts at one endpoint that failed. Pure: time is passed in. */

/** Weight of a new outcome in the moving average. */
const OUTCOME_WEIGHT = 0.07;
/** Half-life of the share without new outcomes, in milliseconds, so that a failing endpoint is tried again. */
const HALF_LIFE_MS = 4_000;

/** Moving average of the outcomes, from 0 (all succeeded) to 1 (all failed). */
export class FailureShare {
  private share = 0;
  private updatedAtMs = 0;

  /** Adds the outcome of an attempt. */
  record(hasFailed: boolean, nowMs: number): void {
    const before = this.at(nowMs);
    const outcome = hasFailed ? 1 : 0;
    this.set(before + (outcome - before) * OUTCOME_WEIGHT, nowMs);
  }

  /** Replaces the share, for example by one reported by a node that observes more attempts. */
  set(share: number, nowMs: number): void {
    this.share = share;
    this.updatedAtMs = nowMs;
  }

  /** The share at `nowMs`; decays towards 0 with its age. */
  at(nowMs: number): number {
    return this.share * 0.5 ** ((nowMs - this.updatedAtMs) / HALF_LIFE_MS);
  }
}

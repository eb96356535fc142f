/** How many of the latest attempts at one endpoint failed. Pure: time is passed in. */

/** Weight of one more outcome in the running share. */
const OUTCOME_WEIGHT = 0.07;
/** A share that is not renewed loses half of its weight in this time, so that it is tried again. */
const HALF_LIFE_MS = 4_000;

/** The running share, from 0 to 1. */
export class FailureShare {
  private share = 0;
  private atMs = 0;

  /** Takes the outcome of an attempt. */
  take(hasFailed: boolean, nowMs: number): void {
    const before = this.at(nowMs);
    const outcome = hasFailed ? 1 : 0;
    this.set(before + (outcome - before) * OUTCOME_WEIGHT, nowMs);
  }

  /** Takes a share that one who sees more has measured. */
  set(share: number, nowMs: number): void {
    this.share = share;
    this.atMs = nowMs;
  }

  /** The share, drawn towards 0 as it ages. */
  at(nowMs: number): number {
    return this.share * 0.5 ** ((nowMs - this.atMs) / HALF_LIFE_MS);
  }
}

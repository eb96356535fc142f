/**
 * What one endpoint has stated about itself in its answers, as known to one node. Holds for one incarnation of the
 * endpoint, independently of its configuration entry, which may be removed and listed again meanwhile. Pure: time is
 * passed in.
 */

/** The latest statements of one endpoint. */
export class EndpointStatement {
  private limitPerS: number | undefined;
  /** When the statement in force arrived. */
  private statedAtMs = -Infinity;

  /**
   * Maximum rate of requests from all nodes together, in requests per second: Infinity if the endpoint states no
   * limit, undefined before its first answer.
   */
  get maxRatePerS(): number | undefined {
    return this.limitPerS;
  }

  get isLimited(): boolean {
    return this.limitPerS !== undefined && this.limitPerS < Infinity;
  }

  /**
   * Applies the rate limit of an answer to a request that was sent at `sentAtMs`; Infinity if the answer names none.
   * The answer to a request sent after the arrival of the statement in force is newer and replaces it. The order of
   * other answers is unknown: such an answer can lower the limit, but not raise or lift it. Returns whether the limit
   * has changed.
   */
  applyAnswer(maxRatePerS: number, sentAtMs: number, nowMs: number): boolean {
    const isNewer = sentAtMs >= this.statedAtMs;
    if (!isNewer && maxRatePerS >= (this.limitPerS ?? Infinity)) {
      return false;
    }
    return this.setLimit(maxRatePerS, nowMs);
  }

  private setLimit(maxRatePerS: number, nowMs: number): boolean {
    const isChanged = (this.limitPerS ?? Infinity) !== maxRatePerS;
    this.limitPerS = maxRatePerS;
    this.statedAtMs = nowMs;
    return isChanged;
  }
}

/**
 * What one endpoint has stated about itself in its answers, as known to one node. Holds for one incarnation of the
 * endpoint, independently of its configuration entry, which may be removed and listed again meanwhile. Pure: time is
 * passed in.
 */
import { TokenBucket } from '../admission/token-bucket.js';

/**
 * Lowest rate at which requests are sent, in requests per second: without any request, no answer could raise or lift
 * the limit.
 */
const MIN_RATE_PER_S = 0.2;

/** The latest statements of one endpoint. */
export class EndpointStatement {
  /** Enforces this node's share of the rate limit. Kept here, so that a new gate does not start with new tokens. */
  readonly bucket = new TokenBucket();
  private limitPerS: number | undefined;
  /** When the statement in force arrived. */
  private statedAtMs = -Infinity;
  /** Whether the limit is known only from another node. */
  private isReported = false;
  private rateShare = 1;
  private hasLeft = false;

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

  /** Whether the endpoint has stated that it leaves: it accepts no requests until the end of its process. */
  get isLeaving(): boolean {
    return this.hasLeft;
  }

  /** Records that the endpoint leaves; returns whether that is new. */
  markLeaving(): boolean {
    const isNew = !this.hasLeft;
    this.hasLeft = true;
    return isNew;
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
    this.isReported = false;
    return this.setLimit(maxRatePerS, nowMs);
  }

  /**
   * Applies the limit that another node knows, unless this node has received an answer of the endpoint itself. Of
   * several such limits, the lowest holds. Returns whether the limit has changed.
   */
  applyReport(maxRatePerS: number, nowMs: number): boolean {
    const isUnknown = this.limitPerS === undefined;
    if (!isUnknown && !(this.isReported && maxRatePerS < (this.limitPerS ?? Infinity))) {
      return false;
    }
    this.isReported = true;
    return this.setLimit(maxRatePerS, nowMs);
  }

  /** Sets the share of the limit that this node may use, from 0 to 1. */
  setRateShare(share: number, nowMs: number): void {
    if (share !== this.rateShare) {
      this.rateShare = share;
      this.updateBucket(nowMs);
    }
  }

  private setLimit(maxRatePerS: number, nowMs: number): boolean {
    const isChanged = (this.limitPerS ?? Infinity) !== maxRatePerS;
    this.limitPerS = maxRatePerS;
    this.statedAtMs = nowMs;
    if (isChanged) {
      this.updateBucket(nowMs);
    }
    return isChanged;
  }

  private updateBucket(nowMs: number): void {
    const { limitPerS = Infinity } = this;
    const ratePerS = Math.max(MIN_RATE_PER_S, limitPerS);
    this.bucket.setRate(ratePerS === Infinity ? Infinity : ratePerS * this.rateShare, nowMs);
  }
}

/**
 * Checks dispatches against what endpoints have stated in answers that nodes passed on: a rate limit for all nodes
 * together, and that they leave.
 */

const WINDOW_MS = 4_000;
/** Time after a node has passed on an answer with the limit from which its requests count, in milliseconds. */
const TOLD_MS = 500;
/** Time from the first naming of a limit from which windows are checked, in milliseconds. */
const CONTACT_MS = 3_000;
/** Time after a node has passed on that an endpoint leaves from which requests must not begin, in milliseconds. */
const DRAIN_MS = 2_000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
const MS_PER_SECOND = 1_000;

/** A request that is dispatched to an endpoint. */
export interface Dispatch {
  readonly attempt: string;
  /** The endpoint's process. */
  readonly endpoint: string;
  /** The process of the caller's node; undefined if it has ended or was frozen. */
  readonly callerNode: string | undefined;
  readonly startedAtMs: number;
}

/** A time in which an endpoint names rate limits. */
interface LimitedTime {
  readonly fromMs: number;
  highestPerS: number;
  dispatchedAtMs: number[];
}

/** What all nodes were told, and what they sent since then. */
export class StatementOracle {
  private readonly limitedTimes = new Map<string, LimitedTime>();
  /** When a node passed on an answer with a limit, or that the endpoint leaves, by endpoint and node. */
  private readonly toldLimitAtMs = new Map<string, number>();
  private readonly toldLeavingAtMs = new Map<string, number>();

  /** The endpoint names a limit from now on; Infinity for none. */
  limitNamed(endpoint: string, maxRatePerS: number, nowMs: number): void {
    const time = this.limitedTimes.get(endpoint);
    if (maxRatePerS === Infinity) {
      this.limitedTimes.delete(endpoint);
      this.forget(this.toldLimitAtMs, (key) => key.startsWith(`${endpoint} `));
    } else if (time === undefined) {
      this.limitedTimes.set(endpoint, {
        fromMs: nowMs,
        highestPerS: maxRatePerS,
        dispatchedAtMs: [],
      });
    } else {
      time.highestPerS = Math.max(time.highestPerS, maxRatePerS);
    }
  }

  /** A node has passed on an answer to its caller. */
  passedOn(
    endpoint: string,
    callerNode: string,
    stated: { readonly isLimited: boolean; readonly isLeaving: boolean },
    nowMs: number,
  ): void {
    const key = `${endpoint} ${callerNode}`;
    if (stated.isLimited && this.limitedTimes.has(endpoint) && !this.toldLimitAtMs.has(key)) {
      this.toldLimitAtMs.set(key, nowMs);
    }
    if (stated.isLeaving && !this.toldLeavingAtMs.has(key)) {
      this.toldLeavingAtMs.set(key, nowMs);
    }
  }

  /** A node was killed or frozen: it is excused until it is told again. */
  interrupted(callerNode: string): void {
    for (const times of [this.toldLimitAtMs, this.toldLeavingAtMs]) {
      this.forget(times, (key) => key.endsWith(` ${callerNode}`));
    }
  }

  /** Returns what the dispatch violates. */
  check({ attempt, endpoint, callerNode, startedAtMs }: Dispatch, nowMs: number): string[] {
    const key = `${endpoint} ${callerNode ?? ''}`;
    const toldLeavingAtMs = this.toldLeavingAtMs.get(key) ?? Infinity;
    const isLate = startedAtMs > toldLeavingAtMs + DRAIN_MS;
    const leaving = isLate ? [`${attempt} was sent to ${endpoint}, which leaves`] : [];
    const isCounted = nowMs >= (this.toldLimitAtMs.get(key) ?? Infinity) + TOLD_MS;
    return isCounted ? [...leaving, ...this.count(endpoint, attempt, nowMs)] : leaving;
  }

  private count(endpoint: string, attempt: string, nowMs: number): string[] {
    const time = this.limitedTimes.get(endpoint);
    if (time === undefined) {
      return [];
    }
    time.dispatchedAtMs = time.dispatchedAtMs.filter((atMs) => atMs > nowMs - WINDOW_MS);
    time.dispatchedAtMs.push(nowMs);
    const inWindow = (ALLOWED_FACTOR * time.highestPerS * WINDOW_MS) / MS_PER_SECOND;
    const isExceeded = time.dispatchedAtMs.length > inWindow + ALLOWED_EXTRA;
    const isChecked = nowMs >= time.fromMs + CONTACT_MS;
    return isChecked && isExceeded ? [`${attempt} exceeded the rate limit of ${endpoint}`] : [];
  }

  private forget(times: Map<string, number>, matches: (key: string) => boolean): void {
    for (const key of times.keys()) {
      if (matches(key)) {
        times.delete(key);
      }
    }
  }
}

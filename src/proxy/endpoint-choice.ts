/** Selects the endpoint of a request's next attempt and decides when the request becomes late. Pure. */
import type { Endpoint } from '../model/resource.js';

/** Finds an endpoint that is not in `tried`, for late work if `isLate`. */
export type FindEndpoint = (tried: ReadonlySet<string>, isLate: boolean) => Endpoint | undefined;

/** The endpoint choices of one request. */
export class EndpointChoice {
  /** Incarnations of the endpoints that were tried. */
  private readonly tried = new Set<string>();
  /** Incarnations whose node refused the request because it can't be answered within its target latency. */
  private readonly refusingEndpoints = new Set<string>();
  /** Lowest service time that an endpoint's node reported for this class of work, in milliseconds. */
  private minServiceMs: number | undefined;
  private hasTurnedLate = false;

  /**
   * `targetAtMs` is when the answer is due, undefined for a route without a target latency; `onLate` is called
   * once, when the request becomes late.
   */
  constructor(
    private readonly targetAtMs: number | undefined,
    private readonly onLate: () => void,
  ) {}

  /** Whether attempts only aim for the deadline, since the target latency can't be met any more. */
  get isLate(): boolean {
    return this.hasTurnedLate;
  }

  /**
   * Returns an untried endpoint. If none is left and the route has a target latency, the request becomes late and the
   * endpoints that refused it for lack of time may be tried again.
   */
  next(nowMs: number, find: FindEndpoint): Endpoint | undefined {
    this.checkTarget(nowMs);
    const endpoint = find(this.tried, this.isLate);
    if (endpoint !== undefined || this.isLate || this.targetAtMs === undefined) {
      return endpoint;
    }
    this.turnLate();
    return find(this.tried, this.isLate);
  }

  markTried(incarnation: string): void {
    this.tried.add(incarnation);
  }

  /** Lowest service time that an endpoint's node reported for this class of work; undefined if none did. */
  get serviceMs(): number | undefined {
    return this.minServiceMs;
  }

  /** Allows the endpoints that refused for lack of capacity or time to be chosen again. */
  retryRefused(): void {
    this.refusingEndpoints.forEach((incarnation) => this.tried.delete(incarnation));
  }

  /** Records that the endpoint's node refused for lack of capacity or time. */
  markRefused(incarnation: string): void {
    this.refusingEndpoints.add(incarnation);
  }

  /** Records the service time that an endpoint's node reported for this class of work. */
  recordServiceMs(serviceMs: number): void {
    this.minServiceMs = Math.min(this.minServiceMs ?? Infinity, serviceMs);
  }

  /** Makes the request late once no endpoint is expected to answer it within its target latency. */
  checkTarget(nowMs: number): void {
    if (this.isLate || this.targetAtMs === undefined) {
      return;
    }
    const finishAtMs = nowMs + (this.minServiceMs ?? 0);
    if (finishAtMs >= this.targetAtMs) {
      this.turnLate();
    }
  }

  /** Makes the request late once this many endpoints have refused it for lack of capacity or time. */
  giveUpTargetAfter(refusals: number): void {
    if (!this.isLate && this.targetAtMs !== undefined && this.refusingEndpoints.size >= refusals) {
      this.turnLate();
    }
  }

  /** Makes the request late; nodes that could not answer in time may be tried again. */
  private turnLate(): void {
    this.hasTurnedLate = true;
    this.retryRefused();
    this.onLate();
  }
}

/** Which endpoint gets a request's next attempt, and when the request turns late. Pure. */
import type { Endpoint } from '../model/resource.js';

/** Finds an endpoint that is not among the tried ones, for work in time or for late work. */
export type FindEndpoint = (tried: ReadonlySet<string>, isLate: boolean) => Endpoint | undefined;

/** The choices of one request. */
export class EndpointChoice {
  /** By incarnation, as all that is kept of endpoints. */
  private readonly tried = new Set<string>();
  /** Endpoints whose node found that the request can't be answered within its target latency. */
  private readonly refusers = new Set<string>();
  /** Least time that an endpoint's node told for this class of work, in milliseconds. */
  private leastServiceMs: number | undefined;
  private hasTurnedLate = false;

  /**
   * `targetAtMs` is until when the answer should be there, undefined for a route without a target;
   * `onLate` is told once, when the request turns late.
   */
  constructor(
    private readonly targetAtMs: number | undefined,
    private readonly onLate: () => void,
  ) {}

  /** Whether attempts ask for an answer before the deadline, since none is expected in time. */
  get isLate(): boolean {
    return this.hasTurnedLate;
  }

  /** An untried endpoint; once all have refused for lack of time, one of these again, for late work. */
  next(nowMs: number, find: FindEndpoint): Endpoint | undefined {
    this.checkTarget(nowMs);
    const endpoint = find(this.tried, this.isLate);
    if (endpoint !== undefined || this.isLate || this.targetAtMs === undefined) {
      return endpoint;
    }
    this.becomeLate();
    return find(this.tried, this.isLate);
  }

  /** An attempt at the endpoint begins. */
  began(incarnation: string): void {
    this.tried.add(incarnation);
  }

  /** The endpoint's node refused for lack of room or time. */
  refusedBy(incarnation: string): void {
    this.refusers.add(incarnation);
  }

  /** An endpoint's node told how long this class of work takes there. */
  noteServiceMs(serviceMs: number): void {
    this.leastServiceMs = Math.min(this.leastServiceMs ?? Infinity, serviceMs);
  }

  /** Turns the request late as soon as no endpoint is expected to answer it within its target. */
  checkTarget(nowMs: number): void {
    if (this.isLate || this.targetAtMs === undefined) {
      return;
    }
    const finishAtMs = nowMs + (this.leastServiceMs ?? 0);
    if (finishAtMs >= this.targetAtMs) {
      this.becomeLate();
    }
  }

  /** From now on attempts ask for late service, also of nodes that could not answer in time. */
  private becomeLate(): void {
    this.hasTurnedLate = true;
    this.refusers.forEach((incarnation) => this.tried.delete(incarnation));
    this.onLate();
  }
}

/** The endpoint of a request's attempt under way, and what later choices learn of it from the attempt. */
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import type { LoadReport } from './call.js';
import { loadObservationOf } from './load-observation.js';
import type { RequestContext } from './request-context.js';
import type { RequestError } from './request-error.js';
import { refusalClassOf } from './request-work.js';

/** The endpoints of one request, one after the other. Without an attempt under way nothing is learnt. */
export class AttemptedEndpoint {
  private endpoint: Endpoint | undefined;
  private beganAtMs = 0;

  constructor(private readonly context: RequestContext) {}

  /** The endpoint's name; undefined when no attempt is under way. */
  get name(): string | undefined {
    return this.endpoint?.name;
  }

  /** The endpoint's incarnation; undefined when no attempt is under way. */
  get incarnation(): string | undefined {
    return this.endpoint && incarnationOf(this.endpoint);
  }

  /** When the latest attempt began, on the node's clock. */
  get startedAtMs(): number {
    return this.beganAtMs;
  }

  /** An attempt begins. */
  began(endpoint: Endpoint): void {
    const { selector, scheduler } = this.context.services;
    this.endpoint = endpoint;
    this.beganAtMs = scheduler.now();
    selector.attemptStarted(endpoint, this.beganAtMs);
  }

  /** The time until now counts as the endpoint's latency. */
  measureLatency(isLate: boolean): void {
    const { services } = this.context;
    const nowMs = services.scheduler.now();
    // Late work waits behind all other: its time says nothing of what work in time would take.
    if (this.endpoint !== undefined && !isLate) {
      const latencyMs = nowMs - this.beganAtMs;
      services.selector.latencyMeasured(this.endpoint, this.workClass, latencyMs, nowMs);
    }
  }

  /** An answer or a refusal told of the endpoint's load. */
  observeLoad(load: LoadReport | undefined, error: RequestError | undefined): void {
    const { selector, scheduler } = this.context.services;
    const observation = loadObservationOf(load, error, this.workClass);
    if (this.endpoint !== undefined && observation !== undefined) {
      selector.loadObserved(this.endpoint, observation, scheduler.now());
    }
  }

  /** The endpoint's node has no room for such work. */
  refused({ retryAfterMs = 0 }: RequestError, isLate: boolean): void {
    if (this.endpoint !== undefined) {
      const { services, match } = this.context;
      const refusalClass = refusalClassOf(match.route, isLate);
      const nowMs = services.scheduler.now();
      services.selector.workRefused(this.endpoint, refusalClass, retryAfterMs, nowMs);
    }
  }

  /** The attempt is over. */
  ended(outcome: AttemptOutcome): void {
    const { services, snapshot, match } = this.context;
    if (this.endpoint !== undefined) {
      const peers = services.endpointsOf(snapshot, match.service);
      services.selector.attemptEnded(this.endpoint, outcome, peers, services.scheduler.now());
      this.endpoint = undefined;
    }
  }

  private get workClass(): string {
    return this.context.match.route.name;
  }
}

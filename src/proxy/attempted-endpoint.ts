/** Tracks the endpoint of a request's current attempt and records its results for later endpoint selection. */
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import type { LoadReport } from './call.js';
import { loadObservationOf } from './load-observation.js';
import type { RequestContext } from './request-context.js';
import type { RequestError } from './request-error.js';
import { refusalClassOf } from './request-work.js';

/** The endpoints of one request's successive attempts. Results are recorded only while an attempt is in progress. */
export class AttemptedEndpoint {
  private endpoint: Endpoint | undefined;
  private attemptStartedAtMs = 0;
  /** Whether the endpoint was chosen by recent news of its load. */
  private isInformed = false;

  constructor(private readonly context: RequestContext) {}

  /** The endpoint's name; undefined when no attempt is in progress. */
  get name(): string | undefined {
    return this.endpoint?.name;
  }

  /** The endpoint's incarnation; undefined when no attempt is in progress. */
  get incarnation(): string | undefined {
    return this.endpoint && incarnationOf(this.endpoint);
  }

  /** When the latest attempt started, on the node's clock. */
  get startedAtMs(): number {
    return this.attemptStartedAtMs;
  }

  attemptStarted(endpoint: Endpoint): void {
    const { selector, scheduler } = this.context.services;
    this.endpoint = endpoint;
    this.attemptStartedAtMs = scheduler.now();
    this.isInformed = selector.hasRecentLoad(endpoint, this.attemptStartedAtMs);
    this.count('attempts');
    selector.attemptStarted(endpoint, this.attemptStartedAtMs);
  }

  /** Records the time since the attempt started as the endpoint's latency. */
  recordLatency(isLate: boolean): void {
    const { services } = this.context;
    const nowMs = services.scheduler.now();
    // Late work is queued behind all other work, so its latency does not predict that of work in time.
    if (this.endpoint !== undefined && !isLate) {
      const latencyMs = nowMs - this.attemptStartedAtMs;
      services.selector.latencyMeasured(this.endpoint, this.workClass, latencyMs, nowMs);
    }
  }

  /** Records the load that an answer or a refusal reported. */
  observeLoad(load: LoadReport | undefined, error: RequestError | undefined): void {
    const { selector, scheduler, statements } = this.context.services;
    const nowMs = scheduler.now();
    const observation = loadObservationOf(load, error, this.workClass);
    if (this.endpoint === undefined || observation === undefined) {
      return;
    }
    selector.loadObserved(this.endpoint, observation, nowMs);
    const statement = statements.of(this.endpoint);
    if (load?.maxRatePerS !== undefined) {
      statement.applyAnswer(load.maxRatePerS, this.attemptStartedAtMs, nowMs);
    }
    if (load?.leavingIncarnation === this.incarnation) {
      statement.markLeaving();
    }
  }

  /** Records that the endpoint's node has no capacity for this class of work. */
  workRefused(error: RequestError, isLate: boolean): void {
    if (this.endpoint === undefined) {
      return;
    }
    const { services, match } = this.context;
    const { retryAfterMs = 0 } = error;
    this.count('refused_attempts');
    const refusalClass = refusalClassOf(match.route, isLate);
    const nowMs = services.scheduler.now();
    if (error.code === 'RATE_LIMITED') {
      services.selector.rateLimited(this.endpoint, refusalClass, retryAfterMs, nowMs);
    } else {
      services.selector.workRefused(this.endpoint, refusalClass, retryAfterMs, nowMs);
    }
  }

  attemptEnded(outcome: AttemptOutcome): void {
    const { services, snapshot, match } = this.context;
    if (this.endpoint !== undefined) {
      const peers = services.endpointsOf(snapshot, match.service);
      services.selector.attemptEnded(this.endpoint, outcome, peers, services.scheduler.now());
      this.endpoint = undefined;
    }
  }

  private count(what: 'attempts' | 'refused_attempts'): void {
    const news = this.isInformed ? 'recent' : 'old';
    this.context.services.counters.add(`ferryspool_${what}_on_${news}_load_total`);
  }

  private get workClass(): string {
    return this.context.match.route.name;
  }
}

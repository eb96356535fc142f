/** Throttling of one request at its caller's node; see {@link AdaptiveThrottle}. */
import type { EndpointChoice } from './endpoint-choice.js';
import type { RequestContext } from './request-context.js';
import { isFurtherAttemptFutile } from './request-policy.js';
import { refusalClassOf } from './request-work.js';

/**
 * Time after which refused callers come back if all attempts were refused lately, in milliseconds; less by the share of
 * attempts that were accepted. A caller has few tries, and one that comes back at once mostly meets the same shortage.
 */
const MAX_RETURN_DELAY_MS = 1_500;

export class RequestThrottling {
  /** Whether all attempts so far were refused for lack of capacity; true before the first. */
  private wasOnlyRefused = true;

  constructor(
    private readonly context: RequestContext,
    private readonly endpointChoice: EndpointChoice,
  ) {}

  /** Class of work of an attempt that begins now. */
  get workClass(): string {
    return refusalClassOf(this.context.match.route, this.endpointChoice.isLate);
  }

  /** Whether a refusal may be followed by another try of the caller. */
  get mayCallerComeBack(): boolean {
    const { match, services } = this.context;
    return services.unserved.hasRepeats(match.route.name, services.scheduler.now());
  }

  /**
   * Whether no attempt may begin now. Only routes whose callers come back are throttled: for others, each refusal is
   * final. A request that an endpoint may have run is not throttled either, since its retry may still be answered; nor is
   * one that is expected to get a slot after some wait (`isRoomExpected`).
   */
  refusesAttempt(isRoomExpected: () => boolean): boolean {
    const { throttle, counters, scheduler } = this.context.services;
    const nowMs = scheduler.now();
    this.endpointChoice.checkTarget(nowMs);
    const mayThrottle = this.wasOnlyRefused && this.mayCallerComeBack;
    const isThrottled = mayThrottle && !throttle.admits(this.workClass, nowMs);
    const isRefused = isThrottled && !isRoomExpected();
    if (isRefused) {
      counters.add('ferryspool_throttled_requests_total');
    }
    return isRefused;
  }

  /**
   * Whether a request that was refused for lack of capacity asks no further endpoint: others would most likely refuse it as
   * well, at the same cost to both nodes, and its caller comes back.
   */
  get isRefusalFinal(): boolean {
    return isFurtherAttemptFutile(this.context, this.workClass);
  }

  /** Time after which a refused caller is to come back, by the share of attempts that were refused lately. */
  get returnDelayMs(): number {
    const { throttle, scheduler } = this.context.services;
    return throttle.refusedShare(this.workClass, scheduler.now()) * MAX_RETURN_DELAY_MS;
  }

  /** Records that an endpoint answered an attempt of the class. */
  attemptAnswered(workClass: string): void {
    const { throttle, scheduler } = this.context.services;
    throttle.accepted(workClass, scheduler.now());
  }

  /** Records that an attempt of the class failed; `isRefusal` if it was refused for lack of capacity. */
  attemptFailed(workClass: string, isRefusal: boolean): void {
    const { throttle, scheduler } = this.context.services;
    if (isRefusal) {
      throttle.refused(workClass, scheduler.now());
    } else {
      this.wasOnlyRefused = false;
    }
  }
}

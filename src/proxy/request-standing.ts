/** What stands against a caller's request at its node, since endpoints ended while they ran it. */
import type { FingerprintedParts } from '../containment/request-fingerprint.js';
import { CRASHES_TO_ACCUSE } from '../containment/suspicion.js';
import { containedError } from './attempt-errors.js';
import type { RequestContext } from './request-context.js';
import type { RequestBody } from './request-body.js';
import type { RequestError } from './request-error.js';

/** The standing of one request, from its body on. */
export class RequestStanding {
  private readonly parts: FingerprintedParts;
  /** Endpoints that ended under this very request; other nodes may not have told of them yet. */
  private endedCount = 0;

  constructor(
    private readonly context: RequestContext,
    body: RequestBody,
  ) {
    const { method, target, headers } = context;
    this.parts = { method, target, headers, body };
  }

  /** What the request is known by at all machines. */
  get fingerprint(): string {
    return this.context.services.containment.fingerprintOf(this.parts);
  }

  /** An attempt failed. */
  attemptFailed({ code }: RequestError): void {
    this.endedCount += Number(code === 'ENDPOINT_ENDED');
  }

  /**
   * Why no further attempt is made; undefined where one may be. A request that may be the cause of an end
   * costs an endpoint with each attempt: once two have ended under it, it gets no second one.
   */
  refusal(): RequestError | undefined {
    const { containment, counters } = this.context.services;
    const standing = containment.standingOf(this.parts);
    const isWithheld =
      standing === 'contained' ||
      (standing === 'accused' && this.endedCount > 0) ||
      this.endedCount >= CRASHES_TO_ACCUSE;
    if (!isWithheld) {
      return undefined;
    }
    counters.add('ferryspool_contained_refusals_total');
    return containedError(containment.containedForMs(this.parts));
  }

  /** The fingerprint of a request that gets the same endpoint at every node; undefined for all others. */
  get trial(): string | undefined {
    const isAccused = this.context.services.containment.standingOf(this.parts) === 'accused';
    return isAccused ? this.fingerprint : undefined;
  }
}

/** Decides whether a caller's request may be attempted after endpoint processes ended while running it. */
import type { FingerprintedParts } from '../containment/request-fingerprint.js';
import { CRASHES_TO_ACCUSE } from '../containment/suspicion.js';
import { containedError } from './attempt-errors.js';
import type { RequestContext } from './request-context.js';
import type { RequestBody } from './request-body.js';
import type { RequestError } from './request-error.js';

/** Containment standing of one request; available once its body can be sent. */
export class RequestStanding {
  private readonly parts: FingerprintedParts;
  /** Endpoint processes that ended during attempts of this request; other nodes may not have reported them yet. */
  private endedCount = 0;

  constructor(
    private readonly context: RequestContext,
    body: RequestBody,
  ) {
    const { method, target, headers } = context;
    this.parts = { method, target, headers, body };
  }

  /** Identifies the request on all machines. */
  get fingerprint(): string {
    return this.context.services.containment.fingerprintOf(this.parts);
  }

  recordFailure({ code }: RequestError): void {
    this.endedCount += Number(code === 'ENDPOINT_ENDED');
  }

  /**
   * Returns the error if no further attempt may be made, otherwise undefined. Each attempt of a request that crashes
   * endpoints costs one more endpoint. Once it has ended two endpoint processes, it therefore gets no further attempt
   * after one of its own attempts has ended a process.
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

  /** Fingerprint of an accused request, for which every node chooses the same endpoint; undefined for others. */
  get trialFingerprint(): string | undefined {
    const isAccused = this.context.services.containment.standingOf(this.parts) === 'accused';
    return isAccused ? this.fingerprint : undefined;
  }
}

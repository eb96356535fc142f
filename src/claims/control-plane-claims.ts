/** Submits the request path's claims to the control plane as events. */
import type { ControlEvent } from '../control/control-event.js';
import type { ClaimedAttempt, IdempotencyClaims } from '../proxy/idempotency-claims.js';
import type { ClaimOutcome } from './claim-command.js';
import { claimDigest } from './claim-digest.js';

/** Claims of one node, as control-plane events. */
export class ControlPlaneClaims implements IdempotencyClaims {
  /** `offer` queues an event for the control plane; it returns false if the queue rejects it. */
  constructor(private readonly offer: (event: ControlEvent) => boolean) {}

  open({ service, key, attempt }: ClaimedAttempt): Promise<ClaimOutcome> {
    return new Promise((resolve) => {
      const claim = claimDigest(service, key);
      const command = { kind: 'open', claim, attempt, onOutcome: resolve } as const;
      if (!this.offer({ type: 'claim', command })) {
        resolve({ outcome: 'unavailable' });
      }
    });
  }

  finish(attempt: ClaimedAttempt): void {
    this.submit('finish', attempt);
  }

  release(attempt: ClaimedAttempt): void {
    this.submit('release', attempt);
  }

  /** If the event is rejected, the claim remains until it expires, which prevents a second run. */
  private submit(kind: 'finish' | 'release', { service, key, attempt }: ClaimedAttempt): void {
    this.offer({ type: 'claim', command: { kind, claim: claimDigest(service, key), attempt } });
  }
}

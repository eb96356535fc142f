/** The request path's claims, handed to the control plane as events. */
import type { ControlEvent } from '../control/control-event.js';
import type { ClaimedAttempt, IdempotencyClaims } from '../proxy/idempotency-claims.js';
import type { ClaimOutcome } from './claim-command.js';
import { claimDigest } from './claim-digest.js';

/** Claims of one node. */
export class ControlPlaneClaims implements IdempotencyClaims {
  /** `offer` queues an event for the control plane; false when it can not. */
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
    this.tell('finish', attempt);
  }

  release(attempt: ClaimedAttempt): void {
    this.tell('release', attempt);
  }

  /** Untold, the claim stays until it lapses: the safe side. */
  private tell(kind: 'finish' | 'release', { service, key, attempt }: ClaimedAttempt): void {
    this.offer({ type: 'claim', command: { kind, claim: claimDigest(service, key), attempt } });
  }
}

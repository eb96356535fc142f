/** The resource API's write port over the replication. */
import type { WriteOutcome as ApiOutcome, WritePort, WriteRequest } from '../api/write-port.js';
import type { ControlEvent } from '../control/control-event.js';
import type { NotAcceptedReason, OperatorWrite, WriteOutcome } from './operator-write.js';

/** Time after which a write that was not accepted may be tried again, in milliseconds. */
const RETRY_AFTER_MS = 2_000;

const REASONS: Readonly<Record<NotAcceptedReason, string>> = {
  'no-voters': 'the fleet has no voters, or they have not met yet',
  'no-majority': 'no majority of the voters could be reached',
  overloaded: 'too many writes are waiting',
  'stale-base': 'this node lags behind the operators revision',
  superseded: 'another primary took over',
};

/** Hands writes to the control plane as events. */
export class ReplicatedWritePort implements WritePort {
  /** `offer` queues an event for the control plane; false when it can not. */
  constructor(private readonly offer: (event: ControlEvent) => boolean) {}

  submitWrite(request: WriteRequest): Promise<ApiOutcome> {
    return new Promise((resolve) => {
      const onOutcome = (outcome: WriteOutcome): void => {
        resolve(apiOutcome(outcome));
      };
      const write = operatorWrite(request);
      if (!this.offer({ type: 'operator-write', write, onOutcome })) {
        onOutcome({ outcome: 'not-accepted', reason: 'overloaded' });
      }
    });
  }
}

function operatorWrite({ key, resource, precondition }: WriteRequest): OperatorWrite {
  const json = resource === undefined ? null : JSON.stringify(resource);
  return { changes: [{ key, json, precondition }] };
}

function apiOutcome(outcome: WriteOutcome): ApiOutcome {
  switch (outcome.outcome) {
    case 'accepted':
      return { outcome: 'accepted', operatorRevision: outcome.revision };
    case 'conflict': {
      const { currentVersion } = outcome;
      return { outcome: 'conflict', ...(currentVersion === undefined ? {} : { currentVersion }) };
    }
    case 'invalid':
      return { outcome: 'invalid', faults: outcome.faults };
    case 'not-accepted':
      return { outcome: 'refused', reason: REASONS[outcome.reason], retryAfterMs: RETRY_AFTER_MS };
    case 'unknown':
      return { outcome: 'unknown', reason: 'no answer from the primary in time' };
  }
}

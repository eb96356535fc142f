/** Write port of the resource API, backed by the replication. */
import type { WriteOutcome as ApiOutcome, WritePort, WriteRequest } from '../api/write-port.js';
import type { ControlEvent } from '../control/control-event.js';
import type { NotAcceptedReason, OperatorWrite, WriteOutcome } from './operator-write.js';

/** Time after which a write that was not accepted may be retried, in milliseconds. */
const RETRY_AFTER_MS = 2_000;

const REASON_TEXTS: Readonly<Record<NotAcceptedReason, string>> = {
  'no-voters': 'the fleet has no voters, or they have not formed a group yet',
  'no-majority': 'no majority of the voters could be reached',
  overloaded: 'too many writes are in progress',
  'stale-base': 'this node is too far behind the operators revision',
  superseded: 'a newer primary committed another operation instead',
};

/** Submits writes to the control plane as events. */
export class ReplicatedWritePort implements WritePort {
  /** `offer` queues an event for the control plane; it returns false if the queue rejects it. */
  constructor(private readonly offer: (event: ControlEvent) => boolean) {}

  submitWrite(request: WriteRequest): Promise<ApiOutcome> {
    return new Promise((resolve) => {
      const onOutcome = (outcome: WriteOutcome): void => {
        resolve(toApiOutcome(outcome));
      };
      const write = toOperatorWrite(request);
      if (!this.offer({ type: 'operator-write', write, onOutcome })) {
        onOutcome({ outcome: 'not-accepted', reason: 'overloaded' });
      }
    });
  }
}

function toOperatorWrite({ key, resource, precondition }: WriteRequest): OperatorWrite {
  const json = resource === undefined ? null : JSON.stringify(resource);
  return { changes: [{ key, json, precondition }] };
}

function toApiOutcome(outcome: WriteOutcome): ApiOutcome {
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
      return {
        outcome: 'refused',
        reason: REASON_TEXTS[outcome.reason],
        retryAfterMs: RETRY_AFTER_MS,
      };
    case 'unknown':
      return { outcome: 'unknown', reason: 'the primary did not answer before the write timeout' };
  }
}

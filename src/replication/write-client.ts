/**
 * Sends operators' writes from the node that received them to the primary. Every attempt is
 * tracked: a write is reported as not accepted only if each of its attempts was permanently
 * refused.
 */
import type { PeerIdentity } from '../membership/peer-identity.js';
import type { NotAcceptedReason, OperatorWrite, WriteOutcome } from './operator-write.js';
import type { ReplicaCore } from './replica-core.js';
import { REPLICATION_COUNTERS } from './replication-counters.js';
import type { NotPrimaryOutcome, WriteAnswerMessage, WriteMessage } from './replication-message.js';
import type { Voter } from './voter-configuration.js';

/** Time after which an unanswered attempt is retried, in milliseconds. */
export const ATTEMPT_TIMEOUT_MS = 2_000;
/** Delay before the next attempt after a refusal, in milliseconds. */
export const REFUSAL_RETRY_DELAY_MS = 200;
/** Maximum number of writes in progress at one node. */
export const MAX_CLIENT_WRITES = 256;

const OUTCOME_COUNTERS: Readonly<Record<WriteOutcome['outcome'], string>> = {
  accepted: REPLICATION_COUNTERS.writesAccepted,
  conflict: REPLICATION_COUNTERS.writesConflicting,
  invalid: REPLICATION_COUNTERS.writesInvalid,
  'not-accepted': REPLICATION_COUNTERS.writesNotAccepted,
  unknown: REPLICATION_COUNTERS.writesUnknown,
};

/** Called exactly once, with the outcome of a write. */
export type OnOutcome = (outcome: WriteOutcome) => void;

interface ClientWrite {
  readonly requestId: string;
  readonly write: OperatorWrite;
  readonly baseRevision: number;
  readonly deadlineMs: number;
  readonly onOutcome: OnOutcome;
  /** Attempts that were sent and have not been answered. */
  readonly unanswered: Set<number>;
  attempts: number;
  nextAttemptMs: number;
  /** Machine to which the next attempt is sent. */
  targetId: string | undefined;
  /** Machine that was dialed last. */
  dialedId: string | undefined;
  refusal: NotAcceptedReason;
}

/** Submits an attempt to this node's own replica. */
export type SubmitLocally = (message: WriteMessage) => void;

/** Operators' writes received by this node that have no outcome yet. */
export class WriteClient {
  private readonly writes = new Map<string, ClientWrite>();
  private submittedCount = 0;

  constructor(
    private readonly core: ReplicaCore,
    private readonly submitLocally: SubmitLocally,
  ) {}

  /** Starts a write. `onOutcome` is called within the write timeout. */
  submit(write: OperatorWrite, onOutcome: OnOutcome): void {
    const { core } = this;
    if (core.knownConfiguration() === undefined) {
      onOutcome({ outcome: 'not-accepted', reason: 'no-voters' });
      return;
    }
    if (this.writes.size >= MAX_CLIENT_WRITES) {
      onOutcome({ outcome: 'not-accepted', reason: 'overloaded' });
      return;
    }
    this.submittedCount += 1;
    const { id, incarnation } = core.options.self;
    const entry: ClientWrite = {
      requestId: `${id}/${incarnation}/${this.submittedCount}`,
      write,
      baseRevision: this.latestKnownRevision(),
      deadlineMs: core.nowMs + core.options.writeTimeoutMs,
      onOutcome,
      unanswered: new Set(),
      attempts: 0,
      nextAttemptMs: core.nowMs,
      targetId: core.primary()?.id,
      dialedId: undefined,
      refusal: 'no-majority',
    };
    this.writes.set(entry.requestId, entry);
    this.sendAttempt(entry);
  }

  /** Handles the answer to one attempt. */
  onAnswer(answer: WriteAnswerMessage): void {
    const entry = this.writes.get(answer.requestId);
    if (entry?.unanswered.has(answer.attempt) !== true) {
      return;
    }
    const { result } = answer;
    if (result.outcome === 'accepted') {
      this.finish(entry, result);
      return;
    }
    entry.unanswered.delete(answer.attempt);
    this.onRefusal(entry, result);
  }

  /** Retries writes that are due, and ends those that have reached their deadline. */
  tick(): void {
    const { nowMs } = this.core;
    for (const entry of [...this.writes.values()]) {
      if (nowMs >= entry.deadlineMs) {
        this.finish(entry, outcomeAtDeadline(entry));
      } else if (nowMs >= entry.nextAttemptMs) {
        this.sendAttempt(entry);
      }
    }
  }

  /**
   * Time at which `tick` must be called next, in milliseconds; Infinity if no write is in progress.
   */
  nextWakeAt(): number {
    let earliest = Infinity;
    for (const entry of this.writes.values()) {
      earliest = Math.min(earliest, entry.deadlineMs, entry.nextAttemptMs);
    }
    return earliest;
  }

  private onRefusal(entry: ClientWrite, result: WriteOutcome | NotPrimaryOutcome): void {
    switch (result.outcome) {
      case 'not-primary':
        entry.targetId = result.primaryId ?? entry.targetId;
        entry.nextAttemptMs = Math.min(
          entry.nextAttemptMs,
          this.core.nowMs + REFUSAL_RETRY_DELAY_MS,
        );
        break;
      case 'not-accepted':
        entry.refusal = result.reason;
        if (result.reason !== 'superseded') {
          this.finishIfSettled(entry, result);
        }
        break;
      case 'conflict':
      case 'invalid':
        this.finishIfSettled(entry, result);
        break;
      case 'accepted':
      case 'unknown':
        break;
    }
  }

  /** Ends the write with a refusal only if no other attempt may still be accepted. */
  private finishIfSettled(entry: ClientWrite, outcome: WriteOutcome): void {
    if (entry.unanswered.size === 0) {
      this.finish(entry, outcome);
    } else {
      entry.nextAttemptMs = Infinity;
    }
  }

  private sendAttempt(entry: ClientWrite): void {
    const { core } = this;
    entry.nextAttemptMs = core.nowMs + REFUSAL_RETRY_DELAY_MS;
    const target = this.voter(entry.targetId) ?? this.voterAfter(undefined);
    if (target === undefined) {
      return;
    }
    const next = this.voterAfter(target.id)?.id;
    const isLocal = target.id === core.options.self.id;
    if (!isLocal && core.links.get(target.id)?.incarnation !== target.incarnation) {
      entry.targetId = entry.dialedId === target.id ? next : target.id;
      entry.dialedId = target.id;
      core.dial(target);
      return;
    }
    entry.targetId = next;
    entry.attempts += 1;
    entry.unanswered.add(entry.attempts);
    entry.nextAttemptMs = core.nowMs + ATTEMPT_TIMEOUT_MS;
    const message = toWriteMessage(entry);
    if (isLocal) {
      this.submitLocally(message);
    } else {
      core.send(target, message);
    }
  }

  private finish(entry: ClientWrite, outcome: WriteOutcome): void {
    this.writes.delete(entry.requestId);
    this.core.options.counters.add(OUTCOME_COUNTERS[outcome.outcome]);
    entry.onOutcome(outcome);
  }

  private latestKnownRevision(): number {
    const { documents } = this.core.options;
    return Math.max(this.core.commitNumber, documents.operatorDocument().version.number);
  }

  private voter(id: string | undefined): Voter | undefined {
    return this.core.knownConfiguration()?.voters.find((voter) => voter.id === id);
  }

  /** The voter after `id` in the order of views; the first voter if `id` is not a voter. */
  private voterAfter(id: string | undefined): Voter | undefined {
    const voters = this.core.knownConfiguration()?.voters ?? [];
    const position = voters.findIndex((voter) => voter.id === id);
    return voters[(position + 1) % Math.max(1, voters.length)];
  }
}

function toWriteMessage(entry: ClientWrite): WriteMessage {
  const { requestId, attempts, baseRevision, write } = entry;
  return { type: 'write', requestId, attempt: attempts, baseRevision, write };
}

/** The outcome at the deadline: an unanswered attempt may have been accepted, or may still be. */
function outcomeAtDeadline(entry: ClientWrite): WriteOutcome {
  return entry.unanswered.size > 0
    ? { outcome: 'unknown' }
    : { outcome: 'not-accepted', reason: entry.refusal };
}

/** Whether `from` is this process, whose attempts are answered without a message. */
export function isFromSelf(core: ReplicaCore, from: PeerIdentity): boolean {
  return from.id === core.options.self.id && from.incarnation === core.options.self.incarnation;
}

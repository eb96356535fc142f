/** Operators' writes at the primary: each is validated, proposed and answered, one at a time. */
import type { PeerIdentity } from '../membership/peer-identity.js';
import { propose } from './normal-operation.js';
import type { WriteOutcome } from './operator-write.js';
import { Reconfiguration } from './reconfiguration.js';
import type { ReplicaCore } from './replica-core.js';
import type { LogOperation, NotPrimaryOutcome, WriteMessage } from './replication-message.js';
import { resolveWrite } from './write-validation.js';

/** Maximum number of writes queued at the primary. */
export const MAX_QUEUED_WRITES = 64;
/** Maximum number of stored refusals, which prevent a late duplicate from being proposed. */
const MAX_STORED_REFUSALS = 4_096;

export type AttemptResult = WriteOutcome | NotPrimaryOutcome;

/** Sends the answer to one attempt. */
export type AnswerAttempt = (
  from: PeerIdentity,
  message: WriteMessage,
  result: AttemptResult,
) => void;

interface Attempt {
  readonly from: PeerIdentity;
  readonly message: WriteMessage;
}

/** Writes that this process has received as the primary. */
export class PrimaryWrites {
  private queue: Attempt[] = [];
  /** Attempts whose request was proposed by this process, keyed by operation number. */
  private readonly proposed = new Map<number, Attempt[]>();
  private readonly refused = new Set<string>();
  private readonly reconfiguration: Reconfiguration;
  private isReconfigurationDue = false;

  constructor(
    private readonly core: ReplicaCore,
    private readonly answer: AnswerAttempt,
  ) {
    this.reconfiguration = new Reconfiguration(core);
  }

  /** Handles an attempt: queues or answers it, or refuses it permanently. */
  onWrite(from: PeerIdentity, message: WriteMessage): void {
    const { core } = this;
    const attempt = { from, message };
    if (this.refused.has(refusalKey(message)) || !this.mayPropose()) {
      this.refuse(attempt, { outcome: 'not-primary', primaryId: this.primaryHint() });
      return;
    }
    const revision = core.state?.requests.get(message.requestId);
    if (revision !== undefined) {
      this.answer(from, message, { outcome: 'accepted', revision });
    } else if (message.baseRevision < (core.state?.requestsFrom ?? Infinity)) {
      this.refuse(attempt, { outcome: 'not-accepted', reason: 'stale-base' });
    } else if (!this.joinExistingRequest(attempt)) {
      this.enqueue(attempt);
    }
    this.proposeNext();
  }

  /**
   * Requests a check for voters to replace, which precedes queued writes. Called at the heartbeat
   * interval.
   */
  requestReconfiguration(): void {
    this.isReconfigurationDue = true;
  }

  /** Proposes a reconfiguration or the next write if no operation is pending. */
  proposeNext(): void {
    const { core } = this;
    while (core.pending === undefined && this.mayPropose()) {
      if (this.proposeReconfiguration()) {
        continue;
      }
      const next = this.queue.shift();
      if (next === undefined) {
        return;
      }
      this.proposeWrite(next);
    }
  }

  /** Answers the attempts that wait for the executed operation. */
  onExecuted(operation: LogOperation): void {
    const { number, requestId } = operation;
    for (const attempt of this.proposed.get(number) ?? []) {
      if (attempt.message.requestId === requestId) {
        this.answer(attempt.from, attempt.message, { outcome: 'accepted', revision: number });
      } else {
        this.refuse(attempt, { outcome: 'not-accepted', reason: 'superseded' });
      }
    }
    this.proposed.delete(number);
  }

  /**
   * If this process is no longer the primary, refuses the queued writes: it will never propose
   * them.
   */
  onRoleChange(): void {
    if (this.core.isPrimary) {
      return;
    }
    const waiting = this.queue;
    this.queue = [];
    for (const attempt of waiting) {
      this.refuse(attempt, { outcome: 'not-primary', primaryId: this.primaryHint() });
    }
    this.discardSkipped();
  }

  private proposeReconfiguration(): boolean {
    if (!this.isReconfigurationDue) {
      return false;
    }
    this.isReconfigurationDue = false;
    const operation = this.reconfiguration.nextOperation();
    if (operation !== undefined) {
      propose(this.core, operation);
    }
    return operation !== undefined;
  }

  /** A primary that sees a revision newer than its own has been replaced without knowing it. */
  private mayPropose(): boolean {
    const { core } = this;
    const held = core.options.documents.operatorDocument().version.number;
    return core.isPrimary && core.hasActiveMajority() && held <= core.commitNumber;
  }

  private proposeWrite(attempt: Attempt): void {
    const { core } = this;
    const { documents } = core.options;
    const revision = core.state?.requests.get(attempt.message.requestId);
    if (revision !== undefined) {
      this.answer(attempt.from, attempt.message, { outcome: 'accepted', revision });
      return;
    }
    if (this.refused.has(refusalKey(attempt.message))) {
      return;
    }
    const operator = core.state?.document ?? documents.operatorDocument();
    const source = documents.sourceDocument();
    const resolved = resolveWrite(attempt.message.write, {
      source,
      operator,
      merge: (left, right) => documents.merge(left, right),
      versionOf: (resource) => documents.versionOf(resource),
    });
    if (resolved.outcome !== 'valid') {
      this.refuse(attempt, resolved);
      return;
    }
    const { upserts, removals } = resolved;
    const number = core.commitNumber + 1;
    this.proposed.set(number, [attempt]);
    propose(core, { number, requestId: attempt.message.requestId, upserts, removals });
  }

  /** Whether the same request is already queued or pending, in which case the attempt joins it. */
  private joinExistingRequest(attempt: Attempt): boolean {
    const { requestId } = attempt.message;
    const { pending } = this.core;
    if (pending?.requestId === requestId) {
      const attempts = this.proposed.get(pending.number) ?? [];
      this.proposed.set(pending.number, [...attempts, attempt]);
      return true;
    }
    return this.queue.some((waiting) => waiting.message.requestId === requestId);
  }

  private enqueue(attempt: Attempt): void {
    if (this.queue.length >= MAX_QUEUED_WRITES) {
      this.refuse(attempt, { outcome: 'not-accepted', reason: 'overloaded' });
      return;
    }
    this.queue.push(attempt);
  }

  private refuse(attempt: Attempt, result: AttemptResult): void {
    this.refused.add(refusalKey(attempt.message));
    for (const oldest of this.refused) {
      if (this.refused.size <= MAX_STORED_REFUSALS) {
        break;
      }
      this.refused.delete(oldest);
    }
    this.answer(attempt.from, attempt.message, result);
  }

  /**
   * Discards operations that a state transfer skipped: their outcome is not known to this process.
   */
  private discardSkipped(): void {
    for (const number of this.proposed.keys()) {
      if (number <= this.core.commitNumber) {
        this.proposed.delete(number);
      }
    }
  }

  private primaryHint(): string | undefined {
    const primary = this.core.primary();
    return primary?.id === this.core.options.self.id ? undefined : primary?.id;
  }
}

function refusalKey(message: WriteMessage): string {
  return `${message.requestId}/${message.attempt}`;
}

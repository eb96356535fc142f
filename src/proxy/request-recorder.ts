/** Logs the decisions on one request at its caller's node. */
import type { Verdict } from '../model/verdict.js';
import type { ConnectionEndReason } from './connection-end.js';
import type { RequestAttempt } from './request-attempt.js';
import type { RequestContext } from './request-context.js';
import { requestDecision, type DecisionDetails } from './request-decision.js';
import { CallerGoneError, type RequestFailure } from './request-error.js';
import {
  fingerprintField,
  type AnswerState,
  type AwaitedResource,
  type RequestDecisionName,
} from './request-log.js';
import type { RequestStanding } from './request-standing.js';
import { unresponsiveNodeError } from './suspicion.js';

/** State of the request when a decision is logged. */
export interface RecordedState {
  /** Number of the latest attempt. */
  readonly attemptNumber: number;
  /** The latest attempt; undefined if it has ended. */
  readonly latestAttempt: RequestAttempt | undefined;
  readonly isLate: boolean;
  readonly standing: RequestStanding | undefined;
}

export class RequestRecorder {
  constructor(
    private readonly context: RequestContext,
    private readonly startedAtMs: number,
    private readonly state: () => RecordedState,
  ) {}

  /** Logs a decision on `attempt`, or on the latest one. */
  record(
    event: RequestDecisionName,
    failure: RequestFailure,
    verdict: Verdict,
    { attempt, ...details }: DecisionDetails & { readonly attempt?: RequestAttempt } = {},
  ): void {
    const { services } = this.context;
    const { attemptNumber, latestAttempt, isLate, standing } = this.state();
    const endpoint = (attempt ?? latestAttempt)?.endpoint;
    const progress = {
      attempt: attempt?.number ?? attemptNumber,
      endpoint: endpoint?.name,
      startedAtMs: this.startedAtMs,
      attemptStartedAtMs: endpoint?.startedAtMs ?? this.startedAtMs,
      isLate,
      nowMs: services.scheduler.now(),
    };
    const fingerprint = standing && fingerprintField(failure.code, () => standing.fingerprint);
    const outcome = { event, failure, verdict, ...details, ...fingerprint };
    services.requestLog.record(requestDecision(this.context, progress, outcome));
  }

  /** Logs the cancellation of an attempt that was still awaited although it was suspected. */
  recordCancelled(attempt: RequestAttempt): void {
    const { suspicion } = attempt;
    const error = unresponsiveNodeError(attempt.isUnsent());
    this.record('attempt-cancelled', error, error.verdict, { attempt, suspicion });
  }

  /** Logs and counts that the caller's connection ended before the answer. */
  recordAbandonment(
    waitedFor: AwaitedResource,
    answer: AnswerState,
    endedBy: ConnectionEndReason | undefined,
  ): void {
    const { services } = this.context;
    services.counters.add(`ferryspool_requests_abandoned_${waitedFor.replaceAll('-', '_')}_total`);
    const unreadMs = services.maxUnreadMs();
    this.recordConnectionEnd('request-abandoned', { endedBy, waitedFor, answer, unreadMs });
  }

  /** Logs that the caller's connection ended while an answer was being sent. */
  recordCutAnswer(endedBy: ConnectionEndReason | undefined): void {
    this.recordConnectionEnd('answer-cut', { endedBy });
  }

  private recordConnectionEnd(
    event: 'request-abandoned' | 'answer-cut',
    details: DecisionDetails,
  ): void {
    const error = new CallerGoneError('the connection of the caller ended');
    this.record(event, error, error.verdict, details);
  }
}

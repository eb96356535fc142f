/** One attempt of a caller's request: its endpoint, the peer expected to answer, and the answer. */
import type { Endpoint } from '../model/resource.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import { AttemptedEndpoint } from './attempted-endpoint.js';
import type { AwaitedAttempt } from './awaited-attempts.js';
import { AwaitedPeer } from './awaited-peer.js';
import type { Answer, Attempt, LoadReport, AttemptSuspicion } from './call.js';
import type { RequestContext } from './request-context.js';
import type { RequestError } from './request-error.js';

export class RequestAttempt implements AwaitedAttempt {
  readonly endpoint: AttemptedEndpoint;
  answer: Answer | undefined;
  /** When the head of the answer arrived; 0 before that. */
  answeredAtMs = 0;
  /** Cause of the latest suspicion; undefined if the attempt was never suspected. */
  suspicion: AttemptSuspicion | undefined;
  private readonly peer: AwaitedPeer;
  private submission: Attempt | undefined;

  /** `onSuspected` is called each time the attempt becomes suspect: its answer may not arrive. */
  constructor(
    readonly number: number,
    /** Class of work as which it is throttled. */
    readonly workClass: string,
    private readonly context: RequestContext,
    endpoint: Endpoint,
    private readonly onSuspected: (attempt: RequestAttempt) => void,
  ) {
    this.endpoint = new AttemptedEndpoint(context);
    this.endpoint.attemptStarted(endpoint);
    this.peer = new AwaitedPeer(context.services, this);
    this.peer.startAwaiting(endpoint, this.endpoint.startedAtMs);
  }

  /** Whether the answer is awaited from a peer: the node that owns the endpoint. */
  get isPeerAwaited(): boolean {
    return this.peer.isAwaited;
  }

  setSubmission(submission: Attempt): void {
    this.submission = submission;
  }

  isUnsent(): boolean {
    return this.submission?.isUnsent() === true;
  }

  peerUnresponsive(): void {
    this.markSuspected({ silent: 'peer' });
  }

  /** Has no effect once an answer has started to arrive, since that shows that the path works. */
  markSuspected(suspicion: AttemptSuspicion): void {
    if (this.answer === undefined) {
      this.suspicion = suspicion;
      this.onSuspected(this);
    }
  }

  recordAnswer(answer: Answer): void {
    this.answer = answer;
    this.answeredAtMs = this.context.services.scheduler.now();
    this.peer.answerReceived();
    this.endpoint.observeLoad(answer.load, undefined);
  }

  recordFailure(error: RequestError, load: LoadReport | undefined): void {
    this.endpoint.observeLoad(load, error);
    if (load !== undefined) {
      this.peer.answerReceived();
    }
  }

  /** Cancels the attempt. If `isExpired`, its endpoint is recorded as failed: no answer was complete in time. */
  abort(isExpired: boolean): void {
    this.submission?.abort();
    const abandonedOutcome = this.answer === undefined ? 'abandoned' : 'answered';
    this.end(isExpired ? 'failed' : abandonedOutcome);
  }

  /** Stops awaiting the peer without ending the attempt. */
  stopAwaitingPeer(): void {
    this.peer.stopAwaiting();
  }

  end(outcome: AttemptOutcome): void {
    this.peer.stopAwaiting();
    this.endpoint.attemptEnded(outcome);
  }
}

/** One attempt of a caller's request: its endpoint, the peer that owes its answer, and the answer. */
import type { Endpoint } from '../model/resource.js';
import type { AttemptOutcome } from '../routing/endpoint-record.js';
import { AttemptedEndpoint } from './attempted-endpoint.js';
import type { AwaitedAttempt } from './awaited-attempts.js';
import { AwaitedPeer } from './awaited-peer.js';
import type { Answer, Attempt, LoadReport, AttemptSuspicion } from './call.js';
import type { RequestContext } from './request-context.js';
import type { RequestError } from './request-error.js';

/** The attempt. */
export class RequestAttempt implements AwaitedAttempt {
  readonly endpoint: AttemptedEndpoint;
  answer: Answer | undefined;
  /** Why its answer was last in doubt; undefined where it never was. */
  sign: AttemptSuspicion | undefined;
  private readonly peer: AwaitedPeer;
  private submitted: Attempt | undefined;

  /** `onSilence` is told each time the answer is in doubt. */
  constructor(
    readonly number: number,
    context: RequestContext,
    endpoint: Endpoint,
    private readonly onSilence: (attempt: RequestAttempt) => void,
  ) {
    this.endpoint = new AttemptedEndpoint(context);
    this.endpoint.attemptStarted(endpoint);
    this.peer = new AwaitedPeer(context.services, this);
    this.peer.startAwaiting(endpoint, this.endpoint.startedAtMs);
  }

  /** Whether the node beside the endpoint owes the answer. */
  get isPeerAwaited(): boolean {
    return this.peer.isAwaited;
  }

  /** The attempt is on its way. */
  wasSubmitted(submitted: Attempt): void {
    this.submitted = submitted;
  }

  isUnsent(): boolean {
    return this.submitted?.isUnsent() === true;
  }

  peerUnresponsive(): void {
    this.suspected({ silent: 'peer' });
  }

  /** An answer that has begun shows that the way works. */
  suspected(sign: AttemptSuspicion): void {
    if (this.answer === undefined) {
      this.sign = sign;
      this.onSilence(this);
    }
  }

  answered(answer: Answer): void {
    this.answer = answer;
    this.peer.answerReceived();
    this.endpoint.observeLoad(answer.load, undefined);
  }

  failed(error: RequestError, load: LoadReport | undefined): void {
    this.endpoint.observeLoad(load, error);
    if (load !== undefined) {
      this.peer.answerReceived();
    }
  }

  /** Gives the attempt up; an endpoint that let the deadline pass has failed. */
  abort(isExpired: boolean): void {
    this.submitted?.abort();
    const unanswered = isExpired ? 'failed' : 'abandoned';
    this.ended(this.answer === undefined ? unanswered : 'answered');
  }

  /** Nobody waits for the answer's peer any more. */
  stopAwaiting(): void {
    this.peer.stopAwaiting();
  }

  ended(outcome: AttemptOutcome): void {
    this.peer.stopAwaiting();
    this.endpoint.attemptEnded(outcome);
  }
}

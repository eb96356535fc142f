/**
 * State machine of one request at the node that owns the endpoint, from its dispatch until its slot is
 * free. Resolves races: an answer that crosses a cancellation, a connection that is lost before the
 * answer, a caller that disconnects. Pure: events in, effects out.
 */
import type { CancelOutcome } from './endpoint-client.js';
import type { ExchangeFailure } from './http-exchange.js';

/** An event of a dispatched request. */
export type EndpointAttemptEvent =
  | { readonly type: 'answered' }
  | { readonly type: 'refused' }
  | { readonly type: 'failed'; readonly failure: ExchangeFailure }
  /** The connection was lost because the endpoint's process exited. */
  | { readonly type: 'ended' }
  /** The request's time has expired; `wasSent` says whether bytes may have been sent. */
  | { readonly type: 'deadline'; readonly wasSent: boolean }
  /** No caller waits for the answer any more. */
  | { readonly type: 'abandoned'; readonly wasSent: boolean }
  | { readonly type: 'cancel-answered'; readonly outcome: CancelOutcome }
  | { readonly type: 'answer-ended'; readonly isWhole: boolean }
  /** The time for which the slot was kept occupied has elapsed. */
  | { readonly type: 'hold-over' };

/** The outcome that is reported to the waiting caller. */
export type AttemptReport =
  | 'refused'
  | 'unreachable'
  | 'deadline-passed'
  /** The deadline passed, and the endpoint confirmed the cancellation. */
  | 'cancelled'
  /** The connection was lost, and the endpoint confirmed the cancellation. */
  | 'lost-before-start'
  | 'timed-out'
  | 'lost'
  /** The endpoint's process exited. */
  | 'ended'
  | 'malformed';

/** An action to be executed. */
export type EndpointAttemptEffect =
  | { readonly type: 'pass-answer' }
  | { readonly type: 'report'; readonly report: AttemptReport }
  | { readonly type: 'send-cancel' }
  | { readonly type: 'close-exchange' }
  /** The endpoint may still be running the request: keep the slot occupied and send `hold-over` after the deadline. */
  | { readonly type: 'hold-slot' }
  /** The slot is free; `isMeasured` if the answer was complete, so that its service time is recorded. */
  | { readonly type: 'release-slot'; readonly isMeasured: boolean };

type State =
  /** Sent, or about to be sent; no answer yet. */
  | 'dispatched'
  | 'answering'
  /** A cancellation is in progress. */
  | 'cancelling'
  | 'holding'
  | 'released';

/** One dispatched request. */
export class EndpointAttempt {
  private state: State = 'dispatched';
  /** Reported if a cancellation does not prove a better outcome; undefined if no caller waits. */
  private pendingReport: AttemptReport | undefined;
  /** Whether an answer is held back until the outcome of the cancellation is known. */
  private hasPendingAnswer = false;

  /** Handles an event; the effects must be executed in order. Events that do not apply to the state have none. */
  handle(event: EndpointAttemptEvent): EndpointAttemptEffect[] {
    switch (event.type) {
      case 'answered':
        return this.handleAnswer();
      case 'refused':
        return this.finish('refused');
      case 'failed':
        return this.handleFailure(event.failure);
      case 'ended':
        return this.finish('ended');
      case 'deadline':
        return this.expire(event.wasSent);
      case 'abandoned':
        return this.handleAbandonment(event.wasSent);
      case 'cancel-answered':
        return this.takeCancelOutcome(event.outcome);
      case 'answer-ended':
        return this.endAnswer(event.isWhole);
      case 'hold-over':
        return this.state === 'holding' ? this.release(false) : [];
    }
  }

  /**
   * An answer that crosses the cancellation at the deadline is held back until the outcome of the cancellation is
   * known, since the answer may only report that the request was cancelled.
   */
  private handleAnswer(): EndpointAttemptEffect[] {
    if (this.state === 'dispatched') {
      return this.forwardAnswer();
    }
    if (this.state === 'cancelling' && this.pendingReport === 'timed-out') {
      this.hasPendingAnswer = true;
      return [];
    }
    return [{ type: 'close-exchange' }];
  }

  private forwardAnswer(): EndpointAttemptEffect[] {
    this.state = 'answering';
    this.pendingReport = undefined;
    return [{ type: 'pass-answer' }];
  }

  private finish(report: AttemptReport): EndpointAttemptEffect[] {
    if (this.state === 'dispatched') {
      return [{ type: 'report', report }, ...this.release(false)];
    }
    if (this.state === 'cancelling') {
      const hasWaitingCaller = this.pendingReport !== undefined;
      const reports: EndpointAttemptEffect[] = hasWaitingCaller ? [{ type: 'report', report }] : [];
      return [...reports, ...this.release(false)];
    }
    return [];
  }

  private handleFailure(failure: ExchangeFailure): EndpointAttemptEffect[] {
    if (failure === 'never-sent') {
      return this.finish('unreachable');
    }
    return this.state === 'dispatched' ? this.cancel(failure) : [];
  }

  private expire(wasSent: boolean): EndpointAttemptEffect[] {
    if (this.state !== 'dispatched') {
      return [];
    }
    return wasSent
      ? this.cancel('timed-out')
      : [{ type: 'close-exchange' }, ...this.finish('deadline-passed')];
  }

  private handleAbandonment(wasSent: boolean): EndpointAttemptEffect[] {
    if (this.state === 'cancelling') {
      this.pendingReport = undefined;
      return [];
    }
    if (this.state !== 'dispatched' && this.state !== 'answering') {
      return [];
    }
    const close: EndpointAttemptEffect = { type: 'close-exchange' };
    return wasSent ? [close, ...this.cancel(undefined)] : [close, ...this.release(false)];
  }

  private cancel(pendingReport: AttemptReport | undefined): EndpointAttemptEffect[] {
    this.state = 'cancelling';
    this.pendingReport = pendingReport;
    return [{ type: 'send-cancel' }];
  }

  private takeCancelOutcome(outcome: CancelOutcome): EndpointAttemptEffect[] {
    if (this.state !== 'cancelling') {
      return [];
    }
    const isProven = outcome === 'not-started' || outcome === 'cancelled';
    if (this.hasPendingAnswer && this.pendingReport !== undefined && !isProven) {
      return this.forwardAnswer();
    }
    const effects: EndpointAttemptEffect[] = [{ type: 'close-exchange' }];
    if (this.pendingReport !== undefined) {
      const provenReport = this.pendingReport === 'timed-out' ? 'cancelled' : 'lost-before-start';
      effects.push({ type: 'report', report: isProven ? provenReport : this.pendingReport });
    }
    if (outcome === 'unconfirmed') {
      this.state = 'holding';
      return [...effects, { type: 'hold-slot' }];
    }
    return [...effects, ...this.release(false)];
  }

  /** After a truncated answer, the endpoint may still be running the request. */
  private endAnswer(isComplete: boolean): EndpointAttemptEffect[] {
    if (this.state !== 'answering') {
      this.hasPendingAnswer = false;
      return [];
    }
    return isComplete ? this.release(true) : this.cancel(undefined);
  }

  private release(isMeasured: boolean): EndpointAttemptEffect[] {
    this.state = 'released';
    return [{ type: 'release-slot', isMeasured }];
  }
}

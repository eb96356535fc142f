/**
 * Life of one request at the node that owns the endpoint, from its dispatch until its slot is free.
 * Settles the crossings: an answer that meets a cancellation, a connection that dies before the
 * answer, a caller that leaves. Pure: events in, effects out.
 */
import type { CancelOutcome } from './endpoint-client.js';
import type { ExchangeFailure } from './http-exchange.js';

/** Something that happened to a dispatched request. */
export type EndpointAttemptEvent =
  | { readonly type: 'answered' }
  | { readonly type: 'refused' }
  | { readonly type: 'failed'; readonly failure: ExchangeFailure }
  /** The connection was lost since the endpoint's process ended. */
  | { readonly type: 'ended' }
  /** The time left to the request is over; `wasSent` is whether bytes may have gone out. */
  | { readonly type: 'deadline'; readonly wasSent: boolean }
  /** Nobody waits for the answer any more. */
  | { readonly type: 'abandoned'; readonly wasSent: boolean }
  | { readonly type: 'cancel-answered'; readonly outcome: CancelOutcome }
  | { readonly type: 'answer-ended'; readonly isWhole: boolean }
  /** The time for which the slot was held is over. */
  | { readonly type: 'hold-over' };

/** What the waiting side is told. */
export type AttemptReport =
  | 'refused'
  | 'unreachable'
  | 'deadline-passed'
  /** Cancelled with confirmation at the deadline. */
  | 'cancelled'
  /** Cancelled with confirmation after the connection died. */
  | 'lost-before-start'
  | 'timed-out'
  | 'lost'
  /** Lost with the endpoint's process. */
  | 'ended'
  | 'malformed';

/** Something to be done. */
export type EndpointAttemptEffect =
  | { readonly type: 'pass-answer' }
  | { readonly type: 'report'; readonly report: AttemptReport }
  | { readonly type: 'send-cancel' }
  | { readonly type: 'close-exchange' }
  /** The endpoint may still be busy with the request: report `hold-over` after its deadline. */
  | { readonly type: 'hold-slot' }
  /** The slot is free; `isMeasured` when the answer was whole, so that its time counts. */
  | { readonly type: 'release-slot'; readonly isMeasured: boolean };

type State =
  /** Sent, or about to be; no answer yet. */
  | 'dispatched'
  | 'answering'
  /** A cancellation is under way. */
  | 'cancelling'
  | 'holding'
  | 'released';

/** One dispatched request. */
export class EndpointAttempt {
  private state: State = 'dispatched';
  /** What to report when a cancellation gives no better knowledge; undefined when nobody waits. */
  private pendingReport: AttemptReport | undefined;
  /** Whether an answer waits for the outcome of the cancellation. */
  private hasAnswer = false;

  /** Takes an event; effects are to be executed in order. Events out of place have none. */
  handle(event: EndpointAttemptEvent): EndpointAttemptEffect[] {
    switch (event.type) {
      case 'answered':
        return this.takeAnswer();
      case 'refused':
        return this.end('refused');
      case 'failed':
        return this.fail(event.failure);
      case 'ended':
        return this.end('ended');
      case 'deadline':
        return this.expire(event.wasSent);
      case 'abandoned':
        return this.abandon(event.wasSent);
      case 'cancel-answered':
        return this.takeCancelOutcome(event.outcome);
      case 'answer-ended':
        return this.endAnswer(event.isWhole);
      case 'hold-over':
        return this.state === 'holding' ? this.release(false) : [];
    }
  }

  /**
   * An answer that meets the cancellation at the deadline waits for its outcome: it may only report
   * that the request was cancelled.
   */
  private takeAnswer(): EndpointAttemptEffect[] {
    if (this.state === 'dispatched') {
      return this.passAnswer();
    }
    if (this.state === 'cancelling' && this.pendingReport === 'timed-out') {
      this.hasAnswer = true;
      return [];
    }
    return [{ type: 'close-exchange' }];
  }

  private passAnswer(): EndpointAttemptEffect[] {
    this.state = 'answering';
    this.pendingReport = undefined;
    return [{ type: 'pass-answer' }];
  }

  private end(report: AttemptReport): EndpointAttemptEffect[] {
    if (this.state === 'dispatched') {
      return [{ type: 'report', report }, ...this.release(false)];
    }
    if (this.state === 'cancelling') {
      const isAwaited = this.pendingReport !== undefined;
      const reports: EndpointAttemptEffect[] = isAwaited ? [{ type: 'report', report }] : [];
      return [...reports, ...this.release(false)];
    }
    return [];
  }

  private fail(failure: ExchangeFailure): EndpointAttemptEffect[] {
    if (failure === 'never-sent') {
      return this.end('unreachable');
    }
    return this.state === 'dispatched' ? this.cancel(failure) : [];
  }

  private expire(wasSent: boolean): EndpointAttemptEffect[] {
    if (this.state !== 'dispatched') {
      return [];
    }
    return wasSent
      ? this.cancel('timed-out')
      : [{ type: 'close-exchange' }, ...this.end('deadline-passed')];
  }

  private abandon(wasSent: boolean): EndpointAttemptEffect[] {
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
    const isProof = outcome === 'not-started' || outcome === 'cancelled';
    if (this.hasAnswer && this.pendingReport !== undefined && !isProof) {
      return this.passAnswer();
    }
    const effects: EndpointAttemptEffect[] = [{ type: 'close-exchange' }];
    if (this.pendingReport !== undefined) {
      const proved = this.pendingReport === 'timed-out' ? 'cancelled' : 'lost-before-start';
      effects.push({ type: 'report', report: isProof ? proved : this.pendingReport });
    }
    if (outcome === 'unconfirmed') {
      this.state = 'holding';
      return [...effects, { type: 'hold-slot' }];
    }
    return [...effects, ...this.release(false)];
  }

  /** A broken answer may leave the endpoint at work. */
  private endAnswer(isWhole: boolean): EndpointAttemptEffect[] {
    if (this.state !== 'answering') {
      this.hasAnswer = false;
      return [];
    }
    return isWhole ? this.release(true) : this.cancel(undefined);
  }

  private release(isMeasured: boolean): EndpointAttemptEffect[] {
    this.state = 'released';
    return [{ type: 'release-slot', isMeasured }];
  }
}

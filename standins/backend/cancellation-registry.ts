/** What became of each request id, so that a cancellation gets a true answer. */

/** Request ids remembered at most; the oldest are forgotten first. */
const MAX_REMEMBERED_REQUESTS = 200_000;

/**
 * - `not-started`: it was seen, and will never start.
 * - `unknown`: it was never seen, and will never start.
 * - `cancelled`: it had started and was stopped.
 * - `finished`: it had done its work.
 */
export type CancelOutcome = 'not-started' | 'cancelled' | 'finished' | 'unknown';

type RequestState =
  | { readonly phase: 'waiting' | 'refused' | 'barred' | 'finished' | 'cancelled' }
  | { readonly phase: 'running'; readonly stop: () => void };

/** Remembers the state of each request id. */
export class CancellationRegistry {
  private readonly states = new Map<string, RequestState>();

  /** A request has arrived and waits to start. */
  arrive(requestId: string): void {
    const phase = this.states.get(requestId)?.phase;
    if (phase === undefined || phase === 'refused') {
      this.remember(requestId, { phase: 'waiting' });
    }
  }

  /** Whether a cancellation has ruled out that the request ever starts. */
  isBarred(requestId: string): boolean {
    return this.states.get(requestId)?.phase === 'barred';
  }

  /** A request that waited is refused. */
  refuse(requestId: string): void {
    if (this.states.get(requestId)?.phase === 'waiting') {
      this.remember(requestId, { phase: 'refused' });
    }
  }

  /** A request starts; `stop` ends its work when it is cancelled. */
  start(requestId: string, stop: () => void): void {
    this.remember(requestId, { phase: 'running', stop });
  }

  /** A running request has ended. */
  end(requestId: string, phase: 'finished' | 'cancelled'): void {
    this.remember(requestId, { phase });
  }

  /** Cancels; a request that has not started never will. */
  cancel(requestId: string): CancelOutcome {
    const state = this.states.get(requestId);
    switch (state?.phase) {
      case 'running':
        state.stop();
        return 'cancelled';
      case 'finished':
      case 'cancelled':
        return state.phase;
      case 'waiting':
      case 'refused':
      case 'barred':
        this.remember(requestId, { phase: 'barred' });
        return 'not-started';
      case undefined:
        this.remember(requestId, { phase: 'barred' });
        return 'unknown';
    }
  }

  private remember(requestId: string, state: RequestState): void {
    this.states.delete(requestId);
    this.states.set(requestId, state);
    if (this.states.size > MAX_REMEMBERED_REQUESTS) {
      const [oldest] = this.states.keys();
      this.states.delete(oldest ?? requestId);
    }
  }
}

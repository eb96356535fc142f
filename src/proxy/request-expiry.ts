/**
 * Timers for the end of a request's time at the caller's node. A request that has reached no endpoint by then is refused
 * shortly before, so that its caller may try again: requests that wait for a connection, a body or a back-off while their
 * route's time-out passes.
 */
import { unsentRefusalLeadMs } from './refusal-lead.js';
import type { CancelTimer, Scheduler } from './scheduler.js';

/** Dependencies of {@link RequestExpiry}. */
export interface RequestExpiryOptions {
  readonly scheduler: Scheduler;
  readonly deadlineAtMs: number;
  /** Called once, shortly before the deadline. */
  readonly onExpiring: () => void;
  /** Called at the deadline. */
  readonly onExpired: () => void;
}

export class RequestExpiry {
  private cancelTimer: CancelTimer;

  constructor(private readonly options: RequestExpiryOptions) {
    const { remainingMs } = this;
    const delayMs = remainingMs - unsentRefusalLeadMs(remainingMs);
    this.cancelTimer = options.scheduler.schedule(delayMs, () => this.handleExpiring());
  }

  cancel(): void {
    this.cancelTimer();
  }

  private get remainingMs(): number {
    const { deadlineAtMs, scheduler } = this.options;
    return deadlineAtMs - scheduler.now();
  }

  private handleExpiring(): void {
    const { scheduler, onExpiring, onExpired } = this.options;
    this.cancelTimer = scheduler.schedule(this.remainingMs, onExpired);
    onExpiring();
  }
}

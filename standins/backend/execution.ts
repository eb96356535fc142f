/** One execution in progress: ends once, by its work, its deadline or a cancellation. */
import type { ExecutionOutcome } from './execution-ledger.js';

/** How an execution ended. */
export type ExecutionEnd = Exclude<ExecutionOutcome, 'running'>;

/** Runs for `workMs` unless the deadline or {@link cancel} comes first. */
export class RunningExecution {
  private readonly timer: NodeJS.Timeout;
  private ended = false;

  constructor(
    workMs: number,
    /** Time left, in milliseconds; may be Infinity. */
    deadlineMs: number,
    private readonly onEnd: (end: ExecutionEnd) => void,
  ) {
    const end = workMs <= deadlineMs ? 'finished' : 'abandoned';
    this.timer = setTimeout(
      () => {
        this.finish(end);
      },
      Math.min(workMs, deadlineMs),
    );
  }

  /** Stops the work; nothing happens when it has ended. */
  cancel(): void {
    clearTimeout(this.timer);
    this.finish('cancelled');
  }

  private finish(end: ExecutionEnd): void {
    if (!this.ended) {
      this.ended = true;
      this.onEnd(end);
    }
  }
}

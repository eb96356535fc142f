/**
 * Decides whether a request that an idle endpoint can't finish in time is started all the same, so that the service time
 * of its class is measured anew. Answers requests that arrive shortly before their deadline. Pure: time is passed in.
 */

/** Time after the latest start of a class after which one of its requests is started in any case, in milliseconds. */
const TRIAL_INTERVAL_MS = 1_000;
/**
 * Share of the mean service time that a request must have left otherwise. Below 1, since an idle endpoint is faster than
 * the loaded one that was measured.
 */
const MIN_TIME_SHARE = 0.5;
/** Maximum number of classes; beyond it, the one that was started first is forgotten. */
const MAX_CLASSES = 1_000;

/** The request that would be started. Times are in milliseconds. */
export interface IdleStart {
  readonly workClass: string;
  readonly deadlineAtMs: number;
  /** Mean service time of the class; 0 before the first measurement. */
  readonly meanMs: number;
}

export class IdleStarts {
  /** When the latest request of each class was started. */
  private readonly startedAtMs = new Map<string, number>();

  recordStart(workClass: string, nowMs: number): void {
    this.startedAtMs.set(workClass, nowMs);
    if (this.startedAtMs.size > MAX_CLASSES) {
      const [first = ''] = this.startedAtMs.keys();
      this.startedAtMs.delete(first);
    }
  }

  /** Whether the request would occupy the endpoint for nothing. */
  isWasted({ workClass, deadlineAtMs, meanMs }: IdleStart, nowMs: number): boolean {
    const isTrialDue = nowMs - (this.startedAtMs.get(workClass) ?? -Infinity) >= TRIAL_INTERVAL_MS;
    return !isTrialDue && nowMs + meanMs * MIN_TIME_SHARE > deadlineAtMs;
  }
}

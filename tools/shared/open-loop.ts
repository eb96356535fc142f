/**
 * Open-loop arrivals: calls start at random times of a Poisson process, whether or not earlier ones
 * have ended, so that a stall is seen by every call that arrives during it. Bounded in time and in
 * calls outstanding.
 */

/** What to run. */
export interface OpenLoopOptions {
  readonly ratePerSecond: number;
  /** Arrivals stop after this time, in milliseconds. */
  readonly durationMs: number;
  /** An arrival over it is counted as dropped, not started. */
  readonly maxOutstanding: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Starts call number `index`; must not reject. `dueAtMs` is on the clock of `performance.now`. */
  readonly start: (index: number, dueAtMs: number) => Promise<void>;
}

/** What was run. */
export interface OpenLoopResult {
  readonly started: number;
  /** Arrivals that found too many calls outstanding. */
  readonly dropped: number;
}

/** A running arrival process. */
export interface OpenLoop {
  /** Ends arrivals early. */
  stop(): void;
  /** Resolves once arrivals are over and every started call has ended. */
  readonly finished: Promise<OpenLoopResult>;
}

/** Starts arrivals at once. */
export function startOpenLoop(options: OpenLoopOptions): OpenLoop {
  const loop = new PoissonLoop(options);
  return { stop: () => loop.stop(), finished: loop.finished };
}

class PoissonLoop {
  readonly finished: Promise<OpenLoopResult>;
  private resolve: (result: OpenLoopResult) => void = () => undefined;
  private readonly endsAtMs: number;
  private nextDueAtMs: number;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private outstanding = 0;
  private started = 0;
  private dropped = 0;

  constructor(private readonly options: OpenLoopOptions) {
    this.finished = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.nextDueAtMs = performance.now();
    this.endsAtMs = this.nextDueAtMs + options.durationMs;
    this.startDue();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.settle();
  }

  private startDue(): void {
    const nowMs = performance.now();
    while (this.nextDueAtMs <= nowMs && this.nextDueAtMs < this.endsAtMs) {
      this.startOne(this.nextDueAtMs);
      this.nextDueAtMs += this.drawGapMs();
    }
    if (this.nextDueAtMs >= this.endsAtMs) {
      this.stop();
      return;
    }
    this.timer = setTimeout(() => this.startDue(), this.nextDueAtMs - nowMs);
  }

  private startOne(dueAtMs: number): void {
    if (this.outstanding >= this.options.maxOutstanding) {
      this.dropped += 1;
      return;
    }
    this.outstanding += 1;
    this.started += 1;
    void this.options.start(this.started, dueAtMs).finally(() => {
      this.outstanding -= 1;
      this.settle();
    });
  }

  private drawGapMs(): number {
    return (-Math.log(1 - this.options.random()) * 1_000) / this.options.ratePerSecond;
  }

  private settle(): void {
    if (this.isStopped && this.outstanding === 0) {
      this.resolve({ started: this.started, dropped: this.dropped });
    }
  }
}

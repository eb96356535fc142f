/** Counts the exchanges that are open at a node, and when the last one arrived. */

/** Something that says when it is over. */
export interface Closing {
  once(event: 'close', listener: () => void): unknown;
}

/** The meter of one node; `nowMs` is its monotonic clock. */
export class CallMeter {
  private openCalls = 0;
  private arrivedAtMs = 0;

  constructor(private readonly nowMs: () => number) {}

  /** Exchanges that are open. */
  get inFlight(): number {
    return this.openCalls;
  }

  /** When the last exchange began. */
  get lastArrivalAtMs(): number {
    return this.arrivedAtMs;
  }

  /** Counts an exchange until it closes; `onEnd` gets how long it was open. */
  count(exchange: Closing, onEnd?: (openMs: number) => void): void {
    exchange.once('close', this.begin(onEnd));
  }

  /** Counts an exchange until the returned function is called, which must happen once. */
  begin(onEnd?: (openMs: number) => void): () => void {
    const beganAtMs = this.nowMs();
    this.openCalls += 1;
    this.arrivedAtMs = beganAtMs;
    return () => {
      this.openCalls -= 1;
      onEnd?.(this.nowMs() - beganAtMs);
    };
  }
}

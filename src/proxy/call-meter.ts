/** Counts the open exchanges of a node and records when the last one started. */

/** An exchange that emits `close` when it ends. */
export interface Closable {
  once(event: 'close', listener: () => void): unknown;
}

/** The exchanges of one node; `nowMs` is its monotonic clock. */
export class CallMeter {
  private openCalls = 0;
  private arrivedAtMs = 0;

  constructor(private readonly nowMs: () => number) {}

  /** The number of open exchanges. */
  get inFlight(): number {
    return this.openCalls;
  }

  /** When the last exchange started. */
  get lastArrivalAtMs(): number {
    return this.arrivedAtMs;
  }

  /** Counts an exchange until it closes; `onEnd` receives how long it was open. */
  count(exchange: Closable, onEnd?: (openMs: number) => void): void {
    exchange.once('close', this.begin(onEnd));
  }

  /** Counts an exchange until the returned function is called, which must happen once. */
  begin(onEnd?: (openMs: number) => void): () => void {
    const startedAtMs = this.nowMs();
    this.openCalls += 1;
    this.arrivedAtMs = startedAtMs;
    return () => {
      this.openCalls -= 1;
      onEnd?.(this.nowMs() - startedAtMs);
    };
  }
}

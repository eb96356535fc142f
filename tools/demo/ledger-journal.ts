/** A back end's ledger as it prints it: it is whole also when the back end was killed. */
import type { Execution } from '../../standins/backend/execution-ledger.js';
import { parseJsonLine, type Child } from '../shared/child-process.js';

/** What a process that still runs has printed is taken after so long, in milliseconds. */
const SETTLE_MS = 200;

/** Keeps the last state of every execution that one process printed. */
export class LedgerJournal {
  private readonly byIndex = new Map<number, Execution>();

  /** Follows `child`, which must not have begun an execution yet. */
  constructor(private readonly child: Child) {
    child.onLine((line) => this.take(line));
  }

  /** Waits until what was printed has been taken. */
  async settle(): Promise<void> {
    const settled = new Promise<void>((resolve) => setTimeout(resolve, SETTLE_MS));
    await (this.child.isRunning ? settled : this.child.closed);
  }

  /** In the order in which they began. */
  executions(): Execution[] {
    return [...this.byIndex.values()];
  }

  private take(line: string): void {
    const change = parseJsonLine(line) as { index: number; execution: Execution } | undefined;
    if (change?.execution !== undefined) {
      this.byIndex.set(change.index, change.execution);
    }
  }
}

/** Every execution that the back end began: the truth that callers' answers are compared with. */

/** `abandoned`: its deadline passed before its work was done. */
export type ExecutionOutcome = 'running' | 'finished' | 'cancelled' | 'abandoned';

/** Which request an execution belongs to, by its headers. */
export type ExecutionNames = Pick<Execution, 'requestId' | 'callId' | 'idempotencyKey'>;

/** One execution; two with one call id are a doubled call. */
export interface Execution {
  readonly requestId: string;
  /** The caller's own name of its call, which survives retries. */
  readonly callId?: string;
  readonly idempotencyKey?: string;
  /** Milliseconds since 1970. */
  readonly startedAt: number;
  readonly endedAt?: number;
  readonly outcome: ExecutionOutcome;
}

/** Told of each change before anything follows from it; `index` names the execution. */
export type LedgerListener = (index: number, execution: Execution) => void;

/** Append-only list of executions. */
export class ExecutionLedger {
  private readonly executions: Execution[] = [];

  constructor(private readonly listener: LedgerListener = () => undefined) {}

  /** Records a start; the result names the execution to {@link end}. */
  start(names: ExecutionNames, nowMs: number): number {
    const index = this.executions.length;
    this.change(index, { ...names, startedAt: nowMs, outcome: 'running' });
    return index;
  }

  /** Records the end of a running execution. */
  end(index: number, outcome: ExecutionOutcome, nowMs: number): void {
    const execution = this.executions[index];
    if (execution?.outcome !== 'running') {
      throw new Error(`execution ${index} is not running`);
    }
    this.change(index, { ...execution, endedAt: nowMs, outcome });
  }

  entries(): readonly Execution[] {
    return this.executions;
  }

  private change(index: number, execution: Execution): void {
    this.executions[index] = execution;
    this.listener(index, execution);
  }
}

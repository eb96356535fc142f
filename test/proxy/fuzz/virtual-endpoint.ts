/** An endpoint under the virtual clock, which records every execution in a ledger. */
import type { RandomSource } from '../../../src/control/control-event.js';
import type { CancelOutcome } from '../../../src/proxy/endpoint-client.js';
import type { CancelTimer } from '../../../src/proxy/scheduler.js';
import type { VirtualProcess } from '../../../tools/emulator/virtual-process.js';

/** Probabilities of faults, from 0 to 1. */
export interface EndpointFaults {
  /** A request is refused although a slot is free. */
  readonly shed: number;
  /** The connection is lost when the answer is due. */
  readonly lost: number;
  /** The answer is truncated. */
  readonly broken: number;
  /** The answer begins and does not end; 0 when absent. */
  readonly silent?: number;
  /** The work takes longer than the timeout of most callers. */
  readonly slow: number;
  /** A message is delayed long enough for later messages to overtake it. */
  readonly late: number;
}

/** One execution; it has no effect only when it was cancelled. */
export interface Execution {
  readonly call: string;
  readonly attempt: string;
  readonly startedAtMs: number;
  isRunning: boolean;
  hasEffect: boolean;
}

/** Ways in which the endpoint responds to a request. */
export interface EndpointReply {
  answer(content: string): void;
  endAnswer(isComplete: boolean): void;
  refuse(isDraining: boolean): void;
  dropConnection(): void;
}

export interface ArrivingRequest {
  readonly call: string;
  readonly attempt: string;
  readonly remainingMs: number;
  /** Whether the endpoint crashes instead of finishing the work. */
  readonly isCrashing: boolean;
  /** Sending node with its process generation, and the incarnation of the endpoint that the request is addressed to. */
  readonly sender: string;
}

interface Running {
  readonly sender: string;
  readonly execution: Execution;
  readonly reply: EndpointReply;
  readonly stopTimer: CancelTimer;
}

type Phase = 'running' | 'finished' | 'cancelled' | 'barred';

export class VirtualEndpoint {
  isDraining = false;
  /** Rate limit that its answers name; Infinity for none. */
  maxRatePerS = Infinity;
  /** Whether its answers say that it leaves. */
  isLeaving = false;
  /** Maximum number of requests that ran concurrently, by sender. */
  readonly peakConcurrency = new Map<string, number>();
  private readonly running = new Map<string, Running>();
  private phases = new Map<string, Phase>();
  /** Crashes this endpoint; called when a crashing request would finish. */
  crash: () => void = () => undefined;

  constructor(
    readonly process: VirtualProcess,
    private readonly ledger: Execution[],
    private readonly faults: EndpointFaults,
    private readonly random: RandomSource,
  ) {}

  receive(request: ArrivingRequest, reply: EndpointReply): void {
    const { call, attempt, sender, remainingMs, isCrashing } = request;
    if (this.phases.has(attempt) || this.isDraining || this.random() < this.faults.shed) {
      reply.refuse(this.isDraining);
      return;
    }
    const startedAtMs = this.process.now();
    const execution = { call, attempt, startedAtMs, isRunning: true, hasEffect: true };
    this.ledger.push(execution);
    const isSlow = this.random() < this.faults.slow;
    const workMs = isSlow ? 200 + this.random() * 3_000 : 1 + this.random() * 40;
    const stopTimer = this.process.schedule(Math.min(workMs, remainingMs), () => {
      if (isCrashing) {
        this.crash();
      } else {
        this.finish(attempt);
      }
    });
    this.phases.set(attempt, 'running');
    this.running.set(attempt, { sender, execution, reply, stopTimer });
    const count = [...this.running.values()].filter((other) => other.sender === sender).length;
    this.peakConcurrency.set(sender, Math.max(count, this.peakConcurrency.get(sender) ?? 0));
  }

  cancel(attempt: string): CancelOutcome {
    const phase = this.phases.get(attempt);
    if (phase === undefined) {
      this.phases.set(attempt, 'barred');
      return 'unknown';
    }
    if (phase === 'running') {
      this.stop(attempt);
      return 'cancelled';
    }
    return phase === 'barred' ? 'not-started' : phase;
  }

  /** Stops the work, because the sender's connection was closed. */
  connectionClosed(attempt: string): void {
    if (this.phases.get(attempt) === 'running') {
      this.stop(attempt);
    }
  }

  /** Kills the process with its state; the requests that were running may have taken effect. */
  kill(): void {
    this.process.kill();
    this.running.forEach(({ execution }) => (execution.isRunning = false));
    this.running.clear();
    this.phases = new Map();
    this.maxRatePerS = Infinity;
    this.isLeaving = false;
  }

  private stop(attempt: string): void {
    const running = this.running.get(attempt);
    running?.stopTimer();
    this.running.delete(attempt);
    this.phases.set(attempt, 'cancelled');
    if (running !== undefined) {
      running.execution.isRunning = false;
      running.execution.hasEffect = false;
      running.reply.answer(attempt);
      running.reply.endAnswer(true);
    }
  }

  private finish(attempt: string): void {
    const running = this.running.get(attempt);
    this.running.delete(attempt);
    this.phases.set(attempt, 'finished');
    const sample = this.random();
    if (running === undefined) {
      return;
    }
    running.execution.isRunning = false;
    if (sample < this.faults.lost) {
      running.reply.dropConnection();
      return;
    }
    const { lost, broken, silent = 0 } = this.faults;
    running.reply.answer(attempt);
    if (sample < lost + broken || sample >= lost + broken + silent) {
      running.reply.endAnswer(sample >= lost + broken);
    }
  }
}

/** An endpoint under the virtual clock, with a ledger of every execution. */
import type { RandomSource } from '../../../src/control/control-event.js';
import type { CancelOutcome } from '../../../src/proxy/endpoint-client.js';
import type { CancelTimer } from '../../../src/proxy/scheduler.js';
import type { VirtualProcess } from '../../../tools/emulator/virtual-process.js';

/** Chances of faults, from 0 to 1. */
export interface EndpointFaults {
  /** A request is refused although there is room. */
  readonly shed: number;
  /** The connection dies when the answer is due. */
  readonly lost: number;
  /** The answer breaks off. */
  readonly broken: number;
  /** The work takes longer than most callers wait. */
  readonly slow: number;
  /** A message takes long enough to cross others. */
  readonly late: number;
}

/** One execution; without effect only when it was cancelled. */
export interface Execution {
  readonly call: string;
  readonly attempt: string;
  hasEffect: boolean;
}

/** How the endpoint reacts to a request. */
export interface EndpointReply {
  answer(content: string): void;
  endAnswer(isWhole: boolean): void;
  refuse(isDraining: boolean): void;
  lose(): void;
}

/** A request as it arrives. */
export interface ArrivingRequest {
  readonly call: string;
  readonly attempt: string;
  readonly remainingMs: number;
  /** Whether the endpoint ends before it has done the work. */
  readonly isCrashing: boolean;
  /** Node and life that sent it, and the incarnation of the endpoint that it is meant for. */
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
  /** Most requests of one sender that ran at once, by sender. */
  readonly peaks = new Map<string, number>();
  private readonly running = new Map<string, Running>();
  private phases = new Map<string, Phase>();
  /** Ends this endpoint, as a crashing request does. */
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
    const execution = { call, attempt, hasEffect: true };
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
    this.peaks.set(sender, Math.max(count, this.peaks.get(sender) ?? 0));
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

  /** The sender's connection closed: the work is stopped. */
  closed(attempt: string): void {
    if (this.phases.get(attempt) === 'running') {
      this.stop(attempt);
    }
  }

  /** Dies with its memory; what ran may have had its effect. */
  kill(): void {
    this.process.kill();
    this.running.clear();
    this.phases = new Map();
  }

  private stop(attempt: string): void {
    const running = this.running.get(attempt);
    running?.stopTimer();
    this.running.delete(attempt);
    this.phases.set(attempt, 'cancelled');
    if (running !== undefined) {
      running.execution.hasEffect = false;
      running.reply.answer(attempt);
      running.reply.endAnswer(true);
    }
  }

  private finish(attempt: string): void {
    const running = this.running.get(attempt);
    this.running.delete(attempt);
    this.phases.set(attempt, 'finished');
    const drawn = this.random();
    if (running === undefined) {
      return;
    }
    if (drawn < this.faults.lost) {
      running.reply.lose();
      return;
    }
    running.reply.answer(attempt);
    running.reply.endAnswer(drawn >= this.faults.lost + this.faults.broken);
  }
}

/** The processor of a machine: does one piece of work after the other, each for the time that its kind costs. */
import type { VirtualScheduler } from '../emulator/virtual-scheduler.js';

/** Processor time of a node by kind of work, in milliseconds on its share of a core. */
export interface ProcessorCosts {
  /** A request of a caller or of an endpoint, up to its first attempt. */
  readonly request: number;
  /** The same for a caller that comes back on a new connection. */
  readonly repeat: number;
  /** An attempt that arrives, whether it is admitted or refused. */
  readonly attempt: number;
  /** An answer of the endpoint or of another node, passed on. */
  readonly answer: number;
  /** A refusal of another node, and what follows it. */
  readonly refusal: number;
  /** A part of a body, credit for it, or a cancellation. */
  readonly other: number;
}

/** A kind of work that costs processor time. */
export type ProcessorWork = keyof ProcessorCosts;

/** Costs by which all work takes the same time, in milliseconds. */
export function uniformCosts(costMs: number): ProcessorCosts {
  return {
    request: costMs,
    repeat: costMs,
    attempt: costMs,
    answer: costMs,
    refusal: costMs,
    other: costMs,
  };
}

export class EmulatedProcessor {
  private busyUntilMs = 0;

  constructor(
    private readonly clock: VirtualScheduler,
    private readonly costs: ProcessorCosts,
  ) {}

  /** Does the work once that before it is done; at once if it costs nothing. */
  handle(work: ProcessorWork, action: () => void): void {
    const costMs = this.costs[work];
    if (costMs === 0) {
      action();
      return;
    }
    this.busyUntilMs = Math.max(this.busyUntilMs, this.clock.nowMs) + costMs;
    this.clock.schedule(this.busyUntilMs, { run: action });
  }
}

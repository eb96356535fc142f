/** Gives some nodes the processor in turns only, by stopping and continuing their processes. */
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/control/control-event.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';
import type { SoakShape } from './soak-shape.js';

/** What the turns are made with. */
export interface ProcessorTurnsParams {
  readonly fleet: SoakFleet;
  readonly random: RandomSource;
  readonly processor: SoakShape['processor'];
}

/** The turns, from their start until they are stopped. */
export class ProcessorTurns {
  private isStopped = false;

  constructor(private readonly params: ProcessorTurnsParams) {}

  /** Goes on until {@link stop}; every process runs then. */
  async run(): Promise<void> {
    const { fleet, random, processor } = this.params;
    const struck = fleet.machines.filter(() => random() < processor.share);
    await Promise.all(struck.map((machine) => this.takeTurns(machine)));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** A stopped process gets a signal to end only once it runs again, as one does that waits for a core. */
  private async takeTurns(machine: SoakMachine): Promise<void> {
    const { runMs, restMs } = this.params.processor;
    await delay(this.params.random() * (runMs + restMs));
    while (!this.isStopped) {
      const { node } = machine;
      node.signal('SIGSTOP');
      await delay(restMs);
      node.signal('SIGCONT');
      await delay(runMs);
    }
  }
}

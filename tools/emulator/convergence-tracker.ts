/** Measures how long each publication takes to be in force on every node that could get it. */
import type { ControlEffect } from '../../src/control/control-event.js';
import type { EmulatedProcess } from './emulated-process.js';
import type { Emulator } from './emulator.js';

/** One publication and the nodes that have it in force. */
interface Publication {
  readonly number: number;
  readonly publishedAtMs: number;
  /** When the first node had it. */
  acceptedAtMs: number;
  /** Running and reachable processes when it was published. */
  readonly expected: Set<EmulatedProcess>;
}

/** Times in milliseconds, sorted. */
export class TimeSamples {
  private readonly sorted: Float64Array;

  constructor(samples: readonly number[]) {
    this.sorted = Float64Array.from(samples).sort();
  }

  get count(): number {
    return this.sorted.length;
  }

  /** The value that a share `quantile` of the samples does not exceed; NaN without samples. */
  quantile(quantile: number): number {
    const index = Math.min(this.count - 1, Math.ceil(quantile * this.count) - 1);
    return this.sorted[Math.max(0, index)] ?? NaN;
  }
}

/** Watches one fleet. */
export class ConvergenceTracker {
  private readonly publications: Publication[] = [];
  private readonly inForce = new Map<EmulatedProcess, number>();
  private readonly sincePublication: number[] = [];
  private readonly sinceAcceptance: number[] = [];

  constructor(private readonly emulator: Emulator) {
    emulator.onHandled = (process, _event, effects) => this.observe(process, effects);
  }

  /** A publication is made now; `isReachable` tells the processes that can get it. */
  published(number: number, isReachable: (process: EmulatedProcess) => boolean): void {
    const expected = new Set(this.emulator.liveProcesses().filter(isReachable));
    const publishedAtMs = this.emulator.nowMs;
    this.publications.push({ number, publishedAtMs, acceptedAtMs: NaN, expected });
  }

  /** Processes that died are expected to have nothing any more. */
  forget(process: EmulatedProcess): void {
    this.inForce.delete(process);
    this.publications.forEach(({ expected }) => expected.delete(process));
  }

  /** Whether every live process has at least `number` in force. */
  hasEverywhere(number: number): boolean {
    return this.emulator
      .liveProcesses()
      .every((process) => (this.inForce.get(process) ?? 0) >= number);
  }

  /** Time from publication to being in force, over all publications and expected processes. */
  fromPublication(): TimeSamples {
    return new TimeSamples(this.sincePublication);
  }

  /** Time from the first node that had it in force. */
  fromAcceptance(): TimeSamples {
    return new TimeSamples(this.sinceAcceptance);
  }

  /** Expected processes that never had a publication in force, summed over publications. */
  missing(): number {
    return this.publications.reduce((sum, { expected }) => sum + expected.size, 0);
  }

  private observe(process: EmulatedProcess, effects: readonly ControlEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'snapshot-changed') {
        this.note(process, effect.snapshot.version.source.number);
      }
    }
  }

  private note(process: EmulatedProcess, number: number): void {
    const before = this.inForce.get(process) ?? 0;
    this.inForce.set(process, number);
    for (let index = this.publications.length - 1; index >= 0; index -= 1) {
      const publication = this.publications[index];
      if (publication === undefined || publication.number <= before) {
        return;
      }
      if (publication.number <= number) {
        this.reached(publication, process);
      }
    }
  }

  private reached(publication: Publication, process: EmulatedProcess): void {
    const { nowMs } = this.emulator;
    if (Number.isNaN(publication.acceptedAtMs)) {
      publication.acceptedAtMs = nowMs;
    }
    if (publication.expected.delete(process)) {
      this.sincePublication.push(nowMs - publication.publishedAtMs);
      this.sinceAcceptance.push(nowMs - publication.acceptedAtMs);
    }
  }
}

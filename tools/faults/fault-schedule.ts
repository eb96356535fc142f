/**
 * Draws a schedule of failures from a seed. Rounds follow each other; in each, several failures
 * overlap. Every third round stops things by plan only, so that cut requests can be judged there.
 */
import type { BadVersionKind, FaultAction, ScheduledFault } from './fault-action.js';
import { durationOfMs } from './fault-action.js';

/** Time of a round in which failures begin, in milliseconds. */
const ROUND_START_MS = 4_000;
/** Time from the end of a round's failures to the next round, in milliseconds. */
const ROUND_GAP_MS = 3_000;
/** Time between two published versions, on average, in milliseconds. */
const PUBLISH_INTERVAL_MS = 2_000;
const PLANNED_ROUND_EVERY = 3;
const FEWEST_FAULTS = 2;
const MOST_FAULTS = 4;
const LARGEST_HERD_SHARE = 0.6;
/** A reader is frozen for longer than its lease by this much at least, in milliseconds. */
const BEYOND_LEASE_MS = 500;

/** What a schedule is drawn for. */
export interface ScheduleOptions {
  /** Time for which failures go on; none begins or ends later. */
  readonly durationMs: number;
  readonly leaseDurationMs: number;
  readonly nodes: readonly string[];
  /** Machines with a back end; they are among `nodes`. */
  readonly backends: readonly string[];
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** The schedule, in order of time. */
export function planFaults(options: ScheduleOptions): ScheduledFault[] {
  return new FaultPlanner(options).plan();
}

class FaultPlanner {
  private readonly faults: ScheduledFault[] = [];
  /** Machines and services that a failure of the round has taken. */
  private taken = new Set<string>();

  constructor(private readonly options: ScheduleOptions) {}

  plan(): ScheduledFault[] {
    let beginsAtMs = 0;
    for (let round = 1; beginsAtMs < this.options.durationMs; round += 1) {
      beginsAtMs = this.addRound(beginsAtMs, round % PLANNED_ROUND_EVERY === 0) + ROUND_GAP_MS;
    }
    this.addPublications();
    return this.faults.sort((one, other) => one.atMs - other.atMs);
  }

  /** Gives the end of the round. */
  private addRound(beginsAtMs: number, isPlanned: boolean): number {
    this.taken = new Set();
    const count = FEWEST_FAULTS + this.drawBelow(MOST_FAULTS - FEWEST_FAULTS + 1);
    let endsAtMs = beginsAtMs + ROUND_START_MS;
    for (let index = 0; index < count; index += 1) {
      const action = isPlanned ? this.drawPlanned() : this.drawFailure();
      const atMs = beginsAtMs + this.drawBetween(0, ROUND_START_MS);
      const endMs = atMs + (action === undefined ? 0 : durationOfMs(action));
      if (action !== undefined && endMs <= this.options.durationMs) {
        this.faults.push({ atMs, action });
        endsAtMs = Math.max(endsAtMs, endMs);
      }
    }
    return endsAtMs;
  }

  private addPublications(): void {
    const kinds: readonly BadVersionKind[] = ['dangling-route', 'malformed', 'not-json'];
    let atMs = this.drawBetween(0, PUBLISH_INTERVAL_MS);
    for (let index = 1; atMs < this.options.durationMs; index += 1) {
      const kind = kinds[Math.floor(index / 4) % kinds.length] ?? 'not-json';
      const action: FaultAction =
        index % 4 === 0 ? { type: 'publish-bad', kind } : { type: 'publish' };
      this.faults.push({ atMs, action });
      atMs += this.drawBetween(PUBLISH_INTERVAL_MS / 2, PUBLISH_INTERVAL_MS * 1.5);
    }
  }

  private drawPlanned(): FaultAction | undefined {
    const restartAfterMs = this.drawBetween(5_000, 9_000);
    switch (this.drawBelow(4)) {
      case 0:
        return this.drawOutage();
      case 1: {
        const node = this.take(this.options.nodes);
        return node === undefined ? undefined : { type: 'stop-node', node, restartAfterMs };
      }
      default: {
        const machine = this.take(this.options.backends);
        const withNode = this.options.random() < 0.5;
        return machine === undefined
          ? undefined
          : { type: 'stop-backend', machine, withNode, restartAfterMs };
      }
    }
  }

  private drawFailure(): FaultAction | undefined {
    const { leaseDurationMs, random } = this.options;
    switch (this.drawBelow(12)) {
      case 0:
      case 1:
        return this.drawHerd();
      case 2:
      case 3:
      case 4:
      case 5: {
        const machine = this.take(this.options.backends);
        const restartAfterMs = this.drawBetween(500, 6_000);
        return machine === undefined
          ? undefined
          : { type: 'kill-backend', machine, withNode: random() < 0.4, restartAfterMs };
      }
      case 6:
      case 7: {
        const node = this.take(this.options.nodes);
        const durationMs = this.drawBetween(1_000, 8_000);
        return node === undefined ? undefined : { type: 'freeze-node', node, durationMs };
      }
      case 8:
      case 9: {
        const beyondMs = this.drawBetween(BEYOND_LEASE_MS, 3_000);
        return { type: 'freeze-reader', durationMs: leaseDurationMs + beyondMs };
      }
      case 10:
        return this.drawPlanned();
      default:
        return this.drawOutage();
    }
  }

  private drawHerd(): FaultAction | undefined {
    const most = Math.floor(this.options.nodes.length * LARGEST_HERD_SHARE);
    const size = 1 + this.drawBelow(most);
    const nodes: string[] = [];
    for (let index = 0; index < size; index += 1) {
      const node = this.take(this.options.nodes);
      if (node !== undefined) {
        nodes.push(node);
      }
    }
    const restartAfterMs = this.drawBetween(300, 6_000);
    return nodes.length === 0 ? undefined : { type: 'kill-nodes', nodes, restartAfterMs };
  }

  private drawOutage(): FaultAction | undefined {
    if (this.taken.has('platform')) {
      return undefined;
    }
    this.taken.add('platform');
    const durationMs = this.drawBetween(2_000, 9_000);
    const modes = ['refuse', 'hang', 'unavailable'] as const;
    const drawn = this.drawBelow(modes.length + 2);
    const mode = modes[drawn];
    if (mode !== undefined) {
      return { type: 'platform-outage', mode, durationMs };
    }
    return drawn === modes.length
      ? { type: 'platform-stale', durationMs }
      : { type: 'platform-restart-from-zero' };
  }

  private take(from: readonly string[]): string | undefined {
    const free = from.filter((name) => !this.taken.has(name));
    const name = free[this.drawBelow(free.length)];
    if (name !== undefined) {
      this.taken.add(name);
    }
    return name;
  }

  private drawBelow(count: number): number {
    return Math.floor(this.options.random() * count);
  }

  private drawBetween(low: number, high: number): number {
    return Math.round(low + this.options.random() * (high - low));
  }
}

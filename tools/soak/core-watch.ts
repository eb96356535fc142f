/**
 * How long the processes of a soak ran, and were ready to run and got no core: what the system says of
 * them, not what they say of themselves. It excuses nothing; it tells what to look for.
 */
import { readCoreTimes, type CoreTimes } from './process-times.js';
import type { SoakCoreTime } from './soak-record.js';

/** Time between two looks, in milliseconds. */
export const CORE_LOOK_MS = 250;
/** Shorter waits are the usual turns of a busy machine, in milliseconds. */
const LEAST_WAIT_MS = 100;
/** A process that runs for so much of the time between two looks does nothing but work, in milliseconds. */
const BUSY_MS = 200;

/** A process that is watched, by the machine that it stands for. */
export interface WatchedProcess {
  readonly machine: number;
  readonly processId: number | undefined;
}

/** What the watch is made with. */
export interface CoreWatchParams {
  readonly processes: () => readonly WatchedProcess[];
  readonly nowMs: () => number;
  /** What a process has run and waited in all; undefined where it is not known. */
  readonly timesOf?: (processId: number) => CoreTimes | undefined;
}

/** Watches processes until it is stopped. */
export class CoreWatch {
  /** Times between two looks in which a process waited long, or did nothing but run. */
  readonly times: SoakCoreTime[] = [];
  private readonly seen = new Map<number, CoreTimes>();
  private readonly timer: NodeJS.Timeout;
  private lookedAtMs: number;

  constructor(private readonly params: CoreWatchParams) {
    this.lookedAtMs = params.nowMs();
    this.look();
    this.timer = setInterval(() => this.look(), CORE_LOOK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.look();
  }

  private look(): void {
    const untilMs = this.params.nowMs();
    for (const { machine, processId } of this.params.processes()) {
      const { ranMs, waitedMs } = this.timesSinceLastLook(processId);
      if (waitedMs >= LEAST_WAIT_MS || ranMs >= BUSY_MS) {
        this.times.push({ machine, fromMs: this.lookedAtMs, untilMs, ranMs, waitedMs });
      }
    }
    this.lookedAtMs = untilMs;
  }

  private timesSinceLastLook(processId: number | undefined): CoreTimes {
    const read = this.params.timesOf ?? readCoreTimes;
    const now = processId === undefined ? undefined : read(processId);
    if (processId === undefined || now === undefined) {
      return { ranMs: 0, waitedMs: 0 };
    }
    const before = this.seen.get(processId) ?? now;
    this.seen.set(processId, now);
    return { ranMs: now.ranMs - before.ranMs, waitedMs: now.waitedMs - before.waitedMs };
  }
}

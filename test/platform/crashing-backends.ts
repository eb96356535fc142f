/** Back ends of a fleet that end as soon as they have run a certain request for a while. */
import { answer, type Arrival } from '../../standins/store-platform/backend-stand-in.js';
import { pause, type FleetMachine, type PlatformFleet } from './platform-fleet.js';

/** How long a request runs before its back end ends, in milliseconds. */
const CRASH_AFTER_MS = 30;

/** What the back ends do. Times are in milliseconds. */
export interface CrashingBackendsParams {
  readonly fleet: PlatformFleet;
  readonly machines: readonly FleetMachine[];
  readonly isCrashing: (arrival: Arrival) => boolean;
  /** How long other requests run. */
  readonly workMs: number;
  /** How long a back end is down. */
  readonly downMs: number;
  /** Whether a back end comes back under its identity, as soon as it may; false when absent. */
  readonly isReborn?: boolean;
}

/** The back ends of some machines, and how often they ended. */
export class CrashingBackends {
  /** Arrivals of crashing requests at back ends, in order. */
  readonly crashingArrivals: { readonly atMs: number; readonly machine: FleetMachine }[] = [];
  /** When each end was, in order. */
  readonly endedAtMs: number[] = [];
  private isOver = false;

  constructor(private readonly params: CrashingBackendsParams) {
    for (const machine of params.machines) {
      this.arm(machine);
    }
  }

  /** The machine's back end ends, and is back after its time. */
  async crash(machine: FleetMachine): Promise<void> {
    const { fleet, downMs, isReborn = false } = this.params;
    this.endedAtMs.push(performance.now());
    machine.backend.close();
    if (downMs > 0) {
      await pause(downMs);
    }
    if (!this.isOver) {
      await (isReborn ? fleet.rebearBackend(machine) : fleet.restartBackend(machine));
    }
  }

  /** No back end comes back from now on. */
  stop(): void {
    this.isOver = true;
  }

  private arm(machine: FleetMachine): void {
    const { isCrashing, workMs } = this.params;
    machine.backend.behaviour = (_request, response, arrival) => {
      const { backend } = machine;
      if (!isCrashing(arrival)) {
        setTimeout(() => answer(response, arrival.requestId), workMs);
        return;
      }
      this.crashingArrivals.push({ atMs: performance.now(), machine });
      setTimeout(() => {
        // Another copy of the request may have ended it meanwhile.
        if (machine.backend === backend && !response.destroyed) {
          void this.crash(machine);
        }
      }, CRASH_AFTER_MS);
    };
  }
}
